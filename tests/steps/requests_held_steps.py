"""Steps for requests to an address that is held."""

from behave import then, when
from fakes.requests_fleet import answer, replies, send

from hornbeamdeal.kernel import AnswerStatus, RequestReceived
from hornbeamdeal.requests._fake_fleet import make_request


def send_booking(context, host, name, **event_fields):
    request = make_request(name, run_token=context.run_token)
    context.fleet.handle(host, RequestReceived(request, **event_fields), 1.0)


def obtain_run_token(context):
    send(context.fleet, "a", "first", 0.0)
    (_, first_answer), *_ = context.fleet.replies
    context.run_token = first_answer.run_token


@when("a booking with a run token was dispatched to a server by host a")
def when_booking_at_server(context):
    obtain_run_token(context)
    send_booking(context, "a", "b1")
    assert len(context.fleet.dispatches) == 1


@when("a booking with a run token arrives at host a while the address is held")
def when_booking_held(context):
    obtain_run_token(context)
    send_booking(context, "a", "b1", is_address_held=True)


@when(
    "another message with its run token arrives at host {host:w} while the address is held"
)
def when_copy_held(context, host):
    send_booking(context, host, "b2", is_address_held=True)


@when("another message with its run token arrives at host a")
def when_copy(context):
    send_booking(context, "a", "b2")


@then("no booking is answered as not run")
def then_none_not_run(context):
    answers = replies(context.fleet)
    assert not [a for a in answers.values() if a.status is AnswerStatus.NOT_RUN], (
        answers
    )


@when("the server answers the booking")
def when_booking_answered(context):
    ((_, dispatch),) = context.fleet.dispatches
    answer(context.fleet, dispatch, 1.5, payload=b"booked")


@then("both messages with the run token get that answer")
def then_both_answered(context):
    answers = replies(context.fleet)
    assert [answers[name].payload for name in ("b1", "b2")] == [b"booked"] * 2, answers


@then("both are answered as not run and no server receives the booking")
def then_both_not_run(context):
    answers = replies(context.fleet)
    statuses = [answers[name].status for name in ("b1", "b2")]
    assert statuses == [AnswerStatus.NOT_RUN] * 2, answers
    assert context.fleet.dispatches == []
