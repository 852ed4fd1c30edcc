"""Model of a server whose entry in the store lapses, and of a host's resets.

One server, one store and one host, in steps of a second. A trouble (server cut
off, store away, crash) begins only when the one before has been over for as
long as the contact bound, any number of times. A server that is not heard by
the store for three reports loses its entry, and writes it again within two
seconds once both are there. The host hears of entries within a step while the
store is there; callers' silence tells it of a death while the server is out of
reach, and for two seconds after.

The property: no flow is reset whose server lives and has been without trouble
for the contact bound. Not covered: two troubles at once, hosts that hear of
entries through others, handles that two servers share.

Transitions and the code that they stand for: host hears: `Catalog.apply`,
`CatalogReader.handle_server_changes`; callers find it dead: `ServerHealth.is_dead`;
packet: `Catalog.is_gone`.
"""

from typing import NamedTuple

from minicheck import Protocol, check_safety

from hornbeamdeal.dsr._catalog import REREGISTRATION_SECONDS
from hornbeamdeal.dsr._server_health import (
    RECENT_DEATH_SECONDS,
    UNANSWERED_WINDOW_SECONDS,
)

LAPSE_STEPS = 3
REPORT_STEPS = 2
CONTACT_STEPS = 4
LAST_STEP = 16
FOREVER = LAST_STEP + 1


class State(NamedTuple):
    """`missing`, `death` and `unreported` are ages in steps, -1 for none."""

    now: int = 0
    server: str = "up"
    calm: int = CONTACT_STEPS
    is_store_up: bool = True
    store_calm: int = CONTACT_STEPS
    silent: int = 0
    is_listed: bool = True
    unreported: int = 0
    missing: int = -1
    is_certain: bool = False
    death: int = -1
    is_wrong: bool = False


def check(return_wait=True, death_memory=True, relisting=True):
    """Explore all runs; return the result, whose one property is `true_resets`."""
    wait = int(REREGISTRATION_SECONDS) * return_wait
    memory = int(RECENT_DEATH_SECONDS) if death_memory else FOREVER

    def transitions(values):
        state = State(*values)
        found = [*_troubles(state), *_server_steps(state)]
        found += _host_steps(state, wait, memory, relisting)
        if _may_tick(state, relisting):
            found.append(("tick", _tick(state, wait, memory)))
        return [(label, tuple(after)) for label, after in found]

    model = Protocol(
        name="flow_resets",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"true_resets": lambda state: not state["is_wrong"]},
    )
    return check_safety(model)


def _troubles(state):
    is_calm = state.calm == state.store_calm == CONTACT_STEPS
    if is_calm and state.server == "up":
        yield "server is cut off", state._replace(server="cut", calm=0)
        yield "server crashes", state._replace(server="dead", calm=0)
        yield "store goes away", state._replace(is_store_up=False, store_calm=0)
    if state.server == "cut":
        yield "server is reached again", state._replace(server="up")
    if not state.is_store_up:
        yield "store returns", state._replace(is_store_up=True)


def _server_steps(state):
    is_in_reach = state.server == "up" and state.is_store_up
    if is_in_reach and not state.is_listed:
        yield "server reports", state._replace(is_listed=True, unreported=0, silent=0)


def _host_steps(state, wait, memory, relisting):
    has_signs = state.server != "up" or (
        state.death >= 0 and state.calm < int(UNANSWERED_WINDOW_SECONDS)
    )
    if has_signs and state.death != 0:
        yield "callers find it dead", state._replace(death=0)
    if state.is_store_up and not state.is_listed and state.missing < 0:
        is_certain = 0 <= state.death < memory
        yield "host hears", state._replace(missing=0, is_certain=is_certain)
    if state.is_store_up and state.is_listed and state.missing >= 0 and relisting:
        yield "host hears", state._replace(missing=-1, is_certain=False)
    if state.missing >= 0 and (state.is_certain or state.missing >= wait):
        is_wrong = state.server == "up" and state.calm == CONTACT_STEPS
        yield "packet", state._replace(is_wrong=state.is_wrong or is_wrong)


def _may_tick(state, relisting):
    has_heard = state.is_listed == (state.missing < 0)
    if state.is_store_up and not has_heard and (relisting or not state.is_listed):
        return False
    return state.now < LAST_STEP and state.unreported < REPORT_STEPS


def _tick(state, wait, memory):
    is_in_reach = state.server == "up" and state.is_store_up
    silent = 0 if is_in_reach else min(state.silent + 1, LAPSE_STEPS)
    is_listed = state.is_listed and silent < LAPSE_STEPS
    is_unreported = is_in_reach and not state.is_listed
    return state._replace(
        now=state.now + 1,
        calm=min(state.calm + 1, CONTACT_STEPS) if state.server == "up" else 0,
        store_calm=min(state.store_calm + 1, CONTACT_STEPS) if state.is_store_up else 0,
        silent=silent,
        is_listed=is_listed,
        unreported=state.unreported + 1 if is_unreported else 0,
        missing=_older(state.missing, wait) if state.is_store_up else state.missing,
        death=_older(state.death, memory),
    )


def _older(age, limit):
    return age if age < 0 else min(age + 1, max(limit, 0))
