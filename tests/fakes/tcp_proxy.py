"""A loopback proxy of TCP connections that can delay, reset or silence them."""

import trio

CHUNK_BYTES = 65536
FAILURES = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class TcpProxy:
    """Passes connections on from one address to another.

    `mode` is `open`, `silent` (nothing passes in either direction), `deaf`
    (requests pass, answers don't), `reset` or `refuse`; `delay` is in seconds.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "open"
        self.delay = 0.0

    async def run(self):
        """Serve until cancelled."""
        await trio.serve_tcp(self._serve, self.listen.port, host=self.listen.ip)

    async def _serve(self, stream):
        if self.mode in ("reset", "refuse"):
            await stream.aclose()
            return
        try:
            target = await trio.open_tcp_stream(self.target.ip, self.target.port)
            async with stream, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, stream, target, nursery, False)
                nursery.start_soon(self._pass, target, stream, nursery, True)
        except* FAILURES:
            # Either end may leave at any moment.
            pass

    async def _pass(self, source, sink, nursery, is_answer):
        while data := await source.receive_some(CHUNK_BYTES):
            await trio.sleep(self.delay)
            while self.mode == "silent" or (self.mode == "deaf" and is_answer):
                await trio.sleep(0.05)
            if self.mode == "reset":
                break
            await sink.send_all(data)
        nursery.cancel_scope.cancel()
