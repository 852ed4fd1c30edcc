"""Steps for the spill of new flows to other zones."""

from behave import given, then, when
from fakes.overloaded_servers import (
    SERVICE_SECONDS,
    SLOTS,
    OverloadedService,
    answered_share,
    make_route,
)

SAMPLE_SECONDS = 0.25


@given("{hosts:d} hosts and {servers:d} servers in each of zones {zones}")
def given_zones(context, hosts, servers, zones):
    context.build = lambda: OverloadedService(
        zones=tuple(zones.split(",")), hosts=hosts, servers=servers
    )
    context.service = context.build()
    context.routes = [make_route(f"priority {p}", p) for p in range(2)]
    context.capacity = servers * SLOTS * 2 / sum(SERVICE_SECONDS)
    context.spills = []
    for index in range(round(40 / SAMPLE_SECONDS)):
        context.service.at(index * SAMPLE_SECONDS, sample, context)


def sample(context):
    """Record the mean share that the hosts of each zone spill."""
    shares = {
        zone: sum(host.spilled_share for host in hosts) / len(hosts)
        for zone, hosts in context.service.hosts_by_zone.items()
    }
    context.spills.append((context.service.now, shares))


@given("{percent:d}% of its capacity in zone {zone} from {start:g} s to {end:g} s")
def given_zone_load(context, percent, zone, start, end):
    rate = percent / 100 * context.capacity / len(context.routes)
    for route in context.routes:
        context.service.add_load(route, rate, start, end, zone=zone)


def run_again(context, change_host):
    """Run the same requests on changed hosts; return them."""
    service = context.build()
    for host in service.hosts:
        change_host(host)
    for r in sorted(context.service.requests, key=lambda r: r.at):
        service.add_request(r.route, r.caller, r.zone, r.at)
    service.run(context.service.now)
    return service


def disable_spill(host):
    host.spills = False


def disable_all(host):
    host.spills = host.admits = False


@when("zone {zone} can't reach zone {other}")
def when_cut(context, zone, other):
    context.service.reachable_zones[zone].discard(other)


@when("zone {zone} reaches zone {other} again")
def when_healed(context, zone, other):
    context.service.reachable_zones[zone].add(other)


@when("zone {zone} of the overloaded service is evacuated")
def when_evacuated(context, zone):
    context.service.closed_zones.add(zone)


@when("a host that spills is paused for {seconds:g} s")
def when_spilling_host_paused(context, seconds):
    hosts = sorted(context.service.hosts, key=lambda host: host.spilled_share)
    # With this much, smaller steps would not have ended the spill.
    assert hosts[-1].spilled_share > 0.4
    context.one_host, context.other_host = hosts[-1], hosts[-2]
    context.service.pause(context.one_host, seconds)


@when("another host that spills restarts")
def when_other_restarts(context):
    assert context.other_host.spilled_share > 0
    context.other_host.restart()


@then("the host that was paused spills nothing")
def then_paused_spills_nothing(context):
    assert context.one_host.spilled_share == 0


@then("that other host spills nothing")
def then_other_spills_nothing(context):
    assert context.other_host.spilled_share == 0


@then(
    "zone {zone} gets at least {percent:d}% of its answers in time from {start:g} s to {end:g} s"
)
def then_zone_answered(context, percent, zone, start, end):
    requests = [r for r in context.service.select(start, end) if r.zone == zone]
    share = answered_share(requests)
    assert share >= percent / 100, share


@then(
    "more are answered there than refused or shed without spill from {start:g} s to {end:g} s"
)
def then_better_than_without(context, start, end):
    share = answered_share(context.service.select(start, end))
    without = run_again(context, disable_spill)
    baseline = answered_share(without.select(start, end))
    assert share > baseline + 0.2, (share, baseline)


@then("the same seed without spill and admission gives the same choices")
def then_same_choices(context):
    def choices(service):
        return [
            (r.at, r.server_id, r.seconds)
            for r in sorted(service.requests, key=lambda r: r.at)
        ]

    again = [run_again(context, change) for change in (lambda host: None, disable_all)]
    assert len(again[0].requests) > 1000
    assert choices(again[0]) == choices(again[1])


def mean_spills(context, zone, start=0.0, end=40.0):
    return [s[zone] for at, s in context.spills if start <= at < end]


@then("the hosts of zone {zone} spill nothing at the end")
def then_no_spill(context, zone):
    assert all(h.spilled_share == 0 for h in context.service.hosts_by_zone[zone])


@then("the hosts of zone {zone} spill load")
def then_spill(context, zone):
    assert mean_spills(context, zone)[-1] > 0.1


@then(
    "the hosts of zone {zone} spill at most {percent:d}% on average from {start:g} s to {end:g} s"
)
def then_little_spill(context, zone, percent, start, end):
    shares = mean_spills(context, zone, start, end)
    assert sum(shares) / len(shares) <= percent / 100, shares


@then(
    "no flow opened in zone {zone} goes to zone {other} from {start:g} s to {end:g} s"
)
def then_none_goes(context, zone, other, start, end):
    requests = [r for r in context.service.select(start, end) if r.zone == zone]
    assert requests
    assert not [r for r in requests if r.server_id and r.server_id.startswith(other)]


@then("the mean spill of zone {zone} rises by at most {percent:d}% within any second")
def then_slow_rise(context, zone, percent):
    shares = mean_spills(context, zone)
    steps = round(1 / SAMPLE_SECONDS)
    rises = [b - a for a, b in zip(shares, shares[steps:], strict=False)]
    assert max(shares) > 0.1
    assert max(rises) <= percent / 100, max(rises)
