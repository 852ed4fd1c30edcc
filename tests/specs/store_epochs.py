"""Model of two hosts that follow one server's entry in a store that may be restored.

Writes change the entry, and each gets the next revision. A restore takes the store
back to an earlier revision of the present history and begins another epoch; later
writes reuse the revisions. The reader watches the store from its position, or reads
it in full, and sends what changed to the peer. A message may be lost, or be overtaken
by later changes of the store; the peer applies it, or gets a full copy of the reader's
catalog. Either host may also read in full by itself.

The property: a host whose position is that of the store has the store's entry. The
real `Catalog` and the reader's real updates are used. Not modelled: time, so
provisional states count as ended (an unconfirmed server as removed), and a store that
goes back without another epoch.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

from hornbeamdeal.dsr import (
    Catalog,
    CatalogReader,
    ReadScheduler,
    RouteTable,
    Server,
    ServerHealth,
    Update,
)
from hornbeamdeal.kernel import ManualClock

SERVER_ID = "i-1"
MAXIMUM_REVISION = 4
MAXIMUM_EPOCH = 2
ENTRIES = ("gone", "ready", "draining")
ROUTES = RouteTable(version=1, routes_by_key={}, idle_timeout=1.0)


class Host(NamedTuple):
    """A host's position and entry: its state and revision, "gone" and 0 without one."""

    epoch: int = 1
    revision: int = 1
    entry: str = "gone"
    entry_revision: int = 0
    removed_revision: int = 0
    copied_revision: int = 0


class State(NamedTuple):
    """The store's epoch and the entry at each revision from 1, hosts, a message.

    A message holds the reader's former position, its new one, the change of the entry
    and whether it needs an exact base.
    """

    epoch: int = 1
    history: tuple = ("gone",)
    reader: Host = Host()
    peer: Host = Host()
    message: tuple = ()


def check(
    epochs=True, exact_base=True, all_removals=True, maximum_revision=MAXIMUM_REVISION
):
    """Explore all runs and return the result for `current_hosts_agree`.

    Each of the first parameters disables one mechanism if False.
    """

    def transitions(values):
        state = State(*values)
        enabled = [*_store_steps(state, maximum_revision)]
        enabled += _reader_steps(state, epochs, exact_base, all_removals)
        enabled += _peer_steps(state, epochs)
        return [(label, tuple(after)) for label, after in enabled]

    model = Protocol(
        name="store_epochs",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"current_hosts_agree": lambda values: _agree(values, epochs)},
    )
    return check_safety(model)


def _agree(values, epochs):
    epoch = values["epoch"] if epochs else 1
    return all(
        (host.epoch, host.revision) != (epoch, len(values["history"]))
        or host.entry == values["history"][-1]
        for host in (values["reader"], values["peer"])
    )


def _store_steps(state, maximum_revision):
    if len(state.history) < maximum_revision:
        for entry in ENTRIES:
            if entry != state.history[-1]:
                written = state._replace(history=(*state.history, entry))
                yield f"write {entry}", written
    if state.epoch < MAXIMUM_EPOCH:
        for revision in range(1, len(state.history)):
            restored = state._replace(
                epoch=state.epoch + 1, history=state.history[:revision]
            )
            yield f"restore revision {revision}", restored


def _reader_steps(state, epochs, exact_base, all_removals):
    reader = state.reader
    is_known = not epochs or reader.epoch == state.epoch
    if is_known and reader.revision <= len(state.history):
        watched = _watched(state, reader.revision)
        yield "reader watches", _read(state, watched, epochs, exact_base, all_removals)
    copied = _copied(state)
    yield "reader reads all", _read(state, copied, epochs, exact_base, all_removals)


def _peer_steps(state, epochs):
    peer = _catalog_of(state.peer)
    if state.message:
        update = _decode(state.message)
        if peer.can_apply(update):
            peer.apply(update, 0.0)
        else:
            peer.apply(_catalog_of(state.reader).as_update(0.0), 0.0)
        after = _host_of(peer)
        yield "message arrives", state._replace(peer=after, message=())
        yield "message is lost", state._replace(message=())
    alone = _catalog_of(state.peer)
    alone.apply(_with_epoch(_copied(state), epochs), 0.0)
    yield "peer reads all", state._replace(peer=_host_of(alone))


def _watched(state, after):
    """Return the store's answer to a watch after a revision."""
    update = Update(
        base_revision=after, epoch=state.epoch, revision=len(state.history), servers=[]
    )
    if len(state.history) > after:
        revision, entry = len(state.history), state.history[-1]
        if entry == "gone":
            update.removed[SERVER_ID] = revision
        else:
            update.servers.append(_server(entry, revision))
    return update


def _copied(state):
    """Return a full copy of the store."""
    revision, entry = len(state.history), state.history[-1]
    return Update(
        base_revision=None,
        epoch=state.epoch,
        revision=revision,
        servers=[] if entry == "gone" else [_server(entry, revision)],
        routes=ROUTES,
    )


class SentUpdate:
    """Keeps the update that the reader sends to peers."""

    def broadcast(self, update, previous):
        self.update = update


class SilentJournal:
    def event(self, name, **fields):
        pass

    def count(self, name, reason="", amount=1):
        pass


def _read(state, answer, epochs, exact_base, all_removals):
    reader = CatalogReader(
        clock=ManualClock(0.0),
        catalog=_catalog_of(state.reader),
        read_scheduler=ReadScheduler(random_state=1),
        server_health=ServerHealth(),
        journal=SilentJournal(),
        source=None,
    )
    reader.peering = sent = SentUpdate()
    reader._apply_answer(_with_epoch(answer, epochs), 0.0)
    update = sent.update
    if not all_removals and state.reader.entry == "gone":
        update.removed = {}
    if not exact_base:
        update.needs_exact_base = False
    return state._replace(reader=_host_of(reader.catalog), message=_encode(update))


def _with_epoch(update, epochs):
    if not epochs:
        update.epoch = update.base_epoch = 1
    return update


def _server(entry, revision):
    return Server(
        server_id=SERVER_ID,
        number=bytes(8),
        service="s",
        address=("10.0.0.1", 1),
        zone="z",
        slots=1,
        is_draining=entry == "draining",
        revision=revision,
    )


def _catalog_of(host):
    catalog = Catalog()
    catalog.routes = ROUTES
    catalog.epoch = host.epoch
    catalog.revision = host.revision
    if host.entry != "gone":
        catalog.servers_by_id[SERVER_ID] = _server(host.entry, host.entry_revision)
    if host.removed_revision:
        catalog.removals.record(SERVER_ID, host.removed_revision, 0.0)
    catalog.removals.complete_revision = host.copied_revision
    return catalog


def _host_of(catalog):
    server = catalog.servers_by_id.get(SERVER_ID)
    if server is None or server.revision == 0:
        entry, revision = "gone", 0
    else:
        entry = "draining" if server.is_draining else "ready"
        revision = server.revision
    return Host(
        epoch=catalog.epoch,
        revision=catalog.revision,
        entry=entry,
        entry_revision=revision,
        removed_revision=catalog.removals.revision_of(SERVER_ID),
        copied_revision=catalog.removals.complete_revision,
    )


def _encode(update):
    change = ()
    for server in update.servers:
        entry = "draining" if server.is_draining else "ready"
        change = ("listed", entry, server.revision)
    if SERVER_ID in update.removed:
        change = ("removed", "gone", update.removed[SERVER_ID])
    base = (update.base_epoch, update.base_revision)
    return (base, (update.epoch, update.revision), change, update.needs_exact_base)


def _decode(message):
    (base_epoch, base_revision), (epoch, revision), change, needs_exact_base = message
    update = Update(
        base_epoch=base_epoch,
        base_revision=base_revision,
        epoch=epoch,
        revision=revision,
        servers=[],
        needs_exact_base=needs_exact_base,
    )
    if change and change[0] == "listed":
        update.servers = [_server(change[1], change[2])]
    elif change:
        update.removed = {SERVER_ID: change[2]}
    return update
