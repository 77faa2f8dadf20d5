"""The control group of a fleet of daemons, each of which serves one target.

``tamarackhaven.fleet.control_vm`` contains the process of a control VM. It's a separate
module so that a daemon doesn't load consensus and storage.
"""

from tamarackhaven.fleet._model import Hold, KeyRange, Release, TargetPhase
from tamarackhaven.fleet._settings import (
    DaemonSettings,
    FleetControlSettings,
    FleetLeaseSettings,
    split,
)
from tamarackhaven.fleet._state import (
    EditConfiguration,
    Outcome,
    ReplaceConfiguration,
    SetZoneOut,
)
from tamarackhaven.fleet._suspects import UpdateSuspects

__all__ = [
    "DaemonSettings",
    "EditConfiguration",
    "FleetControlSettings",
    "FleetLeaseSettings",
    "Hold",
    "KeyRange",
    "Outcome",
    "Release",
    "ReplaceConfiguration",
    "SetZoneOut",
    "TargetPhase",
    "UpdateSuspects",
    "split",
]
