"""Request dispatch: run tokens, exchanges, answers and retries."""

from ._base import Limits, Reason
from ._baseline import OwnMemoryDispatcher
from ._dispatcher import RequestDispatcher
from ._token import RunToken, RunTokenCodec

__all__ = [
    "Limits",
    "OwnMemoryDispatcher",
    "Reason",
    "RequestDispatcher",
    "RunToken",
    "RunTokenCodec",
]
