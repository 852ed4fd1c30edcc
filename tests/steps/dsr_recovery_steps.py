"""Steps for hosts that must be current soon after a disturbance."""

import trio
from behave import given, then, when
from fakes.dsr_fleet_simulation import NEW_VERSION, FleetSimulation
from fakes.dsr_host import make_routes

from hornbeamdeal.dsr import ReadScheduler

DISTURBED_AT = 8.0
CONTACT_SECONDS = 4.0
# The pauses grow at first, so that a disturbance may end just after any of them began.
DURATIONS = (3.1, 4.9, 6.7, 8.5, 9.3, 11.6)
LONG_SECONDS = 60.0


def lose(simulation, lost):
    """Kill hosts or cut them off; return the other hosts."""
    hosts = simulation.hosts
    elected = [host for host in hosts if host.read_scheduler.is_elected_reader]
    gone = {"nobody is lost": [], "all hosts but one are killed": hosts[:-1]}.get(
        lost, elected
    )
    for host in gone:
        if lost.endswith("killed"):
            host.kill()
        elif lost.endswith("from all"):
            simulation.cut_hosts.add(host.host_id)
        if not lost.endswith("killed"):
            simulation.store.failure_kinds_by_host[host.host_id] = "unreachable"
    return [host for host in hosts if host not in gone]


def run_disturbance(context, lost, kind, seconds):
    """Return how long after the disturbance each host had the newest version."""

    async def script(simulation):
        await trio.sleep(DISTURBED_AT)
        rest = lose(simulation, lost)
        # The rest reads itself once it has heard nothing for 2.3 s.
        await trio.sleep(2.2)
        kinds = simulation.store.failure_kinds_by_host
        kinds.update({host.host_id: kind for host in rest})
        simulation.store.put(routes=make_routes(NEW_VERSION))
        await trio.sleep(seconds)
        for host in rest:
            del kinds[host.host_id]
        simulation.ended_at = trio.current_time()
        simulation.rest = rest

    simulation = FleetSimulation(
        hosts=context.hosts, zones=context.zones, random_state=round(10 * seconds)
    )
    simulation.run(script, DISTURBED_AT + 2.2 + seconds + 2 * CONTACT_SECONDS)
    assert simulation.rest
    return {
        host.host_id: host.first_seen_by_version.get(NEW_VERSION, LONG_SECONDS)
        - simulation.ended_at
        for host in simulation.rest
    }


@given("disturbances of a fleet of {hosts:d} hosts in {zones:d} zones")
def given_fleet(context, hosts, zones):
    context.hosts, context.zones = hosts, zones


@when("{lost} and the rest is kept from the store by {kind} for various times")
def when_disturbed(context, lost, kind):
    context.delays_by_duration = {
        seconds: run_disturbance(context, lost, kind, seconds) for seconds in DURATIONS
    }


@then("each host of the rest has the newest version {seconds:g} s after it")
def then_current(context, seconds):
    late = {
        duration: delays
        for duration, delays in context.delays_by_duration.items()
        if max(delays.values()) > seconds
    }
    assert not late, late


@given(
    "the read scheduler of the host at position {position:d}"
    " with a contact time of {seconds:g} s"
)
def given_scheduler(context, position, seconds):
    context.read_scheduler = ReadScheduler(contact=seconds, random_state=1)
    context.read_scheduler.position = position
    context.read_scheduler.is_elected_reader = position < 6


@given(
    "the read schedulers of {hosts:d} hosts, of which {elected:d} are elected readers"
)
def given_schedulers(context, hosts, elected):
    context.read_schedulers = []
    for position in range(hosts):
        scheduler = ReadScheduler(random_state=position)
        scheduler.position = position
        scheduler.is_elected_reader = position < elected
        scheduler.is_reading = position == 0
        context.read_schedulers.append(scheduler)


@when("the store answers each read with a failure for {seconds:g} s")
def when_failing(context, seconds):
    context.calls = 0
    for scheduler in context.read_schedulers:
        now = scheduler.next_read_delay(0.0, 0.0)
        while now < seconds:
            context.calls += 1
            scheduler.record_read_start()
            scheduler.record_failure(now, "unavailable")
            now += scheduler.next_read_delay(0.0, now)


@then("it got at most {count:d} calls")
def then_calls(context, count):
    assert context.calls <= count, context.calls
