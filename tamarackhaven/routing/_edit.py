"""Applies, computes and validates changes of a configuration."""

import attrs

from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.routing._model import Configuration, Limits, Route, ServiceSpec

# A request that waits longer than this occupies a connection for nothing. The longest
# timeout that users configure is a few minutes.
MAX_TIMEOUT_S = 600.0


@attrs.frozen
class Edit:
    """Services and routes to add, replace or remove, by name.

    ``limits`` replaces the limits unless it is None.
    """

    version: int
    services: tuple[ServiceSpec, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: Limits | None = None
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()


def edited(current, edit):
    """Return the configuration that results from applying ``edit`` to ``current``."""
    services = {**current.service_by_name}
    for name in edit.removed_services:
        services.pop(name, None)
    services.update((service.name, service) for service in edit.services)
    routes = {**current.route_by_name}
    for name in edit.removed_routes:
        routes.pop(name, None)
    routes.update((route.name, route) for route in edit.routes)
    return Configuration(
        version=edit.version,
        services=tuple(services.values()),
        routes=tuple(routes.values()),
        limits=edit.limits or current.limits,
    )


def difference(old, new):
    """Return the ``Edit`` that turns the configuration ``old`` into ``new``.

    The order of services and routes has no meaning and isn't kept.
    """
    return Edit(
        version=new.version,
        services=_changed(old.service_by_name, new.services),
        routes=_changed(old.route_by_name, new.routes),
        limits=new.limits if new.limits != old.limits else None,
        removed_services=tuple(set(old.service_by_name) - set(new.service_by_name)),
        removed_routes=tuple(set(old.route_by_name) - set(new.route_by_name)),
    )


def bare(declared):
    """Return a ``Configuration`` or ``Edit`` without its ``source`` fields.

    Only control VMs need ``source``, to return the configuration as it was declared.
    It would make up two thirds of the bytes that are sent to a daemon.
    """
    limits = declared.limits
    return attrs.evolve(
        declared,
        services=tuple(attrs.evolve(each, source={}) for each in declared.services),
        routes=tuple(attrs.evolve(each, source={}) for each in declared.routes),
        limits=attrs.evolve(limits, source={}) if limits is not None else None,
    )


def _changed(old_by_name, new):
    return tuple(item for item in new if old_by_name.get(item.name) != item)


def check(configuration, current_version):
    """Validate a configuration against itself and the current version.

    Raises
    ------
    TamarackhavenError
        INVALID_RESOURCE, with the invalid item and the reason.
    """
    if configuration.version <= current_version:
        raise _invalid(
            f"version {configuration.version} is not above the current version"
        )
    _check_unique([service.name for service in configuration.services], "service")
    _check_unique([route.name for route in configuration.routes], "route")
    host_prefix_pairs = [(route.host, route.prefix) for route in configuration.routes]
    _check_unique(host_prefix_pairs, "host and prefix")
    known = configuration.service_by_name
    for route in configuration.routes:
        _check_route(route, known)


def _check_unique(values, description):
    seen_values = set()
    for value in values:
        if value in seen_values:
            raise _invalid(f"{description} {value!r} is defined twice")
        seen_values.add(value)


def _check_route(route, known):
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise _invalid(
            f"route {route.name!r}: prefix {route.prefix!r} must be enclosed in slashes"
        )
    if not 0 < route.timeout_s <= MAX_TIMEOUT_S:
        raise _invalid(
            f"route {route.name!r}: timeout {route.timeout_s} s is out of range"
        )
    if not route.parts:
        raise _invalid(f"route {route.name!r}: no services")
    for part in route.parts:
        if part.service not in known:
            raise _invalid(f"route {route.name!r}: unknown service {part.service!r}")
        if part.weight < 0:
            raise _invalid(f"route {route.name!r}: weight {part.weight} is negative")
    if sum(part.weight for part in route.parts) <= 0:
        raise _invalid(f"route {route.name!r}: the sum of its weights is not above 0")


def _invalid(detail):
    return TamarackhavenError(ErrorKind.INVALID_RESOURCE, detail)
