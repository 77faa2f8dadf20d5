"""Notices of ends, passed on along the links that daemons have."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven._digests import record_digest
from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._suspects import MAX_ENDS, SuspectPhase, SuspectRequest
from tamarackhaven.sidecar._end_notices import RECORDING_TIMEOUT_S, EndNotices
from tamarackhaven.sidecar._messages import PEER_CODEC
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._view import View
from tests.sidecar.test_permits import Log

REQUEST = b"request"
LIVES = [f"i{number}@1@h:1" for number in range(MAX_ENDS)]
# Far longer than messages in this process take.
SETTLE_S = 0.05


class Daemon:
    """A daemon that sends its notices to others at once."""

    def __init__(self):
        self.linked = []
        self.received = 0
        self.suspects = KnownSuspects()
        self.view = View()
        self.notices = EndNotices(self.suspects, self.view, Log(), Metrics())
        self.notices.send_to_all = self._send

    def link(self, other):
        self.linked.append(other)
        other.linked.append(self)

    def _send(self, message):
        for other in self.linked:
            other.received += 1
            other.notices.receive(PEER_CODEC.unpack(PEER_CODEC.pack(message)))

    def phase(self):
        return self.suspects.phase(REQUEST, boot_s())


def row(number):
    """Return daemons of which each has links to its two neighbours only."""
    daemons = [Daemon() for _ in range(number)]
    for one, other in zip(daemons, daemons[1:], strict=False):
        one.link(other)
    return daemons


def test_without_a_leader_ends_reach_daemons_without_a_link_to_their_targets():
    # Guards against: a daemon that has no link to those of the ended targets lets the
    # request end one more.
    async def test():
        daemons = row(5)
        for at, life in enumerate(LIVES):
            daemons[at].notices.announce(life, (REQUEST,))
        await asyncio.sleep(SETTLE_S)
        for daemon in daemons[MAX_ENDS:]:
            assert daemon.phase() is SuspectPhase.QUARANTINED

    asyncio.run(test())


def test_a_notice_is_passed_on_once():
    # Guards against: daemons in a ring pass a notice on for ever.
    async def test():
        daemons = row(4)
        daemons[0].link(daemons[-1])
        for _ in range(2):
            daemons[0].notices.announce(LIVES[0], (REQUEST,))
        await asyncio.sleep(SETTLE_S)
        assert [daemon.received for daemon in daemons] == [2, 2, 2, 2]

    asyncio.run(test())


def test_an_end_that_the_control_group_records_is_not_passed_on():
    # Guards against: with a leader, each end costs a message along each link.
    async def test():
        daemons = row(3)
        daemons[1].view.confirm(boot_s() + 60.0)
        daemons[0].notices.announce(LIVES[0], (REQUEST,))
        end = record_digest(LIVES[0])
        daemons[1].suspects.apply(
            {REQUEST: SuspectRequest(REQUEST, SuspectPhase.SUSPECT, (end,), 1, 1)}
        )
        await asyncio.sleep(RECORDING_TIMEOUT_S + SETTLE_S)
        assert daemons[2].received == 0

    asyncio.run(test())


def test_an_end_that_the_leader_does_not_record_in_time_is_passed_on():
    # Guards against: a leader that was lost a moment ago counts as there.
    async def test():
        daemons = row(3)
        daemons[1].view.confirm(boot_s() + 60.0)
        daemons[0].notices.announce(LIVES[0], (REQUEST,))
        await asyncio.sleep(SETTLE_S)
        assert daemons[2].received == 0
        await asyncio.sleep(RECORDING_TIMEOUT_S)
        assert daemons[2].received == 1

    asyncio.run(test())


def test_an_end_is_not_passed_on_or_counted_again_after_an_answer():
    # Guards against: copies of a notice that arrive after a target has answered count
    # against an innocent request.
    async def test():
        daemons = row(3)
        daemons[1].view.confirm(boot_s() + 60.0)
        daemons[0].notices.announce(LIVES[0], (REQUEST,))
        daemons[1].suspects.note_answer(REQUEST)
        daemons[0].notices._send(LIVES[0], (REQUEST,))
        await asyncio.sleep(RECORDING_TIMEOUT_S + SETTLE_S)
        assert daemons[1].suspects.told_requests(LIVES[0], (REQUEST,)) == ()
        assert daemons[2].received == 0

    asyncio.run(test())


def test_a_later_notice_of_the_same_life_tells_of_further_requests():
    async def test():
        daemons = row(3)
        for requests in ((REQUEST,), (REQUEST, b"other")):
            daemons[0].notices.announce(LIVES[0], requests)
        await asyncio.sleep(SETTLE_S)
        assert daemons[2].suspects.told_requests(LIVES[0], (b"other",)) == (b"other",)

    asyncio.run(test())
