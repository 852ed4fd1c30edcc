"""Rules by which probes and peers turn members into suspects."""

from dataclasses import replace

from hornbeamdeal.kernel import Count, EntryHost, HostState

from ._accusations import CONFIRMATIONS
from ._table import MemberTable


def suspect(table: MemberTable, host_id: str, now: float) -> None:
    """Suspect a member that answered neither directly nor through peers."""
    member = table.members_by_id.get(host_id)
    if member is None or member.state is HostState.DEAD:
        return
    if member.state is HostState.ALIVE:
        table.outbox.append(Count("membership_suspicions", "probe_failed"))
    _accuse(table, member, now)
    table.accusations.confirm(host_id, [table.accusations.own_hash])


def absorb_accusation(
    table: MemberTable, claim: EntryHost, accusers: list[int], now: float
) -> None:
    """Take a suspicion, a death or a refutation that hosts spread."""
    host_id = claim.host_id
    if claim.state is HostState.ALIVE:
        table.absorb(claim, now)
        return
    if host_id == table.own_id:
        table.absorb_own(claim, now)
        return
    known = table.members_by_id[host_id]
    if _order(claim) < _order(known):
        table.corrections.append(host_id)
    elif claim.state is HostState.DEAD and host_id not in table.suspect_since_by_id:
        _absorb_spread_death(table, known, claim, accusers, now)
    else:
        _absorb_suspicion(table, known, claim, accusers, now)


def _absorb_suspicion(
    table: MemberTable,
    known: EntryHost,
    claim: EntryHost,
    accusers: list[int],
    now: float,
) -> None:
    if claim.host_id not in table.suspect_since_by_id:
        table.accusations.heard.append(claim.host_id)
    if claim.sequence > known.sequence:
        table.change(replace(claim, state=HostState.SUSPECT), now)
    else:
        _accuse(table, known, now)
    if table.members_by_id[claim.host_id].state is not HostState.DEAD:
        table.accusations.confirm(claim.host_id, accusers)


def _absorb_spread_death(
    table: MemberTable,
    known: EntryHost,
    claim: EntryHost,
    accusers: list[int],
    now: float,
) -> None:
    """Suspect a member that several hosts found silent and one declared dead.

    The suspicion starts without accusers, so the member has the full time-out
    to refute what this host hears late.
    """
    if known.state is HostState.DEAD:
        return
    if now >= table.rejoin_grace_until and len(set(accusers)) >= CONFIRMATIONS:
        _accuse(table, replace(known, sequence=claim.sequence), now)
    else:
        table.absorb_death(known, claim)


def _accuse(table: MemberTable, member: EntryHost, now: float) -> None:
    if member.state is HostState.ALIVE:
        table.change(replace(member, state=HostState.SUSPECT), now)
    elif member.state is HostState.LEAVING:
        table.suspect_since_by_id.setdefault(member.host_id, now)


def _order(host: EntryHost) -> tuple[int, int]:
    return host.incarnation, host.sequence
