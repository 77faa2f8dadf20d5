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
    is_replacing = bool(membership.former_voters)
    if is_replacing is not (step.action == "finish"):
        raise TamarackhavenError(
            ErrorKind.MEMBERSHIP_BUSY,
            f"can't {step.action}: a voter is {'' if is_replacing else 'not '}replaced",
            1.0,
        )
    by_name = dict(membership.by_name)
    former_voters = apply_step(by_name, step, has_caught_up) or ()
    if not any(member.voter for member in by_name.values()):
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, "the change would leave no voter"
        )
    return Membership(tuple(by_name.values()), index, tuple(former_voters))


def _add(by_name, step, _has_caught_up):
    member = step.member
    if member.name in by_name:
        raise TamarackhavenError(ErrorKind.ALREADY_EXISTS, f"member {member.name!r}")
    by_name[member.name] = attrs.evolve(member, voter=False)


def _promote(by_name, step, has_caught_up):
    # If a learner with an empty log became the third voter and another member were
    # lost, no entry would commit until the learner had the whole state. A learner that
    # is within one batch acknowledges new entries after a round or two.
    name = step.member.name
    existing = _require_member(by_name, name)
    if not has_caught_up:
        raise TamarackhavenError(
            ErrorKind.MEMBERSHIP_BUSY, f"member {name!r} has not caught up", 1.0
        )
    by_name[name] = attrs.evolve(existing, voter=True)


def _remove(by_name, step, _has_caught_up):
    _require_member(by_name, step.member.name)
    del by_name[step.member.name]


def _replace(by_name, step, has_caught_up):
    """Give a learner the vote of a voter; return the voters before that.

    Majorities of the voters before and after have no voter in common, if the one that
    is replaced still votes. So majorities of both are needed until it is finished.
    """
    former_voters = sorted(each.name for each in by_name.values() if each.voter)
    replaced = _require_member(by_name, step.replaced)
    if not replaced.voter:
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, f"member {step.replaced!r} is not a voter"
        )
    _promote(by_name, step, has_caught_up)
    by_name[step.replaced] = attrs.evolve(replaced, voter=False)
    return former_voters


def _finish(by_name, step, _has_caught_up):
    """Remove the voter that was replaced."""
    by_name.pop(step.replaced, None)


def _require_member(by_name, name):
    if name not in by_name:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"member {name!r}")
    return by_name[name]


_FUNCTION_BY_ACTION = {
    "add": _add,
    "promote": _promote,
    "remove": _remove,
    "replace": _replace,
    "finish": _finish,
}
