"""The control group of a fleet of daemons that each sit beside one target.

``tamarackhaven.fleet.control_vm`` holds the process of a control VM; it is apart, so
that a daemon doesn't load consensus and storage.
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
    "split",
]
