"""Build the final answers of requests."""

from random import Random
from typing import Any

from hornbeamdeal.document import HOLD_DOWN_SECONDS
from hornbeamdeal.kernel import (
    Answer,
    AnswerStatus,
    DispatchOutcome,
    IncrementCounter,
    ReplyToCaller,
    Request,
    ServerAnswer,
)

from ._base import Reason

WRONG_SERVICE_CODE = "NOT_FOUND"
WRONG_SERVICE_PAYLOAD = b"wrong service"
RETRY_AFTER_SPREAD = 0.5

_COUNTER_BY_STATUS = {
    AnswerStatus.NOT_RUN: "requests_refused",
    AnswerStatus.BAD_REQUEST: "requests_refused",
    AnswerStatus.OUTCOME_UNKNOWN: "requests_unknown",
    AnswerStatus.ERROR: "requests_failed",
}


def reply(request: Request, answer: Answer, service: str = "") -> list[Any]:
    """Return the actions that send a final answer and count a failure."""
    actions: list[Any] = [ReplyToCaller(request, answer)]
    counter = _COUNTER_BY_STATUS.get(answer.status)
    if counter is not None:
        reason = answer.reason.partition(":")[0]
        actions.append(IncrementCounter(counter, reason, service))
    return actions


def is_refusal(answer: ServerAnswer) -> bool:
    """Return whether a server refused a request before running it."""
    if answer.outcome is DispatchOutcome.REFUSED:
        return True
    return answer.code == WRONG_SERVICE_CODE and answer.payload == WRONG_SERVICE_PAYLOAD


def from_server(answer: ServerAnswer) -> Answer:
    """Return the caller's answer made from a server's successful one."""
    return Answer(AnswerStatus.OK, payload=answer.payload, code=answer.code)


class AnswerFactory:
    """Creates final answers with a jittered retry time.

    The jitter spreads the retries of callers that were refused at the same time.
    """

    __slots__ = ("random_", "retry_after")

    def __init__(self, *, random: Random, retry_after: float):
        self.random_ = random
        self.retry_after = retry_after

    def not_run(self, reason: str, retry_after: float | None = None) -> Answer:
        """Return the answer to a request that no server started."""
        seconds = retry_after
        if seconds is None:
            is_held = reason == Reason.ADDRESS_HELD
            seconds = HOLD_DOWN_SECONDS if is_held else self._jittered()
        return Answer(AnswerStatus.NOT_RUN, reason=str(reason), retry_after=seconds)

    def unknown(self, reason: str) -> Answer:
        """Return the answer to a request that a server may have run."""
        return Answer(
            AnswerStatus.OUTCOME_UNKNOWN,
            reason=str(reason),
            retry_after=self._jittered(),
        )

    def bad_request(self, reason: str) -> Answer:
        """Return the answer to a request that can never run."""
        return Answer(AnswerStatus.BAD_REQUEST, reason=str(reason))

    def failed(self, answer: ServerAnswer) -> Answer:
        """Return the answer to a request that a server did not complete.

        A failure without a code was not sent by the server, so the server's
        answer counts as lost.
        """
        if answer.outcome is DispatchOutcome.FAILED and answer.code:
            return Answer(
                AnswerStatus.ERROR,
                payload=answer.payload,
                reason=f"{Reason.SERVER_FAILED}: {answer.code}",
                retry_after=self._jittered(),
            )
        return self.unknown(Reason.ANSWER_LOST)

    def _jittered(self) -> float:
        spread = self.random_.uniform(1 - RETRY_AFTER_SPREAD, 1 + RETRY_AFTER_SPREAD)
        return self.retry_after * spread
