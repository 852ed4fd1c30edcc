"""Steering: entry hosts' choice of a backend server for each packet of a flow."""

from ._base import Steering
from ._handles import HANDLE_BYTES, HandleCodec
from ._keys import flow_key, opening_key, server_digest
from ._rendezvous import ServerSet
from ._routes import HOLD_DOWN_SECONDS
from ._stateful import LeastLoadedSteering, RandomSteering, RoundRobinSteering
from ._stateless import ModuloSteering, RendezvousSteering
from ._table import FlowTable
from ._tracked import TrackedSteering

__all__ = [
    "HANDLE_BYTES",
    "HOLD_DOWN_SECONDS",
    "FlowTable",
    "HandleCodec",
    "LeastLoadedSteering",
    "ModuloSteering",
    "RandomSteering",
    "RendezvousSteering",
    "RoundRobinSteering",
    "ServerSet",
    "Steering",
    "TrackedSteering",
    "flow_key",
    "opening_key",
    "server_digest",
]
