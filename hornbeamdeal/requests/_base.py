"""Limits and reasons of the request dispatcher."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Reason why a request ended without a server's answer."""

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

    All bounds reached at once take about 63 MB: a used token takes about 410
    bytes, a request in progress about 1.4 KB besides its payload, and a logged
    relay 510 bytes.

    Parameters
    ----------
    maximum_exchanges, maximum_payload_bytes : int
        Requests in progress and the sum of their payloads.
    maximum_tokens, maximum_stored_bytes : int
        Used run tokens and the sum of the payloads of their answers.
    maximum_relays : int
        Logged relays.
    maximum_waiting : int
        Messages of callers that wait for one request.
    token_lifetime : float
        Covers the time in which a caller repeats a request: RFC 7252
        retransmits a confirmable message for 45 s.
    answer_retention : float
        Least time for which a run token's record is kept after its final answer.
    relay_grace : float
        Covers the gossip delay of an issuer that has just started.
    relay_detection : float
        Covers the time in which membership detects a death, 7.5 s at worst in
        benchmarks.fleet.
    maximum_moves : int
        A refused request is sent to at most six servers, as many as
        benchmarks.crest allows within its bounds. With only two moves, requests
        are refused later than the 50 ms that the benchmark allows.
    maximum_retries : int
        Retries of an idempotent request after failed attempts or lost answers.
    retry_ratio, retry_floor_per_second : float
        Retry budget: share of the recent successes, and retries per second that
        are always allowed.
    retry_delay : float
        Mean delay of the first retry; it doubles with each further one.
    attempt_share : float
        Share of the time to the deadline that an attempt may take before a
        retry replaces it.
    retry_after : float
        Mean delay before a retry that callers are told after a refusal or failure.
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
