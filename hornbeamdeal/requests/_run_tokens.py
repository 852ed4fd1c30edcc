"""Issue run tokens and decide whether a request with a token may start."""

import math

import xxhash

from hornbeamdeal.kernel import Answer, AnswerStatus, Endpoint, Request

from ._answers import AnswerFactory
from ._base import Limits, Reason
from ._ledger import RunLedger, RunRecord
from ._token import TOKEN_BYTES, RunToken, RunTokenCodec


def digest_request(request: Request) -> int:
    """Return a digest of a request's method, path and payload."""
    head = f"{request.method} {request.path}\0".encode()
    return xxhash.xxh3_64_intdigest(head + request.payload)


class RunTokenManager:
    """Issues, verifies and claims the run tokens of one incarnation."""

    __slots__ = (
        "answers",
        "counter_",
        "endpoint",
        "incarnation",
        "ledger",
        "limits",
        "codec",
    )

    def __init__(
        self,
        *,
        codec: RunTokenCodec,
        ledger: RunLedger,
        answers: AnswerFactory,
        limits: Limits,
        incarnation: int,
        endpoint: Endpoint,
    ):
        self.codec = codec
        self.ledger = ledger
        self.answers = answers
        self.limits = limits
        self.incarnation = incarnation
        self.endpoint = endpoint
        self.counter_ = 0

    def issue(self, request: Request, service: str, now: float) -> Answer:
        """Return the answer that asks the caller to repeat with a run token."""
        if self.ledger.is_full:
            return self.answers.not_run(Reason.TOKENS_FULL)
        self.counter_ += 1
        expiry = math.ceil(now + self.limits.token_lifetime)
        token = RunToken(self.incarnation, self.endpoint, self.counter_, expiry)
        return Answer(
            AnswerStatus.RUN_TOKEN_REQUIRED,
            reason="repeat the request with this run token",
            run_token=self.codec.encode(token, service, request.caller),
        )

    def read_token(self, request: Request, service: str) -> RunToken | Answer:
        """Return the request's token, or the final answer if it is invalid.

        A token whose MAC does not match may have been issued under a retired
        key, so its request may have run: the answer is "outcome unknown".
        """
        if len(request.run_token) != TOKEN_BYTES:
            return self.answers.bad_request(Reason.TOKEN_MALFORMED)
        token = self.codec.decode(request.run_token, service, request.caller)
        if token is None:
            return self.answers.unknown(Reason.TOKEN_NOT_VALID)
        return token

    def claim(
        self, token: RunToken, request: Request, refusal: Reason | None, now: float
    ) -> RunRecord | Answer:
        """Return the record of a token of this incarnation, or a final answer.

        A new record allows the request to start; a token never gets a second
        one. `refusal` is the reason why no request may start now, if any.
        """
        digest = digest_request(request)
        record = self.ledger.find(token.counter)
        if record is not None:
            return self._answer_duplicate(record, digest)
        if now >= token.expiry:
            return self.answers.unknown(Reason.TOKEN_EXPIRED)
        if self.ledger.is_invalidated(token.counter):
            return self.answers.not_run(Reason.TOKEN_INVALIDATED)
        if self.ledger.is_full:
            self.ledger.invalidate_up_to(token.counter)
            return self.answers.not_run(Reason.TOKENS_FULL)
        record = self.ledger.record_use(token, digest)
        if refusal is not None:
            self.ledger.store_answer(record, self.answers.not_run(refusal), now)
            return record.answer
        return record

    def _answer_duplicate(self, record: RunRecord, digest: int) -> RunRecord | Answer:
        """Return a used token's record while its request runs, or the final answer."""
        if record.request_digest != digest:
            return self.answers.bad_request(Reason.TOKEN_OF_OTHER_REQUEST)
        return record if record.answer is None else record.answer
