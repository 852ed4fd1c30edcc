"""Minimal HTTP/1.1 server and client side over asyncio streams."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

PROBE_TIMEOUT_SECONDS = 0.5


class Listener:
    """A port that serves GET requests on kept connections."""

    def __init__(self, respond):
        self.respond = respond
        self.writers = set()
        self.server = None

    def close(self):
        """Close the port and its connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def handle(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                parts = urlsplit(head.split(b" ", 2)[1].decode())
                result = await self.respond(parts.path, dict(parse_qsl(parts.query)))
                if result is None:
                    await asyncio.sleep(3600)
                status, fields = result
                body = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def serve(address, respond):
    """Serve requests; `respond` returns a status and fields, or None to send nothing."""
    listener = Listener(respond)
    listener.server = await asyncio.start_server(listener.handle, *address)
    return listener


async def get_status(address, path, headers=()):
    """Return the status of a GET request, None if there is no answer in time."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {address[0]}:{address[1]}", *headers]
    writer = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            writer.write("\r\n".join([*lines, "", ""]).encode())
            line = await reader.readline()
            return int(line.split()[1]) if line else None
    except (OSError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()
