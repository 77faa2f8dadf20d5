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

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
SHARDS_MAX = 65_536
DEADLINE_MS_MAX = 600_000
BODY_BYTES_MAX = 64 << 20
SLOTS_MAX = 10_000
WINDOW_S_MAX = 86_400
MOVE_BATCH_MAX = 65_536
PINNED_MAX = 1024


def key_of(resource):
    """Return the pair (class name, name) that identifies a resource."""
    return type(resource).__name__, resource.name


def _invalid(detail):
    return TamarackhavenError(ErrorKind.INVALID_RESOURCE, detail)


def _in_range(name, value, low, high):
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid(f"{name} must be an integer.")
    if not low <= value <= high:
        raise _invalid(f"{name} is {value}, but must be from {low} to {high}.")


def check_name(name):
    """Refuse a name that isn't valid in paths, headers and metric labels.

    Raises
    ------
    TamarackhavenError
        INVALID_RESOURCE, with the name.
    """
    if not isinstance(name, str) or not NAME.fullmatch(name):
        raise _invalid(
            f"The name {name!r} must be 1 to 63 characters of a-z, 0-9 and '-', and "
            "must not start or end with '-'."
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
        _check_held(state, zone_out=resource.name)


@check_resource.register
def _(resource: OwnershipPolicy, old, state):
    _in_range("min_targets", resource.min_targets, 0, 10_000)
    _in_range("move_batch", resource.move_batch, 1, MOVE_BATCH_MAX)
    _in_range("max_pinned_keys", resource.max_pinned_keys, 0, PINNED_MAX)
    users = [s.name for s in state.services if s.policy == resource.name]
    if old is not None and users:
        _check_same_mode(old.mode, resource.mode)
    for service in state.services:
        if service.policy == resource.name:
            _check_targets(state, service, resource, zone_out="")


@check_resource.register
def _(resource: Service, old, state):
    _in_range("shard_count", resource.shard_count, 1, SHARDS_MAX)
    if resource.shard_count & (resource.shard_count - 1):
        raise _invalid("shard_count must be a power of two.")
    if old is not None and old.shard_count != resource.shard_count:
        raise _invalid("shard_count can't change: every key would get another shard.")
    _in_range("default_deadline_ms", resource.default_deadline_ms, 1, DEADLINE_MS_MAX)
    _in_range("max_body_bytes", resource.max_body_bytes, 0, BODY_BYTES_MAX)
    _in_range("slots", resource.slots, 1, SLOTS_MAX)
    _in_range("booking_window_s", resource.booking_window_s, 1, WINDOW_S_MAX)
    policy = state.resource("OwnershipPolicy", resource.policy)
    if policy is None:
        raise _invalid(f"There is no ownership policy {resource.policy!r}.")
    if old is not None:
        former = state.resource("OwnershipPolicy", old.policy)
        _check_same_mode(former.mode, policy.mode)
    _check_targets(state, resource, policy, zone_out="")


def _check_same_mode(old_mode, new_mode):
    """Refuse a change between exclusive and shared ownership of a service.

    After a change from shared to exclusive, a daemon with an older map would still
    serve keys that another target owns.
    """
    if old_mode is not new_mode:
        raise _invalid("The ownership mode of an existing service can't change.")


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
            f"No zone except {resource.name!r} is in; pass --allow-last-zone-out.",
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
    users = [m for m in state.members if m.zone == resource.name and _present(m)]
    _refuse_users(resource, [f"target {m.service}/{m.target}" for m in users])


@check_delete.register
def _(resource: OwnershipPolicy, state):
    users = [s.name for s in state.services if s.policy == resource.name]
    _refuse_users(resource, [f"service {name}" for name in users])


@check_delete.register
def _(resource: Service, state):
    users = [m for m in state.members if m.service == resource.name and _present(m)]
    _refuse_users(resource, [f"target {m.target}" for m in users])


def _present(member):
    return member.state is not TargetState.LOST


def _refuse_users(resource, users):
    if users:
        names = ", ".join(users[:5])
        raise TamarackhavenError(
            ErrorKind.RESOURCE_IN_USE, f"{resource.name!r} is needed by {names}."
        )


def _check_held(state, zone_out):
    """Refuse to take out a zone that leaves any policy with too few targets."""
    for service in state.services:
        policy = state.resource("OwnershipPolicy", service.policy)
        _check_targets(state, service, policy, zone_out)


def _check_targets(state, service, policy, zone_out):
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
            f"Policy {policy.name!r} requires {policy.min_targets} targets for "
            f"{service.name!r}, only {len(held)} would be left.",
        )
