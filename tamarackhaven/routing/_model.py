"""What operators declare about requests: services, routes and limits, as one whole.

A ``Configuration`` is frozen; a change makes a new one. Times are in seconds.
"""

import enum

import attrs


class RequestKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"  # may run any number of times
    UNSAFE = "unsafe"  # runs at most once for each attempt of a caller
    UPLOAD = "upload"  # as unsafe, with a large body


class HoldOrders(enum.Enum):
    """How the targets of a service are told which keys to hold."""

    HEARTBEATS = "heartbeats"  # in the answers to their heartbeats
    CALLS = "calls"  # by calls to them


@attrs.frozen
class ServiceSpec:
    """A service that requests go to.

    Parameters
    ----------
    name : str
        Unique.
    health_path : str
        Path that a target answers with its health.
    max_connections : int
        Connections that a target takes from all callers combined.
    cold_s : float
        How long a target stays cold after its start.
    cold_per_s : float
        Requests a second that a cold target bears.
    sharded : bool
        Whether each key has one owner among the targets.
    warmup_s : float
        How long keys stay slow that came without a handover.
    hold_orders : HoldOrders
        How its targets are told their keys.
    source : dict
        Fields as they were declared, to be read back unchanged.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    sharded: bool = False
    warmup_s: float = 0.0
    hold_orders: HoldOrders = HoldOrders.HEARTBEATS
    source: dict = attrs.field(factory=dict, repr=False)


@attrs.frozen
class WeightedService:
    """One part of a split route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host below one path prefix go.

    Parameters
    ----------
    name : str
        Unique over all hosts.
    host, prefix : str
        The longest prefix of a host's routes wins.
    kind : RequestKind
        What may be repeated.
    parts : tuple of WeightedService
        One or more services.
    timeout_s : float
        Longest time a request may be kept waiting.
    objective_s : float
        Time within which an answer is in time.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most targets that one attempt may be sent to.
    source : dict
        Fields as they were declared.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float = 1.0
    priority: int = 1
    max_attempts: int = 1
    source: dict = attrs.field(factory=dict, repr=False)


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    source: dict = attrs.field(factory=dict, repr=False)


@attrs.frozen
class Configuration:
    """All services, routes and limits under one version; 0 is none at all."""

    version: int = 0
    services: tuple[ServiceSpec, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()

    @property
    def service_by_name(self):
        """Services by name."""
        return {service.name: service for service in self.services}

    @property
    def route_by_name(self):
        """Routes by name."""
        return {route.name: route for route in self.routes}
