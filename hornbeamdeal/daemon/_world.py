"""What is in force on one entry host: document, host list and members."""

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
from hornbeamdeal.kernel import Address, BackendServer, Endpoint, Version, View


class World:
    """Builds the view of the components from what is in force.

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
        "is_changed_",
        "is_rebuild_due_",
        "checked_",
    )

    def __init__(self, *, own_id: str, own_zone: str):
        self.own_id = own_id
        self.own_zone = own_zone
        self.parser_ = DocumentParser()
        # A host that has just started cannot know which address moved lately.
        self.hold_down_ = AddressHoldDown(hold_at_start=True)
        self.document_: Document | None = None
        self.host_list_: HostList | None = None
        self.view_ = View(own_id, own_zone)
        self.servers_by_endpoint_: dict[Endpoint, BackendServer] = {}
        self.in_force_since_: float | None = None
        self.is_changed_ = True
        self.is_rebuild_due_ = False
        self.checked_: tuple[bytes, Result[Document, list[Fault]]] | None = None

    @property
    def version_(self) -> Version | None:
        """Version of the document in force, None before the first."""
        return self.document_.version if self.document_ else None

    @property
    def is_complete_(self) -> bool:
        """Tell whether both a document and a host list are in force."""
        return self.document_ is not None and self.host_list_ is not None

    def check_document(self, content: bytes) -> str:
        """Return the first fault of a document, an empty string without one."""
        parsed = self._parse(content)
        return str(parsed.err_value[0]) if isinstance(parsed, Err) else ""

    def _parse(self, content: bytes) -> Result[Document, list[Fault]]:
        # A document is checked right before it is put in force.
        if self.checked_ is None or self.checked_[0] != content:
            self.checked_ = (content, self.parser_.parse(content))
        return self.checked_[1]

    def check_host_list(self, content: bytes) -> str:
        """Return the first fault of a host list, an empty string without one."""
        parsed = parse_host_list(content)
        return str(parsed.err_value[0]) if isinstance(parsed, Err) else ""

    def put_in_force(self, content: bytes) -> list[Fault]:
        """Take a document; return the faults for which it is refused."""
        parsed = self._parse(content)
        if isinstance(parsed, Err):
            return parsed.err_value
        self.checked_ = None
        self.document_ = parsed.ok_value
        # Operators compare this time between hosts, so it is wall-clock time.
        self.in_force_since_ = time.time()
        self.is_changed_ = self.is_rebuild_due_ = True
        return []

    def use_host_list(self, content: bytes) -> list[Fault]:
        """Take a host list; return the faults for which it is refused."""
        parsed = parse_host_list(content)
        if isinstance(parsed, Err):
            return parsed.err_value
        self.host_list_ = parsed.ok_value
        self.is_changed_ = self.is_rebuild_due_ = True
        return []

    def make_view(self, members_by_id: dict[str, Any], now: float) -> View:
        """Build the view of what is in force now."""
        self.is_changed_ = False
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

    def address_of(self, endpoint: Endpoint) -> Address | None:
        """Return the address of the document in force at an endpoint."""
        return self.view_.addresses_by_endpoint.get(endpoint)

    def server_at(self, endpoint: Endpoint) -> BackendServer | None:
        """Return the backend server of the document in force at an endpoint."""
        return self.servers_by_endpoint_.get(endpoint)

    def is_starting(self, now: float) -> bool:
        """Tell whether the addresses are held because this host has just started."""
        return self.hold_down_.is_in_start_hold(now)

    def note_pause(self, seconds: float) -> None:
        """Hold all addresses until the version in force is confirmed."""
        self.hold_down_.extend_after_pause(seconds)

    def set_confirmed(self, is_confirmed: bool) -> None:
        """Take whether the version in force is known to be the newest."""
        if is_confirmed:
            self.hold_down_.end_pause_hold()

    def is_held(self, endpoint: Endpoint, now: float) -> bool:
        """Tell whether an address is held down."""
        return self.hold_down_.is_held(endpoint, now)
