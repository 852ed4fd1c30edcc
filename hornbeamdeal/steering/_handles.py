"""Flow handles: authenticated tokens that name a flow's server."""

import hmac
from hashlib import blake2b

from ._keys import KEY_BYTES

MAC_BYTES = 12
HANDLE_BYTES = KEY_BYTES + MAC_BYTES


class HandleCodec:
    """Creates and verifies handles.

    Parameters
    ----------
    keys : tuple of bytes
        Secrets shared by the region's hosts. The first one creates handles; all
        are accepted, so that keys can be rotated without breaking flows.
    """

    __slots__ = ("keys", "_hashers_by_service")

    def __init__(self, keys: tuple[bytes, ...]):
        self.keys = keys
        self._hashers_by_service: dict[str, list] = {}

    def make(self, server_digest: int, service: str, flow_token: bytes) -> bytes:
        """Return the handle of a server, valid for one service and flow token."""
        body = server_digest.to_bytes(KEY_BYTES, "big")
        return body + self._mac(self._hashers(service)[0], body, flow_token)

    def read(self, handle: bytes, service: str, flow_token: bytes) -> int | None:
        """Return the server digest of a handle, None if the handle is invalid."""
        if len(handle) != HANDLE_BYTES:
            return None
        body, mac = handle[:KEY_BYTES], handle[KEY_BYTES:]
        for hasher in self._hashers(service):
            if hmac.compare_digest(mac, self._mac(hasher, body, flow_token)):
                return int.from_bytes(body, "big")
        return None

    def _hashers(self, service: str) -> list:
        hashers = self._hashers_by_service.get(service)
        if hashers is None:
            name = service.encode()
            prefix = len(name).to_bytes(2, "big") + name
            hashers = [
                blake2b(prefix, key=key, digest_size=MAC_BYTES) for key in self.keys
            ]
            self._hashers_by_service[service] = hashers
        return hashers

    @staticmethod
    def _mac(hasher, body: bytes, flow_token: bytes) -> bytes:
        # Copying the state after key and service saves one of two compressions.
        copy = hasher.copy()
        copy.update(body + flow_token)
        return copy.digest()
