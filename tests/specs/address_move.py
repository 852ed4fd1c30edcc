"""Model of an address that moves between services while hosts disagree.

Version 1 moves the address from service A to B at second 0. From second 3, when
it is in force on every running host, the address means B to its callers. One
packet is in flight; it may wait in the socket of a paused host. Packet C is for
an address that stays with A, and a host with an old host list sends it to an
endpoint that B's server took over.
"""

from minicheck import Protocol, check_safety

from hornbeamdeal.document import HOLD_DOWN_SECONDS

CONVERGENCE_SECONDS = 3
NETWORK_SECONDS = 1
LAST_SECOND = 12
HOSTS = ("x", "y")
FIELDS = ("now", "x", "y", "packet", "wrong")
# A host is (version, seconds of hold-down left, state); a packet is (meaning,
# host, age).
START = (0, (0, 0, "runs"), (0, 0, "runs"), None, False)


def check(
    hold_down=True,
    hold_at_start=True,
    version_check=True,
    identity_check=True,
    running_time_only=True,
):
    """Explore all runs; return the result for the one property."""
    hold = int(HOLD_DOWN_SECONDS) * hold_down
    started = (1, hold * hold_at_start, "runs")

    def transitions(state):
        now, x, y, packet, wrong = state
        hosts = {"x": x, "y": y}
        steps = _host_steps(hosts, hold, version_check)
        found = [(label, (now, *after, packet, wrong)) for label, after in steps]
        if packet is None:
            meaning = "A" if now < CONVERGENCE_SECONDS else "B"
            for sent in ((m, h, 0) for m in (meaning, "C") for h in HOSTS):
                found.append((f"send {sent[0]} to {sent[1]}", (now, x, y, sent, wrong)))
        elif hosts[packet[1]][2] != "paused":
            hit = _is_wrong(packet, hosts[packet[1]], identity_check)
            found.append(("handle packet", (now, x, y, None, wrong or hit)))
        # A new host has an empty socket, and reads version 1 when it starts.
        left_over = packet if packet and packet[1] == "x" else None
        found.append(("y is replaced", (now, x, started, left_over, wrong)))
        if _may_tick(now, hosts, packet):
            found.append(("tick", _tick(state, running_time_only)))
        return found

    model = Protocol(
        name="address_move",
        candidate=False,
        fields=FIELDS,
        initial=START,
        transitions=transitions,
        invariants={"isolated": lambda state: not state["wrong"]},
    )
    return check_safety(model)["properties"]["isolated"]


def _host_steps(hosts, hold, version_check):
    x, y = hosts["x"], hosts["y"]
    for name, (version, left, state) in hosts.items():
        if version == 0 and state != "paused":
            learned = (1, hold, "runs")
            after = (learned, y) if name == "x" else (x, learned)
            yield f"{name} puts version 1 in force", after
        elif state == "unchecked":
            after = ((version, left, "runs"), y)
            yield f"{name} checks", after if name == "x" else (x, (1, left, "runs"))
    if y[2] == "runs":
        yield "y pauses", (x, (*y[:2], "paused"))
    if y[2] == "paused":
        woken = "unchecked" if version_check else "runs"
        yield "y resumes", (x, (*y[:2], woken))


def _is_wrong(packet, host, identity_check):
    meaning, _, _ = packet
    version, hold_left, state = host
    if meaning == "C":
        return not identity_check
    served = "B" if version else "A"
    held = hold_left > 0 or state == "unchecked"
    return not held and served != meaning


def _may_tick(now, hosts, packet):
    if now == LAST_SECOND:
        return False
    late = now + 1 >= CONVERGENCE_SECONDS
    if late and any(v == 0 and state == "runs" for v, _, state in hosts.values()):
        return False
    if packet is None or hosts[packet[1]][2] == "paused":
        return True
    return packet[2] < NETWORK_SECONDS


def _tick(state, running_time_only):
    now, x, y, packet, wrong = state
    aged = packet and (*packet[:2], min(packet[2] + 1, NETWORK_SECONDS))
    hosts = (_age_hold(host, running_time_only) for host in (x, y))
    return now + 1, *hosts, aged, wrong


def _age_hold(host, running_time_only):
    version, left, state = host
    if running_time_only and state == "paused":
        return host
    return version, max(0, left - 1), state
