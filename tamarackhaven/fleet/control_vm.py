"""Public interface of a control VM's process."""

from tamarackhaven.fleet._control import FleetControl, NotLeading

__all__ = ["FleetControl", "NotLeading"]
