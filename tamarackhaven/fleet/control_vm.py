"""The process of a control VM."""

from tamarackhaven.fleet._control import FleetControl, NotLeading

__all__ = ["FleetControl", "NotLeading"]
