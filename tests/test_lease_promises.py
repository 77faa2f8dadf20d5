"""Tests of a control VM's refusals and of a lease holder's confirmed state."""

import attrs
import pytest

from tamarackhaven._lease_holder import LeaseHolder, LeaseLoss
from tamarackhaven._lease_promises import Fenced, LeasePromises, LeaseView
from tamarackhaven._lease_wire import Ack, Reason, Renewal
from tamarackhaven._members import Member, Membership
from tamarackhaven._settings import LeaseSettings

SETTINGS = LeaseSettings(lease_ms=500, renew_ms=100, drift=0.0)
RENEWAL = Renewal(5, 2, 1)
VIEW = LeaseView(2, 9, target=("s", "t"))
PROMISED_TARGET = ("s", "held")


@pytest.mark.parametrize(
    "reason, renewal, view, remaining_ms",
    [
        (Reason.GRANTED, {}, {}, 0),
        (Reason.GRANTED, {"epoch": 6, "membership_version": 3}, {}, 0),
        (Reason.NOT_READY, {"epoch": 10}, {"target": None}, 20),
        (Reason.FENCED, {"epoch": 3}, {}, 0),
        (Reason.FENCED, {}, {"retired": True}, 0),
        (Reason.STALE_EPOCH, {"epoch": 4}, {"target": None}, 0),
        (Reason.NAME_CLAIMED, {"epoch": 9}, {"target": PROMISED_TARGET}, 250),
        (Reason.ZONE_OUT, {}, {"zone_out": True}, 0),
        (Reason.STALE_MEMBERSHIP, {"membership_version": 1}, {}, 0),
        (Reason.NOT_VOTER, {}, {"voter": False}, 0),
    ],
)
def test_renewal_is_answered_with_its_reason_and_retry_time(
    reason, renewal, view, remaining_ms
):
    promises = LeasePromises(SETTINGS, -9.0, {("s", "t"): 3})
    promises.answer_renewal(RENEWAL, 0.0, attrs.evolve(VIEW, target=PROMISED_TARGET))
    changed_renewal, changed_view = (
        attrs.evolve(RENEWAL, **renewal),
        attrs.evolve(VIEW, **view),
    )
    ack = promises.answer_renewal(changed_renewal, 0.25, changed_view)
    assert (ack.reason, ack.remaining_ms) == (reason, remaining_ms)


def test_restarted_or_new_voter_neither_grants_nor_fences_for_a_promise_time():
    """It may have made promises of which it has no record."""
    promises = LeasePromises(SETTINGS, 0.0, {("s", "t"): 3})
    assert promises.answer_renewal(RENEWAL, 0.25, VIEW).reason is Reason.NOT_READY
    assert promises.fence("s", "t", 5, 0.25) == Fenced(False, 250)
    assert promises.fence("s", "t", 3, 0.25) == Fenced(True)  # was durable before
    assert promises.answer_renewal(RENEWAL, 0.5, VIEW).is_granted
    promises.joined(1.0)
    assert promises.answer_renewal(RENEWAL, 1.25, VIEW).reason is Reason.NOT_READY
    assert not promises.ready_for_membership_change(0.25)
    assert promises.ready_for_membership_change(0.5)


def test_older_promise_delays_a_fence_but_does_not_end_a_new_epoch():
    """A target rejoins right after it was lost, when its old promise has expired.

    If that promise counted for the new epoch, the leader would retire the new epoch
    before its first renewal.
    """
    promises = LeasePromises(SETTINGS, -9.0)
    promises.answer_renewal(RENEWAL, 0.0, VIEW)
    assert promises.promise_end("s", "t", 5) == 0.5
    assert promises.promise_end("s", "t", 6) is None
    assert promises.fence("s", "t", 6, 0.25) == Fenced(False, 250)
    assert promises.fence("s", "t", 6, 0.5) == Fenced(True)


def test_state_is_confirmed_by_a_majority_during_constant_changes():
    """The map is always one version behind, yet each version is confirmed."""
    members = tuple(Member(name, "h", 1, 1) for name in "abc")
    holder = LeaseHolder(SETTINGS, Membership(members))
    assert holder.lost(0.0) is LeaseLoss.NO_GRANT
    holder.set_grant(5)
    for second in range(1, 5):
        for sent, version in ((second, second), (second + 0.25, second + 1)):
            renewals = holder.renew(sent)
            for name in "ab":
                ack = Ack(renewals[name].seq, Reason.GRANTED, version)
                holder.process_ack(ack, sent + 0.1)
        assert holder.held_until == second + 0.75
        assert holder.confirmed_at < second
        holder.set_state_version(second)
        assert holder.confirmed_at == second
    assert (holder.seen_state_version, holder.lost(5.0)) == (5, LeaseLoss.EXPIRED)
    holder.process_ack(Ack(renewals["c"].seq, Reason.FENCED, 4), 5.0)
    assert holder.renew(5.0) == {}
    assert holder.must_rejoin is Reason.FENCED
