"""Collects fences from a majority of voters before the leader retires an epoch.

A fence round asks the voters to refuse one epoch of a target, until a majority has.
"""

import attrs

from tamarackhaven._lease_times import MS_PER_S, promise_s, renew_s
from tamarackhaven._model import TargetState

# Wait, in promise times, before an epoch is fenced to which this process knows of no
# promise: for example, the target has just joined and must first receive its epoch and
# renew, or this process has restarted.
# A target that has just joined owns no shards yet, so no key is without service then.
_JOIN_GRACE_PROMISES = 3
# Bounds the rate of requests to a voter that answers that its promise ends sooner.
_MIN_RETRY_S = 0.005


@attrs.frozen
class FenceAsk:
    """A request that ``member`` refuse the target's epochs up to ``epoch``."""

    member: str
    service: str
    target: str
    epoch: int


@attrs.frozen
class Retire:
    """An epoch that a majority has fenced; the leader retires it immediately."""

    service: str
    target: str
    epoch: int


@attrs.define
class _Round:
    first_seen_s: float
    fenced: set = attrs.field(factory=set)
    next_ask_s_by_voter: dict = attrs.field(factory=dict)
    retire_requested_at_s: float | None = None


class FenceRounds:
    """Runs the fence rounds of one leader; a new leader creates a new object.

    Parameters
    ----------
    settings : LeaseSettings
        Timings.
    own_name : str
        The leader's name.
    """

    def __init__(self, settings, own_name):
        self._own_name = own_name
        self._retry_s = renew_s(settings)
        self._promise_s = promise_s(settings)
        self._round_by_epoch = {}
        self._voters = ()

    def tick(self, now, members, promise_end, voters):
        """Return the fences to request now; call it every few tens of milliseconds.

        Parameters
        ----------
        now : float
            Time in seconds.
        members : iterable of TargetMember
            All targets in the log that are not lost.
        promise_end : callable
            ``LeasePromises.promise_end`` of the leader's own promises.
        voters : iterable of str
            Voters of the newest membership in the leader's log.

        Returns
        -------
        list of FenceAsk
        """
        self._voters = tuple(sorted(voters))
        live = {
            (member.service, member.target, member.epoch)
            for member in members
            if member.state is not TargetState.LOST
        }
        rounds = self._round_by_epoch
        self._round_by_epoch = {
            key: rounds.get(key) or _Round(now) for key in sorted(live)
        }
        asks = []
        for key, fence_round in self._round_by_epoch.items():
            if now >= self._fence_after_s(fence_round, promise_end(*key)):
                asks += self._asks(key, fence_round, now)
        return asks

    def _fence_after_s(self, fence_round, end):
        if end is not None:
            return end
        return fence_round.first_seen_s + _JOIN_GRACE_PROMISES * self._promise_s

    @property
    def _quorum(self):
        return len(self._voters) // 2 + 1

    def _fenced(self, fence_round):
        """Return the current voters that have fenced; former voters don't count."""
        return fence_round.fenced.intersection(self._voters)

    def _asks(self, key, fence_round, now):
        self._restart_if_uncommitted(fence_round, now)
        if fence_round.retire_requested_at_s is not None:
            return []
        asks = []
        for voter in self._voters_to_ask(fence_round):
            if now >= fence_round.next_ask_s_by_voter.get(voter, now):
                fence_round.next_ask_s_by_voter[voter] = now + self._retry_s
                asks.append(FenceAsk(voter, *key))
        return asks

    def _restart_if_uncommitted(self, fence_round, now):
        """Restart the round if a retirement isn't committed within a promise time."""
        at = fence_round.retire_requested_at_s
        if at is not None and now - at >= self._promise_s:
            fence_round.retire_requested_at_s = None
            fence_round.fenced.clear()
            fence_round.next_ask_s_by_voter.clear()

    def _voters_to_ask(self, fence_round):
        """Return the voters to ask, the leader's own VM last.

        If only the path between a daemon and the leader is cut, the other voters refuse
        to fence. The leader's own VM must not fence then either: a fence is permanent,
        and the healthy daemon would have to rejoin as soon as the path is restored.
        It is therefore asked only when its fence would complete the majority.
        """
        fenced = self._fenced(fence_round)
        missing = [voter for voter in self._voters if voter not in fenced]
        if self._own_name in missing and len(fenced) < self._quorum - 1:
            missing.remove(self._own_name)
        return missing

    def answered(self, member, ask, fenced, remaining_ms, now):
        """Process one answer to a fence request.

        Parameters
        ----------
        member : str
            Name of the voter that answered.
        ask : FenceAsk
            The request that it answers.
        fenced : bool
            Whether it has durably fenced the epoch.
        remaining_ms : int
            If not, time until the request may be repeated, in milliseconds.
        now : float
            Time in seconds.

        Returns
        -------
        Retire or None
            Not None once a majority of the current voters has fenced.
        """
        key = (ask.service, ask.target, ask.epoch)
        fence_round = self._round_by_epoch.get(key)
        if fence_round is None or member not in self._voters:
            return None
        if not fenced:
            wait_s = max(_MIN_RETRY_S, remaining_ms / MS_PER_S)
            fence_round.next_ask_s_by_voter[member] = now + wait_s
            return None
        fence_round.fenced.add(member)
        is_majority = len(self._fenced(fence_round)) >= self._quorum
        if not is_majority or fence_round.retire_requested_at_s is not None:
            return None
        fence_round.retire_requested_at_s = now
        return Retire(*key)
