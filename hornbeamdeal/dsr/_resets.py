"""Resets that tell callers of flows which can't be served or are lost."""

from ._base import CallerPacket, Journal, PacketCodec, Transmit
from ._catalog import Catalog
from ._flow_table import Flow
from ._records import Server
from ._server_health import ServerHealth

# An opening packet is refused only if the catalog is newer than this. With an older
# catalog, a route or server may have been added that this host has not seen yet.
REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS = 2.0


class Resets:
    """Sends resets to callers and logs why.

    Parameters
    ----------
    catalog : Catalog
        Routes and servers in force.
    codec : PacketCodec
        Makes the reset packets.
    journal : Journal
        Receives log events and counters.
    server_health : ServerHealth
        Tells when servers were seen alive.
    transmit : Transmit
        Sends datagrams.
    """

    __slots__ = ("catalog", "codec", "journal", "server_health", "transmit")

    def __init__(
        self,
        *,
        catalog: Catalog,
        codec: PacketCodec,
        journal: Journal,
        server_health: ServerHealth,
        transmit: Transmit,
    ):
        self.catalog = catalog
        self.codec = codec
        self.journal = journal
        self.server_health = server_health
        self.transmit = transmit

    def refuse(self, packet: CallerPacket, reason: str, now: float) -> None:
        """Reset an unservable flow, or drop the packet if the catalog is old."""
        age = self.catalog.age(now)
        is_catalog_fresh = age < REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS
        outcome = "refused" if is_catalog_fresh else "dropped"
        self.journal.count(f"openings_{outcome}", reason)
        self.journal.event(
            f"opening_{outcome}",
            flow=self.codec.describe_flow(packet.flow_key),
            reason=reason,
            version=self.catalog.routes.version,
            revision=self.catalog.revision,
            age_ms=round(1000 * age),
        )
        if is_catalog_fresh:
            self.transmit(*self.codec.make_reset(packet.flow_key, 0))

    def reset(
        self,
        flow_key: bytes,
        flow: Flow | None,
        acknowledgement: int,
        server: Server,
        reason: str,
        now: float,
    ) -> None:
        """Reset an open flow whose server is dead or gone.

        `flow` is its record, None if this host has none.
        """
        holder = flow.holder if flow else None
        packet_age = now - flow.last_packet_at if flow else 0.0
        self.journal.count("flows_reset", reason)
        self.journal.event(
            "flow_reset",
            flow=self.codec.describe_flow(flow_key),
            server=server.server_id,
            reason=reason,
            holder=holder.server_id if holder else "",
            packet_age_ms=round(1000 * packet_age),
            alive_ms=self.progress_age_ms(server, now),
            revision=self.catalog.revision,
            age_ms=round(1000 * self.catalog.age(now)),
        )
        self.transmit(*self.codec.make_reset(flow_key, acknowledgement))

    def progress_age_ms(self, server: Server, now: float) -> int:
        """Return the milliseconds since a server's last progress, -1 if none."""
        at = self.server_health.progress_at(server.server_id)
        return round(1000 * (now - at)) if at > float("-inf") else -1
