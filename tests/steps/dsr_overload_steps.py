"""Steps for admission under overload."""

from unittest.mock import Mock

from behave import given, then, when
from fakes.dsr_host import (
    SERVICE,
    SERVICE_IP,
    SERVICE_PORT,
    Host,
    is_reset,
    make_routes,
    make_server,
)
from fakes.overloaded_servers import OverloadedService, answered_share, make_route

from hornbeamdeal.dsr import AnswerTimes, OverloadAdmission, explain_opening
from hornbeamdeal.dsr._admission import AdmitAll
from hornbeamdeal.dsr._arrival_bound import ArrivalBound
from hornbeamdeal.dsr._caller_work import CallerWork
from hornbeamdeal.platform._packets import encode_address

HEAVY_CALLER = -1


@given("{hosts:d} hosts and {servers:d} servers of an overloaded service")
def given_service(context, hosts, servers):
    context.service = OverloadedService(hosts=hosts, servers=servers, seed=1)
    context.routes = [make_route(f"priority {p}", p) for p in range(2)]
    context.one_host = context.service.hosts[0]


@given("hosts that admit all")
def given_admit_all(context):
    for host in context.service.hosts:
        host.admits = False


@given("{rate:d} requests/s of priority {priority:d} from {start:g} s to {end:g} s")
def given_load(context, rate, priority, start, end):
    context.service.add_load(context.routes[priority], rate, start, end)


@given("{rate:d} requests/s of priority 1 by one caller from {start:g} s to {end:g} s")
def given_heavy_caller(context, rate, start, end):
    callers = [HEAVY_CALLER]
    context.service.add_load(context.routes[1], rate, start, end, callers=callers)


@when("{until:g} s of load have passed")
def when_load(context, until):
    context.service.run(until)


@when("a server of the overloaded service hangs")
def when_server_hangs(context):
    context.service.servers[0].is_hanging = True


@when("a host of the overloaded service restarts")
def when_host_restarts(context):
    context.one_host.restart()


@when("a host of the overloaded service is paused for {seconds:g} s")
def when_host_paused(context, seconds):
    context.service.pause(context.one_host, seconds)


def refused(requests):
    return sum(r.refusals for r in requests)


@then("nothing is refused from {start:g} s to {end:g} s")
def then_nothing_refused(context, start, end):
    assert refused(context.service.select(start, end)) == 0


@then("something is refused from {start:g} s to {end:g} s")
def then_something_refused(context, start, end):
    assert refused(context.service.select(start, end)) > 0


@then(
    "at least {percent:d}% of {name} are answered in time from {start:g} s to {end:g} s"
)
def then_answered(context, percent, name, start, end):
    share = answered_share(context.service.select(start, end, name))
    assert share >= percent / 100, share


@then(
    "at most {percent:d}% of {route} are answered in time from {start:g} s to {end:g} s"
)
def then_not_answered(context, percent, route, start, end):
    share = answered_share(context.service.select(start, end, route))
    assert share <= percent / 100, share


@then("each priority keeps at least 10% of its openings from {start:g} s to {end:g} s")
def then_floor(context, start, end):
    for route in context.routes:
        requests = context.service.select(start, end, route.name)
        openings = sum(r.attempts for r in requests)
        assert openings - refused(requests) >= 0.1 * openings


@then("that caller is refused more often than the others from {start:g} s to {end:g} s")
def then_heavy_refused(context, start, end):
    low = context.routes[1].name
    heavy = context.service.select(start, end, low, [HEAVY_CALLER])
    light = context.service.select(start, end, low, range(100))
    assert refused(heavy) / len(heavy) > 2 * refused(light) / len(light)


@then(
    "priority 0 and the other callers are answered more often than if all were admitted"
)
def then_better_than_baseline(context):
    def shares():
        selections = [
            context.service.select(8, 24, route.name, range(100))
            for route in context.routes
        ]
        return [answered_share(selection) for selection in selections]

    admission_shares = shares()
    loads = [(r.route, r.caller, r.at) for r in context.service.requests]
    given_service(context, 12, 3)
    given_admit_all(context)
    for route, caller, at in loads:
        context.service.add_request(route, caller, "z1", at)
    context.service.run(24)
    for share, baseline in zip(admission_shares, shares(), strict=True):
        assert share > baseline + 0.05, (share, baseline)


@then("the hosts started shedding at most {count:d} times on average")
def then_started(context, count):
    hosts = context.service.hosts
    started = sum(len(host.events("shedding_started")) for host in hosts)
    assert started <= count * len(hosts), started / len(hosts)


@then("that host sheds nothing")
def then_no_shedding(context):
    assert context.one_host.level == 0


@then("that host sheds load")
def then_shedding(context):
    assert context.one_host.level > 0


@given("answer times of a host that went on at {at:g} s after a pause")
def given_paused(context, at):
    context.arrivals = ArrivalBound()
    context.arrivals.resumed_at = at
    context.answer_times = AnswerTimes(arrivals=context.arrivals)


@when("{count:d} answers arrive at {now:g} s after {seconds:g} s")
def when_answers(context, count, now, seconds):
    route, server = make_route("r", 0), make_server(1, service="s")
    for _ in range(count):
        context.answer_times.record_answer(route, server, seconds, now)


@then("there is no estimate at {now:g} s")
def then_no_estimate(context, now):
    assert context.answer_times.estimate("s", now) is None


@then("the estimate at {now:g} s is within the objective")
def then_estimate_within(context, now):
    assert context.answer_times.estimate("s", now) <= 1.0


@then("the estimate at {now:g} s is beyond the objective")
def then_estimate_beyond(context, now):
    assert context.answer_times.estimate("s", now) > 1.0


@when("a caller is refused 3 times in a row")
def when_refused_in_a_row(context):
    context.work = CallerWork(0.0)
    for _ in range(3):
        context.work.add_opening(7)
        context.work.add_refusal(7)


@then("its work counts as one opening")
def then_one_opening(context):
    assert context.work.count(7) == 1


@when("{count:d} callers open a flow each")
def when_many_callers(context, count):
    context.work = CallerWork(0.0)
    for caller in range(count):
        context.work.add_opening(caller)
        context.work.add_refusal(caller)


@then("the work of at most {count:d} callers is kept")
def then_few_callers(context, count):
    assert sum(context.work.count(caller) for caller in range(5000)) <= count


@given("a dsr host with observed answers and an objective of {milliseconds:d} ms")
def given_observed_host(context, milliseconds):
    routes = make_routes()
    [route] = routes.routes_by_key.values()
    route.aim_seconds = milliseconds / 1000
    context.servers = [make_server(number) for number in (1, 2, 3)]
    context.host = Host()
    context.host.apply_update(context.servers, routes)
    context.observer = Mock()
    context.host.forwarder.answer_observers = (context.observer,)
    context.sent = []


@when("{milliseconds:d} ms pass with ticks")
def when_ticks(context, milliseconds):
    for _ in range(milliseconds // 100):
        context.host.clock.advance(0.1)
        context.host.forwarder.tick(context.host.clock.monotonic())


@then("{count:d} failures are recorded")
@then("{count:d} failure is recorded")
def then_failures(context, count):
    assert context.observer.record_failure.call_count == count


@when("the host refuses all from now on")
def when_refuses_all(context):
    admission = Mock(spec=AdmitAll)
    admission.admits.return_value = False
    context.host.forwarder.admission = admission


@then("the opening packet of reason overload is refused")
def then_refused_for_overload(context):
    data, _ = context.sent[-1]
    assert is_reset(data)
    assert context.host.journal.counts["openings_refused", "overload"] == 1


@when("the host sheds {percent:d}% of priority {priority:d}")
def when_sheds(context, percent, priority):
    now = context.host.clock.monotonic()
    admission = OverloadAdmission(answer_times=AnswerTimes())
    [route] = context.host.catalog.routes.routes_by_key.values()
    admission.record_failure(route, context.servers[0], now)
    load = admission.shedding_by_service_[SERVICE].load_of(priority, now)
    load.refused_share = percent / 100
    context.host.forwarder.admission = admission


@then("explain tells that {percent:d}% of priority {priority:d} are refused")
def then_explained_refusal(context, percent, priority):
    address_key = encode_address(SERVICE_IP, SERVICE_PORT)
    now = context.host.clock.monotonic()
    explanation = explain_opening(context.host.forwarder, address_key, now)
    expected = f"{percent}% of new flows of priority {priority} are refused"
    assert expected in explanation["verdict"], explanation
    [service] = explanation["overload"]
    assert service["refused_percent_by_priority"] == {priority: percent}
