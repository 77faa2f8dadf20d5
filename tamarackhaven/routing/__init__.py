"""The configuration of services and routes: model, edits and lookup. No I/O."""

from tamarackhaven.routing._edit import Edit, bare, check, difference, edited
from tamarackhaven.routing._match import RouteTable, Splitter
from tamarackhaven.routing._model import (
    Configuration,
    HoldOrders,
    Limits,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)

__all__ = [
    "Configuration",
    "Edit",
    "HoldOrders",
    "Limits",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceSpec",
    "Splitter",
    "WeightedService",
    "bare",
    "check",
    "difference",
    "edited",
]
