"""Model of an address that moves between services while hosts disagree.

Document version 1 moves the address from service A to service B at second 0. By
second 3 it is in force on every running host, and from then on callers expect B
at the address. One packet is in flight at a time; it may wait in the socket of a
paused host. Packet C is sent to another address that stays with service A. A host
with an outdated host list forwards it to an endpoint that a server of B now uses.

The property is that no packet reaches a service that its caller did not mean.
"""

from minicheck import Protocol, check_safety

from hornbeamdeal.document import HOLD_DOWN_SECONDS

CONVERGENCE_SECONDS = 3
NETWORK_SECONDS = 1
LAST_SECOND = 12
HOSTS = ("x", "y")
FIELDS = ("now", "x", "y", "packet", "misdelivered")
# A host is (document version, seconds of hold-down left, process state). A packet is
# (expected service, host, age in seconds).
INITIAL_STATE = (0, (0, 0, "running"), (0, 0, "running"), None, False)


def check(
    hold_down=True,
    hold_at_start=True,
    version_check=True,
    identity_check=True,
    running_time_only=True,
):
    """Check all runs of the model and return the result for its property.

    A parameter set to False removes one mechanism of the design.
    """
    hold_seconds = int(HOLD_DOWN_SECONDS) * hold_down
    replacement = (1, hold_seconds * hold_at_start, "running")

    def transitions(state):
        now, x, y, packet, misdelivered = state
        hosts = {"x": x, "y": y}
        host_transitions = _host_transitions(hosts, hold_seconds, version_check)
        successors = [
            (label, (now, *after, packet, misdelivered))
            for label, after in host_transitions
        ]
        if packet is None:
            expected = "A" if now < CONVERGENCE_SECONDS else "B"
            for new_packet in ((m, h, 0) for m in (expected, "C") for h in HOSTS):
                successors.append(
                    (
                        f"send {new_packet[0]} to {new_packet[1]}",
                        (now, x, y, new_packet, misdelivered),
                    )
                )
        elif hosts[packet[1]][2] != "paused":
            is_misdelivered = _is_misdelivered(packet, hosts[packet[1]], identity_check)
            successors.append(
                ("handle packet", (now, x, y, None, misdelivered or is_misdelivered))
            )
        # A new host has an empty socket and starts with version 1.
        kept_packet = packet if packet and packet[1] == "x" else None
        successors.append(
            ("y is replaced", (now, x, replacement, kept_packet, misdelivered))
        )
        if _can_advance(now, hosts, packet):
            successors.append(
                ("one second passes", _advance_time(state, running_time_only))
            )
        return successors

    model = Protocol(
        name="address_move",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL_STATE,
        transitions=transitions,
        invariants={"isolated": lambda state: not state["misdelivered"]},
    )
    return check_safety(model)["properties"]["isolated"]


def _host_transitions(hosts, hold_seconds, version_check):
    x, y = hosts["x"], hosts["y"]
    for name, (version, hold_left, state) in hosts.items():
        if version == 0 and state != "paused":
            updated_host = (1, hold_seconds, "running")
            after = (updated_host, y) if name == "x" else (x, updated_host)
            yield f"{name} puts version 1 in force", after
        elif state == "unconfirmed":
            after = ((version, hold_left, "running"), y)
            yield (
                f"{name} confirms its version",
                after if name == "x" else (x, (1, hold_left, "running")),
            )
    if y[2] == "running":
        yield "y pauses", (x, (*y[:2], "paused"))
    if y[2] == "paused":
        resumed_state = "unconfirmed" if version_check else "running"
        yield "y resumes", (x, (*y[:2], resumed_state))


def _is_misdelivered(packet, host, identity_check):
    expected, _, _ = packet
    version, hold_left, state = host
    if expected == "C":
        return not identity_check
    actual = "B" if version else "A"
    is_held = hold_left > 0 or state == "unconfirmed"
    return not is_held and actual != expected


def _can_advance(now, hosts, packet):
    if now == LAST_SECOND:
        return False
    convergence_is_due = now + 1 >= CONVERGENCE_SECONDS
    if convergence_is_due and any(
        v == 0 and state == "running" for v, _, state in hosts.values()
    ):
        return False
    if packet is None or hosts[packet[1]][2] == "paused":
        return True
    return packet[2] < NETWORK_SECONDS


def _advance_time(state, running_time_only):
    now, x, y, packet, misdelivered = state
    older_packet = packet and (*packet[:2], min(packet[2] + 1, NETWORK_SECONDS))
    hosts = (_age_hold(host, running_time_only) for host in (x, y))
    return now + 1, *hosts, older_packet, misdelivered


def _age_hold(host, running_time_only):
    version, hold_left, state = host
    if running_time_only and state == "paused":
        return host
    return version, max(0, hold_left - 1), state
