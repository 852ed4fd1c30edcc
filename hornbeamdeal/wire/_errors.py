"""Errors of the codecs."""

from hornbeamdeal.kernel import HornbeamdealError


class MalformedMessageError(HornbeamdealError):
    """A datagram violates its protocol; `reason` is a short code for metrics."""

    __slots__ = ("reason",)

    def __init__(self, reason: str, detail: str):
        self.reason = reason
        super().__init__(f"{reason}: {detail}; check the sender's version and settings")
