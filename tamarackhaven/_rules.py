"""Rules that apply each kind of change to the replicated state.

Their result depends only on the change, its index and the state before it.
"""

from functools import singledispatch

import attrs

from tamarackhaven import _keys
from tamarackhaven._changes import (
    DeleteResource,
    JoinTarget,
    LeaveTarget,
    MoveShards,
    Outcome,
    PinKey,
    PutResource,
    ReleaseShards,
    RetireTarget,
    UnpinKey,
)
from tamarackhaven._model import ShardGrant, TargetMember, TargetState, ZoneState
from tamarackhaven._resources import (
    check_delete,
    check_last_zone,
    check_name,
    check_resource,
    key_of,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError


@singledispatch
def apply_change(change, state, index):
    """Apply one change and return its ``Outcome``, or None if it has no detail.

    Parameters
    ----------
    change : one of the classes of _changes
        What to apply.
    state : ClusterState
        The state before the change; modified in place, but not if this raises.
    index : int
        Index of the log entry.

    Raises
    ------
    TamarackhavenError
        With the reason if the change is refused.
    """
    raise TamarackhavenError(
        ErrorKind.INVALID_RESOURCE, f"unknown change {type(change).__name__}"
    )


@apply_change.register
def _(change: PutResource, state, index):
    resource = change.resource
    check_name(resource.name)
    kind, name = key_of(resource)
    old = state.resource(kind, name)
    _check_version(resource, old, change.expected_version)
    if not change.allow_last_zone_out:
        check_last_zone(resource, state)
    check_resource(resource, old, state)
    resource = attrs.evolve(resource, version=index)
    state.put_resource(resource)
    if kind == "Service" and old is None:
        _create_shards(state, resource, index)
    result = "created" if old is None else f"changed from version {old.version}"
    state.decide(index, f"{kind}/{name}", f"operator {change.change_id}", result)


@apply_change.register
def _(change: DeleteResource, state, index):
    old = state.resource(change.kind, change.name)
    if old is None:
        detail = f"{change.kind} {change.name!r}"
        raise TamarackhavenError(ErrorKind.NOT_FOUND, detail)
    if change.expected_version != old.version:
        raise _conflict_error(old)
    check_delete(old, state)
    state.remove_resource(change.kind, change.name, index)
    subject = f"{change.kind}/{change.name}"
    state.decide(index, subject, f"operator {change.change_id}", "deleted")


def _create_shards(state, service, index):
    for shard in range(service.shard_count):
        state.put_grant(ShardGrant(service.name, shard), index)


@apply_change.register
def _(change: JoinTarget, state, index):
    check_name(change.target)
    if state.resource("Service", change.service) is None:
        raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, change.service)
    if state.resource("AvailabilityZone", change.zone) is None:
        raise TamarackhavenError(ErrorKind.UNKNOWN_ZONE, change.zone)
    old = state.member(change.service, change.target)
    is_same_process = old is not None and old.instance == change.instance
    # An old process may only seem silent to the leader and still hold its lease. If a
    # new process were admitted and released a shard meanwhile, two targets would serve
    # the same key. The epoch of a lost target is fenced by a majority, so its process
    # can never hold a lease again.
    if old is not None and not is_same_process and old.state is not TargetState.LOST:
        raise TamarackhavenError(
            ErrorKind.NAME_CLAIMED,
            f"Instance {old.instance!r} holds {change.service}/{change.target}.",
        )
    member = TargetMember(
        service=change.service,
        target=change.target,
        zone=change.zone,
        instance=change.instance,
        incarnation=change.incarnation,
        peer=change.peer,
        capacity=change.capacity,
        epoch=index,
    )
    state.put_member(member, index)
    _transfer_grants(state, member, is_same_process, index)
    result = f"{change.target} joined with epoch {index}"
    state.decide(index, change.service, f"instance {change.instance}", result)
    return Outcome(version=index, member=state.member(change.service, change.target))


def _transfer_grants(state, member, is_same_process, index):
    """Transfer the shards of an earlier epoch of this target to the new epoch.

    The same process keeps its grant numbers: no other target owned the shards in
    between, so its ledger of bookings is complete. Another process gets new numbers.
    """
    for grant in _grants_of(state, member.service, member.target):
        if is_same_process:
            state.put_grant(attrs.evolve(grant, epoch=member.epoch), index)
        else:
            _grant_to(state, grant, member, index, grant.moving_to)


@apply_change.register
def _(change: LeaveTarget, state, index):
    member = _require_current_member(state, change.service, change.target, change.epoch)
    if member.state is TargetState.ACTIVE:
        state.put_member(attrs.evolve(member, state=TargetState.LEAVING), index)
        state.decide(index, change.service, f"{change.target} said so", "leaving")


@apply_change.register
def _(change: RetireTarget, state, index):
    member = _require_current_member(state, change.service, change.target, change.epoch)
    state.put_member(attrs.evolve(member, state=TargetState.LOST), index)
    owned = _grants_of(state, change.service, change.target)
    for grant in owned:
        _complete_move(state, grant, index)
    result = f"{change.target} epoch {change.epoch} retired"
    shards = [grant.shard for grant in owned]
    state.decide(index, change.service, change.cause, result, shards)


def _complete_move(state, grant, index):
    """Grant a shard to ``moving_to``; leave it unowned if that is ineligible.

    Its owner has released the shard or is lost.
    """
    member = state.member(grant.service, grant.moving_to)
    if not _is_eligible(state, member):
        unowned = attrs.evolve(grant, owner="", epoch=0, moving_to="")
        state.put_grant(unowned, index)
        return
    _grant_to(state, grant, member, index)


def _grant_to(state, grant, member, index, moving_to=""):
    state.put_grant(
        attrs.evolve(
            grant,
            owner=member.target,
            epoch=member.epoch,
            grant=index,
            previous=grant.grant,
            moving_to=moving_to,
        ),
        index,
    )


@apply_change.register
def _(change: MoveShards, state, index):
    grants = state.grants(change.service)
    moved = []
    for move in change.moves:
        grant = grants.get(move.shard)
        member = state.member(change.service, move.to_target)
        if grant is None or grant.grant != move.grant:
            continue
        if not _is_eligible(state, member):
            continue
        _move(state, grant, member, index)
        moved.append(move.shard)
    result = f"{len(moved)} of {len(change.moves)} moves begun"
    state.decide(index, change.service, change.cause, result, moved)


def _move(state, grant, member, index):
    if not grant.owner:
        _grant_to(state, grant, member, index)
    elif grant.owner == member.target:
        state.put_grant(attrs.evolve(grant, moving_to=""), index)
    else:
        state.put_grant(attrs.evolve(grant, moving_to=member.target), index)


@apply_change.register
def _(change: ReleaseShards, state, index):
    member = _require_current_member(state, change.service, change.target, change.epoch)
    grants = state.grants(change.service)
    released = []
    for requested in change.grants:
        grant = grants.get(requested.shard)
        if grant is None or grant.grant != requested.grant:
            continue
        if grant.owner != change.target:
            continue
        if grant.moving_to:
            _complete_move(state, grant, index)
        else:
            # The move was cancelled while the owner was releasing the shard. The owner
            # gets it back under a new grant number, because it admits nothing more
            # under a number that it has released.
            _grant_to(state, grant, member, index)
        released.append(requested.shard)
    result = f"{change.target} released {len(released)}"
    state.decide(index, change.service, "planned move", result, released)


@apply_change.register
def _(change: PinKey, state, index):
    service = state.resource("Service", change.service)
    if service is None:
        raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, change.service)
    grants = state.grants(change.service)
    if any(grant.key_hash == change.key_hash for grant in grants.values()):
        raise TamarackhavenError(ErrorKind.ALREADY_EXISTS, "The key is pinned.")
    base = grants[_keys.shard_of(change.key_hash, service.shard_count)]
    shard = service.shard_count
    while shard in grants:
        shard += 1
    pinned = attrs.evolve(
        base,
        shard=shard,
        key_hash=change.key_hash,
        grant=index,
        previous=0,
        moving_to="",
    )
    state.put_grant(pinned, index)
    state.decide(index, change.service, change.cause, "key pinned", [shard])


@apply_change.register
def _(change: UnpinKey, state, index):
    service = state.resource("Service", change.service)
    grants = state.grants(change.service)
    pinned = [g for g in grants.values() if g.key_hash == change.key_hash]
    if service is None or not pinned:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, "The key is not pinned.")
    base = grants[_keys.shard_of(change.key_hash, service.shard_count)]
    # With different owners, or during a move, unpinning would change the key's owner
    # without a release.
    if pinned[0].owner != base.owner or pinned[0].moving_to or base.moving_to:
        raise TamarackhavenError(ErrorKind.STALE_GRANT, "Its shard is elsewhere.")
    state.remove_shard(change.service, pinned[0].shard, index)
    shards = [pinned[0].shard]
    state.decide(index, change.service, change.cause, "key unpinned", shards)


def _is_eligible(state, member):
    """Return whether shards may be granted to a target.

    The placement has checked this before, but an availability zone may have been taken
    out between the leader's plan and this entry; it must not get new shards.
    """
    if member is None or member.state is not TargetState.ACTIVE:
        return False
    zone = state.resource("AvailabilityZone", member.zone)
    return zone is not None and zone.state is ZoneState.IN


def _grants_of(state, service, target):
    return [g for g in state.grants(service).values() if g.owner == target]


def _require_current_member(state, service, target, epoch):
    """Return the target, or refuse an ``epoch`` that isn't its current one.

    Raises
    ------
    TamarackhavenError
        NOT_FOUND if there is no such target; STALE_EPOCH if it is lost or has another
        epoch.
    """
    member = state.member(service, target)
    if member is None:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{service}/{target}")
    if member.epoch != epoch or member.state is TargetState.LOST:
        raise TamarackhavenError(
            ErrorKind.STALE_EPOCH, f"{service}/{target} has epoch {member.epoch}."
        )
    return member


def _conflict_error(old):
    error = TamarackhavenError(
        ErrorKind.VERSION_CONFLICT, f"{old.name!r} is at version {old.version}."
    )
    error.version = old.version
    return error


def _check_version(resource, old, expected):
    if old is None:
        if expected:
            raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{resource.name!r}")
        return
    if not expected:
        error = TamarackhavenError(
            ErrorKind.ALREADY_EXISTS, f"{old.name!r} is at version {old.version}."
        )
        error.version = old.version
        raise error
    if expected != old.version:
        raise _conflict_error(old)
