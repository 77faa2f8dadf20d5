"""Computes the membership that results from one step, or refuses the step."""

import attrs

from tamarackhaven._members import Membership
from tamarackhaven.errors import ErrorKind, TamarackhavenError


def changed(membership, step, index, has_caught_up):
    """Return the membership after ``step``, with ``index`` as its version.

    Parameters
    ----------
    membership : Membership
        The membership in effect.
    step : Step
        The change to apply.
    index : int
        Index of the log entry that will hold the result.
    has_caught_up : bool
        Whether the member of ``step`` is within one batch of the leader's log.

    Raises
    ------
    TamarackhavenError
        ALREADY_EXISTS, NOT_FOUND, INVALID_RESOURCE, or MEMBERSHIP_BUSY for a learner
        that has not caught up.
    """
    apply_step = _FUNCTION_BY_ACTION.get(step.action)
    if apply_step is None:
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, f"unknown membership action {step.action!r}"
        )
    by_name = dict(membership.by_name)
    apply_step(by_name, step.member, has_caught_up)
    if not any(member.voter for member in by_name.values()):
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, "the change would leave no voter"
        )
    return Membership(tuple(by_name.values()), version=index)


def _add(by_name, member, _has_caught_up):
    if member.name in by_name:
        raise TamarackhavenError(ErrorKind.ALREADY_EXISTS, f"member {member.name!r}")
    by_name[member.name] = attrs.evolve(member, voter=False)


def _promote(by_name, member, has_caught_up):
    # If a learner with an empty log became the third voter and another member were
    # lost, no entry would commit until the learner had the whole state. A learner that
    # is within one batch acknowledges new entries after a round or two.
    existing = _require_member(by_name, member)
    if not has_caught_up:
        raise TamarackhavenError(
            ErrorKind.MEMBERSHIP_BUSY, f"member {member.name!r} has not caught up", 1.0
        )
    by_name[member.name] = attrs.evolve(existing, voter=True)


def _remove(by_name, member, _has_caught_up):
    _require_member(by_name, member)
    del by_name[member.name]


def _require_member(by_name, member):
    if member.name not in by_name:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"member {member.name!r}")
    return by_name[member.name]


_FUNCTION_BY_ACTION = {"add": _add, "promote": _promote, "remove": _remove}
