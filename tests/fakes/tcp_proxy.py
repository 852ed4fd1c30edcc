"""Loopback TCP proxy that can delay, block, reset or refuse connections."""

import trio

CHUNK_BYTES = 65536
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class TcpProxy:
    """Forwards connections from one endpoint to another.

    `mode` is `open`, `silent` (nothing is forwarded in either direction),
    `responses_held` (only requests are forwarded), `reset` or `refuse`; `delay`
    is in seconds.
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
                nursery.start_soon(self._forward, stream, target, nursery, False)
                nursery.start_soon(self._forward, target, stream, nursery, True)
        except* CONNECTION_ERRORS:
            # Either end may close at any time.
            pass

    async def _forward(self, source, destination, nursery, is_response):
        while data := await source.receive_some(CHUNK_BYTES):
            await trio.sleep(self.delay)
            while self.mode == "silent" or (
                self.mode == "responses_held" and is_response
            ):
                await trio.sleep(0.05)
            if self.mode == "reset":
                break
            await destination.send_all(data)
        nursery.cancel_scope.cancel()
