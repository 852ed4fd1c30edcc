"""Log lines on what the catalog holds, shared by the start and the reader."""

from ._base import Journal
from ._catalog import Catalog
from ._records import Update


def log_changed_zones(catalog: Catalog, journal: Journal, now: float) -> None:
    """Log the zones that the latest update or expiry told of."""
    for zone in catalog.changed_zones:
        state = catalog.evacuations.state_of(zone, now)
        name = "zone_evacuated" if state.is_evacuated else "zone_returned"
        journal.count("zone_changes", name)
        journal.event(
            name,
            zone=zone,
            revision=state.revision,
            epoch=catalog.epoch,
            unconfirmed_ms=round(1000 * state.remaining_seconds),
        )


def log_loaded(
    catalog: Catalog,
    journal: Journal,
    update: Update,
    seconds: float,
    may_be_stale: bool,
) -> None:
    """Log a full read of the store, which the catalog has just applied."""
    journal.event(
        "catalog_loaded",
        seconds=seconds,
        stale=may_be_stale,
        store_epoch=update.epoch,
        store_revision=update.revision,
        store_newest_revision=update.newest_revision,
        store_version=update.routes.version if update.routes else 0,
        revision=catalog.revision,
        version=catalog.version,
        servers=len(catalog.servers_by_id),
    )
