"""Ledger of the run tokens that were used on this host.

An unused token needs no memory: its MAC proves that it was issued. An unexpired
token without a record has never been used, because a record is dropped only
after its token has expired.
"""

import heapq
from collections import deque

from hornbeamdeal.kernel import Answer, AnswerStatus

from ._base import Limits, Reason
from ._token import RunToken

ANSWER_NOT_KEPT = Answer(
    AnswerStatus.OUTCOME_UNKNOWN, reason=Reason.ANSWER_NOT_KEPT.value
)


class RunRecord:
    """Use of one token; `answer` is None while its request is in progress.

    `keep_until` is in monotonic seconds.
    """

    __slots__ = ("answer", "counter", "exchange", "keep_until", "request_digest")

    def __init__(self, counter: int, request_digest: int, keep_until: float):
        self.counter = counter
        self.request_digest = request_digest
        self.keep_until = keep_until
        self.answer: Answer | None = None
        self.exchange = None


class RunLedger:
    """Used tokens and the answers to their requests, in bounded memory."""

    __slots__ = (
        "expiries_",
        "invalid_up_to_",
        "limits",
        "records_by_counter_",
        "stored_bytes_",
        "stored_counters_",
    )

    def __init__(self, *, limits: Limits):
        self.limits = limits
        self.records_by_counter_: dict[int, RunRecord] = {}
        self.expiries_: list[tuple[float, int]] = []
        self.stored_counters_: deque[int] = deque()
        self.stored_bytes_ = 0
        self.invalid_up_to_ = 0

    @property
    def is_full(self) -> bool:
        """Whether no further use of a token can be recorded."""
        return len(self.records_by_counter_) >= self.limits.maximum_tokens

    def find(self, counter: int) -> RunRecord | None:
        """Return the record of a used token, or None."""
        return self.records_by_counter_.get(counter)

    def record_use(self, token: RunToken, request_digest: int) -> RunRecord:
        """Record the first use of a token."""
        record = RunRecord(token.counter, request_digest, float(token.expiry))
        self.records_by_counter_[token.counter] = record
        heapq.heappush(self.expiries_, (record.keep_until, token.counter))
        return record

    def invalidate_up_to(self, counter: int) -> None:
        """Invalidate all unused tokens up to this counter.

        Used if the ledger is full: a token that cannot be recorded is answered
        "not run", so it must never run later. The other unused tokens up to its
        counter become invalid too.
        """
        self.invalid_up_to_ = max(self.invalid_up_to_, counter)

    def is_invalidated(self, counter: int) -> bool:
        """Return whether an unused token has been invalidated."""
        return counter <= self.invalid_up_to_

    def store_answer(self, record: RunRecord, answer: Answer, now: float) -> None:
        """Store the final answer to a token's request."""
        record.exchange = None
        record.answer = answer
        record.keep_until = max(record.keep_until, now + self.limits.answer_retention)
        if answer.payload:
            self.stored_counters_.append(record.counter)
            self.stored_bytes_ += len(answer.payload)
            self._evict_payloads()

    def expire(self, now: float) -> None:
        """Drop the records whose retention has ended."""
        while self.expiries_ and self.expiries_[0][0] <= now:
            _, counter = heapq.heappop(self.expiries_)
            record = self.records_by_counter_[counter]
            if record.answer is None:
                heapq.heappush(self.expiries_, (now + 1.0, counter))
            elif record.keep_until > now:
                heapq.heappush(self.expiries_, (record.keep_until, counter))
            else:
                self._drop(record)

    def _drop(self, record: RunRecord) -> None:
        del self.records_by_counter_[record.counter]
        self.stored_bytes_ -= len(record.answer.payload)
        while self.stored_counters_ and self.stored_counters_[0] not in (
            self.records_by_counter_
        ):
            self.stored_counters_.popleft()

    def _evict_payloads(self) -> None:
        """Replace the oldest stored answers until the payloads are within the bound."""
        while self.stored_bytes_ > self.limits.maximum_stored_bytes:
            record = self.records_by_counter_.get(self.stored_counters_.popleft())
            if record is not None:
                self.stored_bytes_ -= len(record.answer.payload)
                record.answer = ANSWER_NOT_KEPT
