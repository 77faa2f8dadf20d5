"""Public interface of a control VM's process."""

from tamarackhaven.fleet._control import FleetControl
from tamarackhaven.fleet._orders import NotLeaderError

__all__ = ["FleetControl", "NotLeaderError"]
