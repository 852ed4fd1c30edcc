"""Model of two hosts that follow the evacuation of a zone in a store that is restored.

The operator evacuates the zone and returns it; each write gets the next revision. As
in `store_epochs`, a restore takes the store back and begins another epoch, the reader
watches the store or reads it in full and sends what it learned to the peer, a message
may be lost or overtaken, and either host may read in full by itself. An evacuation that
a restored store has lost lapses at any time after.

The property: a host whose position is that of the store has the zone evacuated if the
store has, and not only until it lapses; and if the store has not, at most until it
lapses. The real `Catalog` and the reader's real updates are used. Not modelled: the 30 s
themselves, and a store that goes back without another epoch.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

from hornbeamdeal.dsr import (
    Catalog,
    CatalogReader,
    ReadScheduler,
    RouteTable,
    ServerHealth,
    Update,
    ZoneState,
)
from hornbeamdeal.dsr._evacuations import UNCONFIRMED_EVACUATION_SECONDS, ZoneRecord
from hornbeamdeal.kernel import ManualClock

from .store_epochs import SentUpdate, SilentJournal

ZONE = "z"
MAXIMUM_REVISION = 4
MAXIMUM_EPOCH = 3
ROUTES = RouteTable(version=1, routes_by_key={}, idle_timeout=1.0)


class Host(NamedTuple):
    """A host's position and its record of the zone.

    `zone` is "unknown", "in use", "evacuated" or, if a restored store has lost the
    evacuation, "lost".
    """

    epoch: int = 1
    revision: int = 1
    zone: str = "unknown"
    zone_revision: int = 0
    copied_revision: int = 1


class State(NamedTuple):
    """The store's epoch, the key's last write at each revision, hosts, a message.

    `history` holds at which revision the present key was written, 0 without one. A
    message holds base and new position, the zone's states and `needs_exact_base`.
    """

    epoch: int = 1
    history: tuple = (0,)
    reader: Host = Host()
    peer: Host = Host()
    message: tuple = ()


def check(
    epochs=True,
    exact_base=True,
    confirmations=True,
    all_zones=True,
    copied_revision=True,
    maximum_revision=MAXIMUM_REVISION,
):
    """Explore all runs and return the result for `current_hosts_agree`.

    Each of the first parameters disables one mechanism if False: epochs; exact bases
    of changes from full reads; news of a confirmed evacuation; all evacuated zones in
    changes to another epoch; comparison with the revision of the latest copy.
    """
    lacks = {
        "epochs": not epochs,
        "exact_base": not exact_base,
        "confirmations": not confirmations,
        "all_zones": not all_zones,
        "copied_revision": not copied_revision,
    }

    def transitions(values):
        state = State(*values)
        enabled = [*_store_steps(state, maximum_revision)]
        enabled += _reader_steps(state, lacks)
        enabled += _peer_steps(state, lacks)
        return [(label, tuple(after)) for label, after in enabled]

    model = Protocol(
        name="zone_evacuations",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"current_hosts_agree": lambda values: _agree(values, epochs)},
    )
    return check_safety(model)


def _agree(values, epochs):
    position = (values["epoch"] if epochs else 1, len(values["history"]))
    allowed = {"unknown", "in use", "lost"}
    if values["history"][-1]:
        allowed = {"evacuated"}
    return all(
        (host.epoch, host.revision) != position or host.zone in allowed
        for host in (values["reader"], values["peer"])
    )


def _store_steps(state, maximum_revision):
    revision = len(state.history) + 1
    if revision <= maximum_revision:
        evacuated = state._replace(history=(*state.history, revision))
        yield "operator evacuates", evacuated
        if state.history[-1]:
            returned = state._replace(history=(*state.history, 0))
            yield "operator returns", returned
    if state.epoch < MAXIMUM_EPOCH:
        for kept in range(1, len(state.history)):
            restored = state._replace(
                epoch=state.epoch + 1, history=state.history[:kept]
            )
            yield f"restore revision {kept}", restored


def _reader_steps(state, lacks):
    reader = state.reader
    is_known = lacks["epochs"] or reader.epoch == state.epoch
    if is_known and reader.revision <= len(state.history):
        watched = _watched(state, reader.revision)
        yield "reader watches", _read(state, watched, lacks)
    yield "reader reads all", _read(state, _copied(state), lacks)
    if reader.zone == "lost":
        yield "reader's evacuation lapses", state._replace(reader=_lapsed(reader))


def _peer_steps(state, lacks):
    if state.message:
        peer = _catalog_of(state.peer, lacks)
        update = _decode(state.message)
        if not peer.can_apply(update):
            update = _catalog_of(state.reader, lacks).as_update(0.0)
        peer.apply(update, 0.0)
        after = _host_of(peer, lacks)
        yield "message arrives", state._replace(peer=after, message=())
        yield "message is lost", state._replace(message=())
    alone = _catalog_of(state.peer, lacks)
    alone.apply(_with_epoch(_copied(state), lacks), 0.0)
    yield "peer reads all", state._replace(peer=_host_of(alone, lacks))
    if state.peer.zone == "lost":
        yield "peer's evacuation lapses", state._replace(peer=_lapsed(state.peer))


def _lapsed(host):
    return host._replace(zone="in use", zone_revision=0)


def _watched(state, after):
    """Return the store's answer to a watch after a revision, with each write."""
    states = [
        ZoneState(ZONE, written_at > 0, revision)
        for revision, written_at in enumerate(state.history, start=1)
        if revision > after
    ]
    return Update(
        base_revision=after,
        epoch=state.epoch,
        revision=len(state.history),
        zones=states,
    )


def _copied(state):
    """Return a full copy of the store."""
    written_at = state.history[-1]
    return Update(
        base_revision=None,
        epoch=state.epoch,
        revision=len(state.history),
        routes=ROUTES,
        zones=[ZoneState(ZONE, True, written_at)] if written_at else [],
    )


def _read(state, answer, lacks):
    reader = CatalogReader(
        clock=ManualClock(0.0),
        catalog=_catalog_of(state.reader, lacks),
        read_scheduler=ReadScheduler(random_state=1),
        server_health=ServerHealth(),
        journal=SilentJournal(),
        source=None,
    )
    reader.peering = sent = SentUpdate()
    reader._apply_answer(_with_epoch(answer, lacks), 0.0)
    after = _host_of(reader.catalog, lacks)
    update = sent.update
    is_next_epoch = update.epoch != update.base_epoch
    was_evacuated = state.reader.zone in ("evacuated", "lost")
    is_evacuated = after.zone in ("evacuated", "lost")
    is_unchanged = was_evacuated == is_evacuated
    if lacks["confirmations"] and not is_next_epoch and is_unchanged:
        update.zones = []
    if lacks["all_zones"] and is_next_epoch and is_unchanged:
        update.zones = []
    if lacks["exact_base"]:
        update.needs_exact_base = False
    return state._replace(reader=after, message=_encode(update))


def _with_epoch(update, lacks):
    if lacks["epochs"]:
        update.epoch = update.base_epoch = 1
    return update


def _catalog_of(host, lacks):
    catalog = Catalog()
    catalog.routes = ROUTES
    catalog.epoch, catalog.revision = host.epoch, host.revision
    if not lacks["copied_revision"]:
        catalog.evacuations._complete_revision = host.copied_revision
    if host.zone != "unknown":
        record = ZoneRecord(host.zone != "in use", host.zone_revision, 0.0)
        if host.zone == "lost":
            record.expires_at = UNCONFIRMED_EVACUATION_SECONDS
        catalog.evacuations.records_by_zone[ZONE] = record
    return catalog


def _host_of(catalog, lacks):
    evacuations = catalog.evacuations
    record = evacuations.records_by_zone.get(ZONE)
    zone = "unknown"
    if record is not None:
        zone = "in use"
        if record.is_evacuated:
            zone = "evacuated" if record.expires_at is None else "lost"
    return Host(
        epoch=catalog.epoch,
        revision=catalog.revision,
        zone=zone,
        zone_revision=record.revision if record else 0,
        copied_revision=0
        if lacks["copied_revision"]
        else evacuations._complete_revision,
    )


def _encode(update):
    states = tuple(
        (state.is_evacuated, state.revision, state.remaining_seconds)
        for state in update.zones
    )
    base = (update.base_epoch, update.base_revision)
    return (base, (update.epoch, update.revision), states, update.needs_exact_base)


def _decode(message):
    (base_epoch, base_revision), (epoch, revision), states, needs_exact_base = message
    return Update(
        base_epoch=base_epoch,
        base_revision=base_revision,
        epoch=epoch,
        revision=revision,
        needs_exact_base=needs_exact_base,
        zones=[ZoneState(ZONE, *state) for state in states],
    )
