"""The leader's collection of fences from a majority, before it retires an epoch."""

import attrs

from tamarackhaven._lease_times import MS_PER_S, promise_s, renew_s
from tamarackhaven._model import TargetState

# A target that has just joined must hear of it and renew; it owns nothing yet, so
# waiting costs no key its service.
_JOIN_GRACE_PROMISES = 3
_MIN_RETRY_S = 0.005


@attrs.frozen
class FenceAsk:
    """Ask ``member`` to refuse the epochs up to this one."""

    member: str
    service: str
    target: str
    epoch: int


@attrs.frozen
class Retire:
    """A majority has fenced this epoch: propose to retire it, at once."""

    service: str
    target: str
    epoch: int


@attrs.define
class _Round:
    first_seen: float
    fenced: set = attrs.field(factory=set)
    next_ask_by_voter: dict = attrs.field(factory=dict)
    retired_at: float | None = None


class FenceRounds:
    """Fence rounds of one leader; a new leader starts with a new object.

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
        """Return whom to ask now; call it every few tens of milliseconds.

        Parameters
        ----------
        now : float
            Seconds.
        members : iterable of TargetMember
            All targets in the log that are not lost.
        promise_end : callable
            ``LeasePromises.promise_end`` of the leader's own VM.
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
            if now >= self._silent_at(fence_round, promise_end(*key)):
                asks += self._asks(key, fence_round, now)
        return asks

    def _silent_at(self, fence_round, end):
        if end is not None:
            return end
        return fence_round.first_seen + _JOIN_GRACE_PROMISES * self._promise_s

    @property
    def _quorum(self):
        return len(self._voters) // 2 + 1

    def _fenced(self, fence_round):
        """Return the present voters that fenced; a former voter's fence is no vote."""
        return fence_round.fenced.intersection(self._voters)

    def _asks(self, key, fence_round, now):
        self._give_up_lost_retire(fence_round, now)
        if fence_round.retired_at is not None:
            return []
        asks = []
        for voter in self._candidates(fence_round):
            if now >= fence_round.next_ask_by_voter.get(voter, now):
                fence_round.next_ask_by_voter[voter] = now + self._retry_s
                asks.append(FenceAsk(voter, *key))
        return asks

    def _give_up_lost_retire(self, fence_round, now):
        """Collect again if the retirement was not committed after all."""
        at = fence_round.retired_at
        if at is not None and now - at >= self._promise_s:
            fence_round.retired_at = None
            fence_round.fenced.clear()
            fence_round.next_ask_by_voter.clear()

    def _candidates(self, fence_round):
        """Return the voters to ask, the leader's own VM last.

        If only the way between a daemon and the leader is cut, the others refuse and
        nothing must be fenced: a fence is for ever, and the healthy daemon would be
        sent to rejoin as soon as the way is back.
        """
        fenced = self._fenced(fence_round)
        missing = [voter for voter in self._voters if voter not in fenced]
        if self._own_name in missing and len(fenced) < self._quorum - 1:
            missing.remove(self._own_name)
        return missing

    def answered(self, member, ask, fenced, remaining_ms, now):
        """Count one answer.

        Parameters
        ----------
        member : str
            Who answered.
        ask : FenceAsk
            What it was asked.
        fenced : bool
            Whether it has fenced the epoch, durably.
        remaining_ms : int
            When to ask again if not, in milliseconds.
        now : float
            Seconds.

        Returns
        -------
        Retire or None
            Set once a majority of the present voters has fenced.
        """
        key = (ask.service, ask.target, ask.epoch)
        fence_round = self._round_by_epoch.get(key)
        if fence_round is None or member not in self._voters:
            return None
        if not fenced:
            wait_s = max(_MIN_RETRY_S, remaining_ms / MS_PER_S)
            fence_round.next_ask_by_voter[member] = now + wait_s
            return None
        fence_round.fenced.add(member)
        is_majority = len(self._fenced(fence_round)) >= self._quorum
        if not is_majority or fence_round.retired_at is not None:
            return None
        fence_round.retired_at = now
        return Retire(*key)
