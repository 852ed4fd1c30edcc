"""Accepts connections and contains the errors of each."""

import logging
from collections.abc import Awaitable, Callable

import trio

from hornbeamdeal.kernel import Endpoint

ErrorRecorder = Callable[[Exception], None]
# The other end reset or closed the connection, or the link failed.
STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


def log_error(error: Exception) -> None:
    """Log an unexpected error of a connection."""
    logging.getLogger("hornbeamdeal").error("unexpected_error", exc_info=error)


async def run_contained(
    step: Callable[[], Awaitable[object]], record_error: ErrorRecorder
) -> None:
    """Run one step of a connection; record an unexpected error instead of raising it.

    Whoever connects decides what is received, and the process also serves others.
    """
    try:
        await step()
    except STREAM_ERRORS:
        return
    except Exception as error:
        record_error(error)


async def serve_connections(
    listen: Endpoint,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    *,
    maximum_connections: int,
    timeout_seconds: float,
    record_error: ErrorRecorder = log_error,
) -> None:
    """Serve each connection within a time limit, until cancelled.

    Beyond `maximum_connections`, as many accepted connections wait and others are closed,
    since the data that they have sent takes memory of the process.
    """
    limit = trio.CapacityLimiter(maximum_connections)

    async def serve_connection(stream: trio.SocketStream) -> None:
        if limit.statistics().tasks_waiting >= maximum_connections:
            await run_contained(stream.aclose, record_error)
            return

        async def serve_in_time() -> None:
            async with limit, stream:
                with trio.move_on_after(timeout_seconds):
                    await serve(stream)

        await run_contained(serve_in_time, record_error)

    await trio.serve_tcp(serve_connection, listen.port, host=listen.ip)
