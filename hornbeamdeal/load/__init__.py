"""Load tool and slope measurements."""

from ._caller import Caller, FlowRecord, RequestResult, Watcher
from ._profiles import FlowProfile, LoadRun, RequestProfile
from ._report import PhaseReport, summarize_flows

__all__ = [
    "Caller",
    "FlowProfile",
    "FlowRecord",
    "LoadRun",
    "PhaseReport",
    "RequestProfile",
    "RequestResult",
    "Watcher",
    "summarize_flows",
]
