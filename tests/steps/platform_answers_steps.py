"""Steps for the events made from the platform's responses."""

from behave import then, when
from result import Ok

from hornbeamdeal.daemon._executor import make_platform_event
from hornbeamdeal.kernel import ReadPlatform
from hornbeamdeal.wire import HttpResponse


@when('the daemon gets a platform response with {status:d} and revision "{revision}"')
def when_platform_response(context, status, revision):
    revision = "9" * 5000 if revision == "5000 digits" else revision
    response = HttpResponse(status, b"value", {"x-revision": revision})
    action = ReadPlatform("hosts", after_revision=5)
    context.event = make_platform_event(action, Ok(response))


@then('the platform event has revision {number:d} and the error "{error}"')
def then_event(context, number, error):
    event = context.event
    assert event.revision == number, event
    if error == "none":
        assert event.error == "", event
    else:
        assert error in event.error, event
