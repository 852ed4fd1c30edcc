"""Steps for the benchmark of uneven load."""

import argparse
import sys
from itertools import count
from pathlib import Path

from behave import given, then, when

from hornbeamdeal.dsr._admission import AdmitAll

# The benchmarks are not part of the installed package.
sys.path.append(str(Path(__file__).resolve().parents[2]))

from benchmarks.uneven_callers import Callers  # noqa: E402
from benchmarks.uneven_load import SHORT, make_cases  # noqa: E402


class RefuseEverySecond(AdmitAll):
    """Admission that refuses every second new flow."""

    def __init__(self):
        self._numbers = count()

    def admits(self, route, caller, now):
        return next(self._numbers) % 2 == 0


class CountingCallers(Callers):
    """Callers that record each end of a request, also a second one."""

    def __init__(self, case):
        super().__init__(case)
        self.ended_requests = []

    def _end(self, request, outcome):
        if not request.outcome:
            self.ended_requests.append(request)
        super()._end(request, outcome)

    def refuse(self):
        for host in self.stage.hosts:
            host.forwarder.admission = RefuseEverySecond()


@given("the short cases of uneven load with placement {placement}")
def given_cases(context, placement):
    context.cases = make_cases(argparse.Namespace(**SHORT, variants=(placement,)))


@when("they run with hosts that refuse every second new flow from {seconds:g} s on")
def when_run(context, seconds):
    context.runs = [CountingCallers(case) for case in context.cases]
    for run in context.runs:
        run.schedule(seconds, run.refuse)
        run.run()


@then("every request ends exactly once and no later than its timeout")
def then_ends_once(context):
    for run in context.runs:
        assert len(run.requests) > 1000
        assert len(run.ended_requests) == len(run.requests) == run.ends
        assert set(run.ended_requests) == set(run.requests)
        for request in run.requests:
            seconds = request.ended_at - request.asked_at
            assert 0 < seconds <= request.kind.timeout + 1e-6, seconds


@then("no server has run a refused request")
def then_refusals_true(context):
    for run in context.runs:
        refused = [r for r in run.requests if r.outcome == "refused"]
        assert not any(request.runs for request in refused)
        assert run.untrue_refusals == run.resets == 0
        answered = [r for r in run.requests if r.outcome == "answered"]
        assert all(request.runs for request in answered)
        starts = sum(server.starts for server in run.stage.servers)
        assert starts == sum(request.runs for request in run.requests)
        unsafe = [r for r in run.requests if r.kind.name == "unsafe"]
        assert max(request.runs for request in unsafe) == 1


@then("some requests were refused")
def then_some_refused(context):
    for run in context.runs:
        assert any(request.outcome == "refused" for request in run.requests)
        assert run.refusals > 0
