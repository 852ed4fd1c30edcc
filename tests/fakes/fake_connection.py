"""Connection that replays data, for messages without a network."""


class FakeConnection:
    """Connection that replays received data in pieces and drops what is sent."""

    def __init__(self, data=b""):
        self.data = memoryview(data)
        self.socket = self

    def recv(self, max_bytes):
        """Return the next piece."""
        piece, self.data = self.data[:max_bytes], self.data[max_bytes:]
        return bytes(piece)

    async def receive_some(self, max_bytes):
        """Return the next piece."""
        return self.recv(max_bytes)

    def sendall(self, data):
        """Drop the data."""

    async def send_all(self, data):
        """Drop the data."""

    def getpeername(self):
        """Return the address of the other end."""
        return "127.0.0.1", 2

    def close(self):
        """Do nothing."""
