"""Public interface of a control VM's process."""

from tamarackhaven.fleet._control import FleetControl, NotLeaderError

__all__ = ["FleetControl", "NotLeaderError"]
