"""Stand-in for the platform: a key-value configuration service with watches.

It serves the files of a folder, so that tests publish values by writing files.
"""

import os
from pathlib import Path

import fire
import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.settings import parse_endpoint
from hornbeamdeal.wire import HttpRequest, HttpResponse, serve_http

from ._control import serve_control

POLL_SECONDS = 0.05
WATCH_TIMEOUT_SECONDS = 30.0
MAXIMUM_VALUE_BYTES = 1_000_000


class Platform:
    """Serves values by key, counts calls, and simulates outages, delays and staleness.

    A value's revision is the modification time of its file in nanoseconds. The values
    can be copied and later restored from the copy, which begins another epoch and
    closes all watches. A watch that continues in a former epoch is answered at once.
    """

    __slots__ = (
        "folder",
        "down",
        "delay",
        "blocked_ips",
        "copied_values_",
        "epoch_",
        "stale_values_",
        "calls_",
        "watches_",
    )

    def __init__(self, *, folder: Path):
        self.folder = folder
        self.down = False
        self.delay = 0.0
        self.blocked_ips: set[str] = set()
        self.stale_values_: dict[str, tuple[bytes, int]] | None = None
        self.copied_values_: dict[str, tuple[bytes, int]] = {}
        self.epoch_ = 1
        self.calls_ = 0
        self.watches_ = 0

    def configure(self, message: dict) -> dict:
        """Apply a control message.

        Keys: down, delay (seconds), stale, cut (IPs of hosts), copy, restore.
        """
        self.blocked_ips = set(message.get("cut", self.blocked_ips))
        self.down = bool(message.get("down", self.down))
        self.delay = float(message.get("delay", self.delay))
        if "stale" in message:
            self.stale_values_ = self._snapshot() if message["stale"] else None
        if message.get("copy"):
            self.copied_values_ = self._snapshot()
        if message.get("restore"):
            self._restore()
        return {"calls": self.calls_, "watches": self.watches_}

    async def respond(self, request: HttpRequest) -> HttpResponse | None:
        """Respond to a read or a watch; None closes the connection."""
        self.calls_ += 1
        await trio.sleep(self.delay)
        if self.down or request.sender_ip in self.blocked_ips:
            return None
        key = request.path.removeprefix("/v1/")
        after = request.query.get("after")
        value = self._read(key)
        if after is not None:
            if int(request.query.get("epoch", self.epoch_)) != self.epoch_:
                return HttpResponse(304, b"", self._headers())
            self.watches_ += 1
            epoch = self.epoch_
            value = await self._watch(key, int(after))
            if epoch != self.epoch_:
                return None
            if request.sender_ip in self.blocked_ips:
                return None
            if value is None:
                return HttpResponse(304, b"", self._headers())
        if self.down:
            return None
        if value is None:
            return HttpResponse(404, b"", self._headers())
        content, revision = value
        headers = self._headers() | {"X-Revision": str(revision)}
        return HttpResponse(200, content, headers)

    def _headers(self) -> dict[str, str]:
        return {"X-Epoch": str(self.epoch_)}

    async def _watch(self, key: str, after: int) -> tuple[bytes, int] | None:
        epoch = self.epoch_
        with trio.move_on_after(WATCH_TIMEOUT_SECONDS):
            while not self.down and epoch == self.epoch_:
                value = self._read(key)
                if value is not None and value[1] > after:
                    return value
                await trio.sleep(POLL_SECONDS)
        return None

    def _read(self, key: str) -> tuple[bytes, int] | None:
        if self.stale_values_ is not None:
            return self.stale_values_.get(key)
        path = self.folder / key
        if ".." in key or not path.is_file():
            return None
        return path.read_bytes(), path.stat().st_mtime_ns

    def _restore(self) -> None:
        for key in self._snapshot().keys() - self.copied_values_.keys():
            (self.folder / key).unlink()
        for key, (content, revision) in self.copied_values_.items():
            (self.folder / key).write_bytes(content)
            os.utime(self.folder / key, ns=(revision, revision))
        self.epoch_ += 1

    def _snapshot(self) -> dict[str, tuple[bytes, int]]:
        paths = [path for path in self.folder.rglob("*") if path.is_file()]
        keys = [str(path.relative_to(self.folder)) for path in paths]
        return {key: self._read(key) for key in keys}


async def serve(listen: Endpoint, control: Endpoint, folder: Path) -> None:
    """Serve until cancelled."""
    platform = Platform(folder=folder)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_control, control, platform.configure)
        nursery.start_soon(serve_http, listen, platform.respond)


def run(listen, control, folder):
    """Serve the files of FOLDER as keys over HTTP on LISTEN (ip:port)."""
    trio.run(serve, parse_endpoint(listen), parse_endpoint(control), Path(folder))


def main():
    """Start the command line."""
    fire.Fire(run)
