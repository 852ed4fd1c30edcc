"""Layout and document of the Arequipa region: 3 zones, 7 entry hosts, 2 services."""

from hornbeamdeal.standins.environment import Layout, ServiceLayout

ZONES = ("aqp-cercado", "aqp-yanahuara", "aqp-cayma")
RESERVAS_TARGETS = 7
DEVOLUCIONES_TARGETS = 3

SERVICE_TEMPLATE = """\
  {name}:
    addresses:
      {name}-requests: {{kind: requests}}
      {name}-map: {{kind: flows, codec: {codec}}}
    work:
      bookings: {{path: /bookings, deadline: 2s, idempotent: false}}
      rides: {{path: /rides, deadline: 2s, idempotent: true}}
      photos: {{path: /photos, deadline: 60s, idempotent: false, long: true}}
    targets:
"""


def make_document(
    version: int, states_by_target: dict[str, str] | None = None, codec: str = "coap"
) -> str:
    """Return a document; targets without a given state are active."""
    states = states_by_target or {}
    text = f"version: {version}\nservices:\n"
    services = (("reservas", RESERVAS_TARGETS), ("devoluciones", DEVOLUCIONES_TARGETS))
    for name, targets in services:
        text += SERVICE_TEMPLATE.format(name=name, codec=codec)
        for index in range(1, targets + 1):
            target = f"{name}-{index}"
            state = states.get(target, "active")
            text += f"      {target}: {{weight: 1, slots: 3, state: {state}}}\n"
    return text


def move_address(document: str, address: str, source: str, target: str) -> str:
    """Return the document with an address moved to another service."""
    line = f"      {address}: {{kind: requests}}\n"
    remaining = document.replace(line, "", 1)
    start = remaining.index(f"  {target}:\n    addresses:\n")
    position = remaining.index("addresses:\n", start) + len("addresses:\n")
    assert line in document and f"  {source}:" in document
    return remaining[:position] + line + remaining[position:]


def make_layout(
    work: str = "/bookings=20ms,/rides=20ms,/photos=1s",
    codec: str = "coap",
    **host_flags: str,
) -> Layout:
    """Return the layout of Arequipa; `host_flags` are passed to its entry hosts."""
    return Layout(
        zones=ZONES,
        entry_hosts=7,
        services_by_name={
            "reservas": ServiceLayout(RESERVAS_TARGETS, work),
            "devoluciones": ServiceLayout(DEVOLUCIONES_TARGETS, work),
        },
        document=make_document(1, codec=codec),
        host_flags=host_flags,
    )
