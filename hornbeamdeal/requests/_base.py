"""Limits and reasons of the request dispatcher."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Why a request ended without a server's answer."""

    UNKNOWN_ADDRESS = "unknown_address"
    UNKNOWN_PATH = "unknown_path"
    ADDRESS_HELD = "address_held"
    STOPPING = "stopping"
    HOST_FULL = "host_full"
    TOKENS_FULL = "tokens_full"
    TOKEN_MALFORMED = "token_malformed"
    TOKEN_NOT_VALID = "token_not_valid"
    TOKEN_EXPIRED = "token_expired"
    TOKEN_INVALIDATED = "token_invalidated"
    TOKEN_OF_OTHER_REQUEST = "token_of_other_request"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ISSUER_GONE = "issuer_gone"
    DEADLINE_PASSED = "deadline_passed"
    SERVERS_REFUSED = "servers_refused"
    SERVER_FAILED = "server_failed"
    ANSWER_LOST = "answer_lost"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a dispatcher; durations are in seconds.

    The token lifetime is the time in which a caller repeats a request:
    RFC 7252 retransmits a confirmable message for 45 s. A refused
    request visits at most six servers, as many as the crest benchmark of
    admission allows within its bounds; with two moves of it refusals are late. The relay grace covers the gossip delay of an issuer
    that has just started; the relay detection covers the time in which
    membership notices a death, 7.5 s at worst in benchmarks.fleet. A kept token takes about 410 bytes and a request in
    progress about 1.4 KB besides its payload, and a logged relay 510 bytes, so
    the bounds add up to about 63 MB when all are reached at once.
    """

    maximum_exchanges: int = 10_000
    maximum_payload_bytes: int = 16 * 1024 * 1024
    maximum_tokens: int = 50_000
    maximum_stored_bytes: int = 8 * 1024 * 1024
    maximum_relays: int = 10_000
    maximum_waiting: int = 4
    token_lifetime: float = 60.0
    answer_retention: float = 10.0
    relay_grace: float = 1.0
    relay_detection: float = 8.0
    maximum_moves: int = 5
    maximum_retries: int = 2
    retry_ratio: float = 0.1
    retry_floor_per_second: float = 1.0
    retry_delay: float = 0.02
    attempt_share: float = 0.4
    retry_after: float = 1.0
