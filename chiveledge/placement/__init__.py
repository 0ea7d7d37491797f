"""Placement of tasks on workers: order, packing, preemption and worker health."""

from __future__ import annotations

from chiveledge.placement._evacuation import should_evacuate
from chiveledge.placement._fairness import UsageByWorkspace, may_compete, order_fairly
from chiveledge.placement._fleet import FleetView
from chiveledge.placement._fleet_capacity import WorkerKind, explain_infeasible
from chiveledge.placement._learnt_speed import (
    LearntSpeeds,
    MachineSpeed,
    MemberRate,
)
from chiveledge.placement._order import (
    APART_S,
    REPEATED_APART_S,
    URGENT_PRIORITY,
    StepDemand,
    find_guaranteed_jobs,
    sort_demands,
)
from chiveledge.placement._packing import Placement, place_step
from chiveledge.placement._plan import DeferredStart, Plan, Start, make_plan
from chiveledge.placement._preemption import choose_victims
from chiveledge.placement._reserve import UrgentArrivals, count_reserved
from chiveledge.placement._speed import (
    COMPLETE_PERCENT,
    RunSpeed,
    Straggler,
    WorkerSpeeds,
    estimate_speeds,
    should_restart,
)
from chiveledge.placement._stall import MIN_STALL_S, find_stall_timeout_s
from chiveledge.placement._suspicion import WorkerSuspicion
from chiveledge.placement._upkeep import choose_next_machines, find_drain_timeout_s
from chiveledge.placement._waiting import WaitCause, find_wait_cause
from chiveledge.placement._worker_view import RunView, WorkerView, charged_usage

__all__ = [
    "APART_S",
    "COMPLETE_PERCENT",
    "MIN_STALL_S",
    "REPEATED_APART_S",
    "URGENT_PRIORITY",
    "DeferredStart",
    "FleetView",
    "LearntSpeeds",
    "MachineSpeed",
    "MemberRate",
    "Placement",
    "Plan",
    "RunSpeed",
    "RunView",
    "Start",
    "StepDemand",
    "Straggler",
    "UrgentArrivals",
    "UsageByWorkspace",
    "WaitCause",
    "WorkerKind",
    "WorkerSpeeds",
    "WorkerSuspicion",
    "WorkerView",
    "charged_usage",
    "choose_next_machines",
    "choose_victims",
    "count_reserved",
    "estimate_speeds",
    "explain_infeasible",
    "find_drain_timeout_s",
    "find_guaranteed_jobs",
    "find_stall_timeout_s",
    "find_wait_cause",
    "make_plan",
    "may_compete",
    "order_fairly",
    "place_step",
    "should_evacuate",
    "should_restart",
    "sort_demands",
]
