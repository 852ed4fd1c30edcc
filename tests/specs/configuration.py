"""Model: the configuration never reverts, and all hosts converge.

Bounds: three entry hosts, of which the third can be partitioned from the others
and from the platform any number of times; three documents, two of which have
the same number (two operators publish at once) and are published in either
order; platform reads whose results arrive at any later time and may be any
document published so far (stale); hosts that are replaced without state at any
time, any number of times. A late offer has the effect of a stale read, so it
needs no transition of its own. Fetching of segments is not modelled: a version is
either complete or absent. After `settle` there are no more faults or publications
and the platform is current; only steps that change a state remain, so each run
terminates, and `rest_means_agreement` is checked in the terminal states.

The code of each transition: `publish` is the operators; `read` is
`PlatformReader.due_calls`; `answer` is `PlatformResultHandler` and `gossip` is
`PeerMessageHandler`, both through `Topic.consider` and `Topic._put_in_force`,
whose rule `is_newer` is the one called here; `replace` is a new `Dissemination`.
"""

from itertools import permutations

from minicheck import Protocol

from hornbeamdeal.dissemination import is_newer
from hornbeamdeal.kernel import Version

HOSTS = (0, 1, 2)
CUT_HOST = 2
# Index 0 means no document. The indices increase in the order of versions.
VERSIONS = (None, Version(1, b"a"), Version(2, b"a"), Version(2, b"b"))
FIELDS = ("in_force", "greatest", "answers", "published", "cut", "settled")
INITIAL = ((0, 0, 0), (0, 0, 0), (0, 0, 0), (), False, False)


def by_order(known: int, candidate: int) -> int:
    """Return the version in force after a candidate arrives, by the order rule."""
    if candidate and is_newer(VERSIONS[candidate], VERSIONS[known]):
        return candidate
    return known


def by_number(known: int, candidate: int) -> int:
    """Compare version numbers only, so that a tie is never resolved."""
    numbers = [VERSIONS[i].number if i else 0 for i in (known, candidate)]
    return candidate if numbers[1] > numbers[0] else known


def by_arrival(known: int, candidate: int) -> int:
    """Accept whatever arrives, like a host without the order rule."""
    return candidate or known


def _set(values: tuple, host: int, value) -> tuple:
    return values[:host] + (value,) + values[host + 1 :]


def _receive(state: tuple, host: int, candidate: int, accept) -> tuple:
    in_force, greatest, *rest = state
    value = accept(in_force[host], candidate)
    high = max(greatest[host], value)
    return (_set(in_force, host, value), _set(greatest, host, high), *rest)


def _publish(state: tuple) -> list:
    published = state[3]
    unpublished = [1] if not published else [v for v in (2, 3) if v not in published]
    return [
        (f"publish {v}", (*state[:3], (*published, v), *state[4:])) for v in unpublished
    ]


def _reads(state: tuple, accept) -> list:
    in_force, greatest, answers, published, cut, settled = state
    steps = []
    for host in HOSTS:
        if answers[host] or (cut and host == CUT_HOST):
            continue
        for version in published[-1:] if settled else published:
            if settled and accept(in_force[host], version) == in_force[host]:
                continue
            asked = _set(answers, host, version)
            changed = (in_force, greatest, asked, published, cut, settled)
            steps.append((f"read {host} {version}", changed))
    return steps


def _arrivals(state: tuple, accept) -> list:
    in_force, _, answers, _, cut, _ = state
    steps = []
    for host in (h for h in HOSTS if answers[h]):
        after = _receive(state, host, answers[host], accept)
        rest = (_set(answers, host, 0), *after[3:])
        steps.append((f"answer {host}", (*after[:2], *rest)))
    for sender, host in permutations(HOSTS, 2):
        if cut and CUT_HOST in (sender, host):
            continue
        after = _receive(state, host, in_force[sender], accept)
        steps.append((f"gossip {sender} {host}", after))
    return [step for step in steps if step[1] != state]


def _faults(state: tuple) -> list:
    in_force, greatest, answers, published, cut, _ = state
    rest = (published, cut, False)
    steps = [("cut or heal", (in_force, greatest, answers, published, not cut, False))]
    steps.append(("settle", (in_force, greatest, answers, published, False, True)))
    for host in HOSTS:
        emptied = [_set(values, host, 0) for values in (in_force, greatest, answers)]
        steps.append((f"replace {host}", (*emptied, *rest)))
    return steps


def build(accept=by_order) -> Protocol:
    """Return the model with the given acceptance rule."""

    def transitions(state: tuple) -> list:
        steps = _reads(state, accept) + _arrivals(state, accept)
        return steps if state[5] else steps + _publish(state) + _faults(state)

    def never_reverts(state: dict) -> bool:
        pairs = zip(state["in_force"], state["greatest"], strict=True)
        return all(value == greatest for value, greatest in pairs)

    def rest_means_agreement(state: dict) -> bool:
        if not state["settled"] or transitions(tuple(state[f] for f in FIELDS)):
            return True
        current = state["published"][-1] if state["published"] else 0
        return len(set(state["in_force"])) == 1 and state["in_force"][0] >= current

    return Protocol(
        name="configuration",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=transitions,
        invariants={
            "never_reverts": never_reverts,
            "rest_means_agreement": rest_means_agreement,
        },
    )


WITHOUT_ORDER_RULE = build(by_arrival)
WITHOUT_TIE_BREAK = build(by_number)
