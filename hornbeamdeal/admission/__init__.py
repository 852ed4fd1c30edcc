"""Admission of entry hosts: starts, queues or refuses requests."""

from ._base import (
    Admission,
    Decision,
    RefusalReason,
    RefuseDecision,
    StartDecision,
    Ticket,
)
from ._baselines import LeastLoadedAdmission, RandomAdmission, RoundRobinAdmission
from ._caller_fair_share import CallerFairShare
from ._concurrency_limit import AdaptiveConcurrencyLimit
from ._deadline_queue import DeadlineQueue
from ._fair_queue import FairQueue
from ._health import HealthState, ServerHealth, max_ejected
from ._home_hosts import elect_home_hosts, list_home_host_candidates
from ._home_slots import HomeSlots, HostLocation, assign_home_slots, assign_long_slots
from ._retry_schedule import RetrySchedule
from ._server_selector import ServerSelector, SlotRequest
from ._service_admission import ServiceAdmission, ServiceAdmissionSettings
from ._service_times import RunningMean, ServiceTimes
from ._slot_shares import SlotSharesAdmission
from ._tracked_server import TrackedServer

__all__ = [
    "AdaptiveConcurrencyLimit",
    "Admission",
    "CallerFairShare",
    "DeadlineQueue",
    "Decision",
    "FairQueue",
    "HealthState",
    "HomeSlots",
    "HostLocation",
    "LeastLoadedAdmission",
    "RandomAdmission",
    "RefusalReason",
    "RefuseDecision",
    "RetrySchedule",
    "RoundRobinAdmission",
    "RunningMean",
    "ServerHealth",
    "ServerSelector",
    "ServiceAdmission",
    "ServiceAdmissionSettings",
    "ServiceTimes",
    "SlotRequest",
    "SlotSharesAdmission",
    "StartDecision",
    "Ticket",
    "TrackedServer",
    "assign_home_slots",
    "assign_long_slots",
    "elect_home_hosts",
    "list_home_host_candidates",
    "max_ejected",
]
