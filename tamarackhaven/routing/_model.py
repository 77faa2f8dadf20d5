"""Configuration model: services, routes and request limits.

A ``Configuration`` is immutable; a change creates a new one. Times are in seconds. The
``digest`` of each class covers all fields but ``source``.
"""

import enum
import functools

import attrs
from cattrs.gen import make_dict_unstructure_fn, override
from cattrs.preconf.msgpack import make_converter

from tamarackhaven._digests import record_digest, set_digest


class RequestKind(enum.Enum):
    """How often a request may run, which decides whether it can be retried."""

    SAFE = "safe"  # may run any number of times
    UNSAFE = "unsafe"  # runs at most once per attempt of a caller
    UPLOAD = "upload"  # like UNSAFE, with a large body


class HoldOrders(enum.Enum):
    """How the targets of a service learn which keys they own."""

    HEARTBEATS = "heartbeats"  # in the responses to their heartbeats
    CALLS = "calls"  # by HTTP calls to the target


@attrs.frozen
class ServiceSpec:
    """A service that requests are routed to.

    Parameters
    ----------
    name : str
        Unique among services.
    health_path : str
        Path of a target's health check.
    max_connections : int
        Most connections that a target accepts, over all callers combined.
    cold_s : float
        Seconds for which a target stays cold after its start.
    cold_per_s : float
        Requests per second that a cold target can handle.
    sharded : bool
        Whether each key is owned by exactly one target.
    warmup_s : float
        Seconds for which keys stay slow after they were moved without a handover.
    hold_orders : HoldOrders
        How its targets learn which keys they own.
    source : dict
        Fields as they were declared, to return them unchanged.
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

    @functools.cached_property
    def digest(self):
        """The digest of this service, an integer."""
        return _digest(self)


@attrs.frozen
class WeightedService:
    """A service of a route and its weight, relative to the route's other services."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routes the requests for one host and path prefix to services.

    Parameters
    ----------
    name : str
        Unique among the routes of all hosts.
    host, prefix : str
        The route with the longest matching prefix of the host is used.
    kind : RequestKind
        Whether a request may run more than once.
    parts : tuple of WeightedService
        The services that share the requests; at least one.
    timeout_s : float
        Longest time in seconds that a request may wait for its response.
    objective_s : float
        Latency objective: seconds within which a response counts as in time.
    priority : int
        0 is the highest priority.
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

    @functools.cached_property
    def digest(self):
        """The digest of this route, an integer."""
        return _digest(self)


@attrs.frozen
class Limits:
    """Limits on the size of requests, and timeouts of caller connections.

    ``header_timeout_s`` limits the time to send a request head, ``idle_timeout_s`` the
    time between requests, both in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    source: dict = attrs.field(factory=dict, repr=False)

    @functools.cached_property
    def digest(self):
        """The digest of these limits, an integer."""
        return _digest(self)


@attrs.frozen
class Configuration:
    """All services, routes and limits of one version; version 0 is empty."""

    version: int = 0
    services: tuple[ServiceSpec, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()

    @functools.cached_property
    def digest(self):
        """The digest of all of it, an integer; the order of items has no meaning."""
        items = (*self.services, *self.routes, self.limits)
        return set_digest(
            (record_digest(self.version), *(each.digest for each in items))
        )

    @property
    def service_by_name(self):
        """The services, keyed by name."""
        return {service.name: service for service in self.services}

    @property
    def route_by_name(self):
        """The routes, keyed by name."""
        return {route.name: route for route in self.routes}


def _digest(item):
    """Return the digest of a service, a route or limits."""
    kind = type(item)
    return record_digest(kind.__name__, _CONVERTER.unstructure(item, kind))


def _make_converter():
    """Return a converter to plain values that leaves out ``source``."""
    converter = make_converter()
    for kind in (ServiceSpec, Route, Limits):
        hook = make_dict_unstructure_fn(kind, converter, source=override(omit=True))
        converter.register_unstructure_hook(kind, hook)
    return converter


_CONVERTER = _make_converter()
