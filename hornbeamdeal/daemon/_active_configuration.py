"""Document and host list in force on one entry host, and the view built from them."""

import time
from typing import Any

from result import Err, Result

from hornbeamdeal.document import (
    AddressHoldDown,
    Document,
    DocumentParser,
    Fault,
    HostList,
    build_view,
    parse_host_list,
    replace_members,
)
from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    Endpoint,
    ServiceAddress,
    Version,
)


class ActiveConfiguration:
    """Holds the document and host list in force and builds the components' view.

    Parameters
    ----------
    own_id : str
        Identifier of this entry host.
    own_zone : str
        Availability zone of this entry host.
    """

    __slots__ = (
        "own_id",
        "own_zone",
        "parser_",
        "hold_down_",
        "document_",
        "host_list_",
        "view_",
        "servers_by_endpoint_",
        "in_force_since_",
        "is_update_due_",
        "is_rebuild_due_",
        "parse_cache_",
    )

    def __init__(self, *, own_id: str, own_zone: str):
        self.own_id = own_id
        self.own_zone = own_zone
        self.parser_ = DocumentParser()
        # A host that has just started does not know which addresses moved recently.
        self.hold_down_ = AddressHoldDown(hold_at_start=True)
        self.document_: Document | None = None
        self.host_list_: HostList | None = None
        self.view_ = ClusterView(own_id, own_zone)
        self.servers_by_endpoint_: dict[Endpoint, BackendServer] = {}
        self.in_force_since_: float | None = None
        self.is_update_due_ = True
        self.is_rebuild_due_ = False
        self.parse_cache_: tuple[bytes, Result[Document, list[Fault]]] | None = None

    @property
    def version_(self) -> Version | None:
        """Return the version of the document in force, None before the first."""
        return self.document_.version if self.document_ else None

    @property
    def is_complete_(self) -> bool:
        """Return whether both a document and a host list are in force."""
        return self.document_ is not None and self.host_list_ is not None

    def check_document(self, content: bytes) -> str:
        """Return the first fault of a document, an empty string if it has none."""
        parsed = self._parse(content)
        return str(parsed.err_value[0]) if isinstance(parsed, Err) else ""

    def _parse(self, content: bytes) -> Result[Document, list[Fault]]:
        # A document is checked right before it is put in force: parse it only once.
        if self.parse_cache_ is None or self.parse_cache_[0] != content:
            self.parse_cache_ = (content, self.parser_.parse(content))
        return self.parse_cache_[1]

    def check_host_list(self, content: bytes) -> str:
        """Return the first fault of a host list, an empty string if it has none."""
        parsed = parse_host_list(content)
        return str(parsed.err_value[0]) if isinstance(parsed, Err) else ""

    def put_in_force(self, content: bytes) -> list[Fault]:
        """Put a document in force; return its faults if it is rejected."""
        parsed = self._parse(content)
        if isinstance(parsed, Err):
            return parsed.err_value
        self.parse_cache_ = None
        self.document_ = parsed.ok_value
        # Operators compare this time between hosts, so it is wall-clock time.
        self.in_force_since_ = time.time()
        self.is_update_due_ = self.is_rebuild_due_ = True
        return []

    def use_host_list(self, content: bytes) -> list[Fault]:
        """Put a host list in force; return its faults if it is rejected."""
        parsed = parse_host_list(content)
        if isinstance(parsed, Err):
            return parsed.err_value
        self.host_list_ = parsed.ok_value
        self.is_update_due_ = self.is_rebuild_due_ = True
        return []

    def make_view(self, members_by_id: dict[str, Any], now: float) -> ClusterView:
        """Build the view from the document, the host list and the members."""
        self.is_update_due_ = False
        if not self.is_complete_ or not self.is_rebuild_due_:
            self.view_ = replace_members(self.view_, members_by_id.values())
            return self.view_
        self.is_rebuild_due_ = False
        self.view_ = build_view(
            self.document_,
            self.host_list_,
            members_by_id.values(),
            self.own_id,
            self.own_zone,
            self.view_,
        )
        servers = self.view_.servers_by_id.values()
        self.servers_by_endpoint_ = {server.endpoint: server for server in servers}
        self.hold_down_.update(self.view_, now)
        return self.view_

    def address_of(self, endpoint: Endpoint) -> ServiceAddress | None:
        """Return the address at an endpoint, None if the document has none there."""
        return self.view_.addresses_by_endpoint.get(endpoint)

    def server_at(self, endpoint: Endpoint) -> BackendServer | None:
        """Return the server at an endpoint, None if the document has none there."""
        return self.servers_by_endpoint_.get(endpoint)

    def is_starting(self, now: float) -> bool:
        """Return whether the addresses are held because this host has just started."""
        return self.hold_down_.is_in_start_hold(now)

    def hold_after_pause(self, seconds: float) -> None:
        """Hold all addresses until the check after the pause ends."""
        self.hold_down_.extend_after_pause(seconds)

    def release_if_confirmed(self, is_confirmed: bool) -> None:
        """Release addresses held by a pause if its check is over, also unconfirmed."""
        if is_confirmed:
            self.hold_down_.end_pause_hold()

    def is_held(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an address is held down."""
        return self.hold_down_.is_held(endpoint, now)
