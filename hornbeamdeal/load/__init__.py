"""Load generator, with the command that measures slopes of the capacity model."""

from ._caller import Caller, FlowObservations, RequestResult, Watcher
from ._profiles import FlowProfile, LoadRun, RequestProfile
from ._report import StepReport, summarize_flows

__all__ = [
    "Caller",
    "FlowProfile",
    "FlowObservations",
    "LoadRun",
    "StepReport",
    "RequestProfile",
    "RequestResult",
    "Watcher",
    "summarize_flows",
]
