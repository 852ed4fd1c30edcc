"""Rules by which failed probes and gossip make members suspect."""

from dataclasses import replace

from hornbeamdeal.kernel import EntryHost, HostState, IncrementCounter

from ._accusations import REQUIRED_CONFIRMATIONS
from ._table import MemberTable


def mark_suspect(table: MemberTable, host_id: str, now: float) -> None:
    """Mark a member as suspect whose direct and indirect probes failed."""
    member = table.members_by_id.get(host_id)
    if member is None or member.state is HostState.DEAD:
        return
    if member.state is HostState.ALIVE:
        table.actions.append(IncrementCounter("membership_suspicions", "probe_failed"))
    _start_suspicion(table, member, now)
    table.accusations.add_accusers(host_id, [table.accusations.own_hash])


def apply_accusation(
    table: MemberTable, claim: EntryHost, accusers: list[int], now: float
) -> None:
    """Apply a suspicion, death or refutation received by gossip."""
    host_id = claim.host_id
    if claim.state is HostState.ALIVE:
        table.apply_claim(claim, now)
        return
    if host_id == table.own_id:
        table.apply_own_claim(claim, now)
        return
    known = table.members_by_id[host_id]
    if _precedence(claim) < _precedence(known):
        table.corrections.append(host_id)
    elif claim.state is HostState.DEAD and host_id not in table.suspect_since_by_id:
        _apply_gossiped_death(table, known, claim, accusers, now)
    else:
        _apply_suspicion(table, known, claim, accusers, now)


def _apply_suspicion(
    table: MemberTable,
    known: EntryHost,
    claim: EntryHost,
    accusers: list[int],
    now: float,
) -> None:
    if claim.host_id not in table.suspect_since_by_id:
        table.accusations.reported_suspects.append(claim.host_id)
    if claim.sequence > known.sequence:
        table.update_state(replace(claim, state=HostState.SUSPECT), now)
    else:
        _start_suspicion(table, known, now)
    if table.members_by_id[claim.host_id].state is not HostState.DEAD:
        table.accusations.add_accusers(claim.host_id, accusers)


def _apply_gossiped_death(
    table: MemberTable,
    known: EntryHost,
    claim: EntryHost,
    accusers: list[int],
    now: float,
) -> None:
    """Suspect a member that another host declared dead, if enough hosts confirm.

    The suspicion starts without accusers, so that the member has the full
    timeout to refute, however late this host learned of the death.
    """
    if known.state is HostState.DEAD:
        return
    if now >= table.rejoin_grace_until and len(set(accusers)) >= REQUIRED_CONFIRMATIONS:
        _start_suspicion(table, replace(known, sequence=claim.sequence), now)
    else:
        table.apply_death_claim(known, claim)


def _start_suspicion(table: MemberTable, member: EntryHost, now: float) -> None:
    if member.state is HostState.ALIVE:
        table.update_state(replace(member, state=HostState.SUSPECT), now)
    elif member.state is HostState.LEAVING:
        table.suspect_since_by_id.setdefault(member.host_id, now)


def _precedence(host: EntryHost) -> tuple[int, int]:
    return host.incarnation, host.sequence
