"""Validation of resources before a change is accepted.

Every check raises ``TamarackhavenError`` with the reason, and modifies nothing.
"""

import re
from functools import singledispatch

from tamarackhaven._model import (
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    TargetState,
    ZoneState,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_SHARDS = 65_536
MAX_DEADLINE_MS = 600_000
MAX_BODY_BYTES = 64 << 20
MAX_SLOTS = 10_000
MAX_BOOKING_WINDOW_S = 86_400
MAX_MOVE_BATCH = 65_536
MAX_PINNED_KEYS = 1024


def key_of(resource):
    """Return the pair (class name, name) that identifies a resource."""
    return type(resource).__name__, resource.name


def _invalid(detail):
    return TamarackhavenError(ErrorKind.INVALID_RESOURCE, detail)


def _check_range(name, value, minimum, maximum):
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid(f"{name} must be a whole number.")
    if not minimum <= value <= maximum:
        raise _invalid(f"{name} is {value}, but must be from {minimum} to {maximum}.")


def check_name(name):
    """Refuse a name that isn't valid in paths, headers and metric labels.

    Raises
    ------
    TamarackhavenError
        INVALID_RESOURCE, with the name.
    """
    if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
        raise _invalid(
            f"The name {name!r} must be 1 to 63 of a-z, 0-9 and '-', with no '-' "
            "at either end."
        )


@singledispatch
def check_resource(resource, old, state):
    """Refuse a resource that is invalid or that the present state doesn't satisfy.

    Parameters
    ----------
    resource : AvailabilityZone, OwnershipPolicy or Service
        The new version of the resource.
    old : same class or None
        The current version, or None if the resource is new.
    state : ClusterState
        The state before the change.

    Raises
    ------
    TamarackhavenError
        With the reason.
    """
    raise _invalid(f"{type(resource).__name__} is not a resource.")


@check_resource.register
def _(resource: AvailabilityZone, old, state):
    if resource.state is ZoneState.OUT and (old is None or old.state is ZoneState.IN):
        _check_all_policies(state, zone_out=resource.name)


@check_resource.register
def _(resource: OwnershipPolicy, old, state):
    _check_range("min_targets", resource.min_targets, 0, 10_000)
    _check_range("move_batch", resource.move_batch, 1, MAX_MOVE_BATCH)
    _check_range("max_pinned_keys", resource.max_pinned_keys, 0, MAX_PINNED_KEYS)
    users = [s.name for s in state.services if s.policy == resource.name]
    if old is not None and users:
        _check_same_mode(old.mode, resource.mode)
    for service in state.services:
        if service.policy == resource.name:
            _check_min_targets(state, service, resource, zone_out="")


@check_resource.register
def _(resource: Service, old, state):
    _check_range("shard_count", resource.shard_count, 1, MAX_SHARDS)
    if resource.shard_count & (resource.shard_count - 1):
        raise _invalid("shard_count must be a power of two.")
    if old is not None and old.shard_count != resource.shard_count:
        raise _invalid("shard_count can't change: every key would get another shard.")
    _check_range(
        "default_deadline_ms", resource.default_deadline_ms, 1, MAX_DEADLINE_MS
    )
    _check_range("max_body_bytes", resource.max_body_bytes, 0, MAX_BODY_BYTES)
    _check_range("slots", resource.slots, 1, MAX_SLOTS)
    _check_range("booking_window_s", resource.booking_window_s, 1, MAX_BOOKING_WINDOW_S)
    policy = state.resource("OwnershipPolicy", resource.policy)
    if policy is None:
        raise _invalid(f"There is no ownership policy {resource.policy!r}.")
    if old is not None:
        old_policy = state.resource("OwnershipPolicy", old.policy)
        _check_same_mode(old_policy.mode, policy.mode)
    _check_min_targets(state, resource, policy, zone_out="")


def _check_same_mode(old_mode, new_mode):
    """Refuse a change between exclusive and shared ownership of a service.

    After a change from shared to exclusive, a daemon with an older map would still
    serve keys that another target owns.
    """
    if old_mode is not new_mode:
        raise _invalid("The mode can't change for a service that exists.")


def check_last_zone(resource, state):
    """Refuse to take out the last availability zone that is in.

    Raises
    ------
    TamarackhavenError
        LAST_ZONE.
    """
    if not isinstance(resource, AvailabilityZone) or resource.state is ZoneState.IN:
        return
    others = [zone for zone in state.zones if zone.name != resource.name]
    if not any(zone.state is ZoneState.IN for zone in others):
        raise TamarackhavenError(
            ErrorKind.LAST_ZONE,
            f"No zone but {resource.name!r} is in; say --allow-last-zone-out to do it.",
        )


@singledispatch
def check_delete(resource, state):
    """Refuse to delete a resource that is in use.

    Raises
    ------
    TamarackhavenError
        RESOURCE_IN_USE, with up to five of its users.
    """


@check_delete.register
def _(resource: AvailabilityZone, state):
    users = [m for m in state.members if m.zone == resource.name and _is_not_lost(m)]
    _check_unused(resource, [f"target {m.service}/{m.target}" for m in users])


@check_delete.register
def _(resource: OwnershipPolicy, state):
    users = [s.name for s in state.services if s.policy == resource.name]
    _check_unused(resource, [f"service {name}" for name in users])


@check_delete.register
def _(resource: Service, state):
    users = [m for m in state.members if m.service == resource.name and _is_not_lost(m)]
    _check_unused(resource, [f"target {m.target}" for m in users])


def _is_not_lost(member):
    return member.state is not TargetState.LOST


def _check_unused(resource, users):
    if users:
        names = ", ".join(users[:5])
        raise TamarackhavenError(
            ErrorKind.RESOURCE_IN_USE, f"{resource.name!r} is needed by {names}."
        )


def _check_all_policies(state, zone_out):
    """Refuse to take out a zone that leaves any policy with too few targets."""
    for service in state.services:
        policy = state.resource("OwnershipPolicy", service.policy)
        _check_min_targets(state, service, policy, zone_out)


def _check_min_targets(state, service, policy, zone_out):
    zones_in = {z.name for z in state.zones if z.state is ZoneState.IN} - {zone_out}
    held = [
        member
        for member in state.members
        if member.service == service.name
        and member.state is TargetState.ACTIVE
        and member.zone in zones_in
    ]
    if len(held) < policy.min_targets:
        raise TamarackhavenError(
            ErrorKind.POLICY_NOT_HELD,
            f"Policy {policy.name!r} wants {policy.min_targets} targets for "
            f"{service.name!r}, {len(held)} would be left.",
        )
