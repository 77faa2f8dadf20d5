"""The ledger of bookings: each idempotency key runs at most once.

The rule, its window and its price stand in docs/design/bookings.md.
"""

import enum
import heapq
import itertools
import math

import attrs

from tamarackhaven.errors import ErrorKind

# Largest answer, headers and body, that is kept whole, in bytes; of a larger one only
# the status is. With 20,000 entries this makes 10 MB of the daemon's 64 MB, and an
# answer that names a booking's number and state fits.
KEPT_ANSWER_BYTES = 512
# Retries that never ran leave stale items in the heap of leaving entries. It is
# rebuilt when it holds more than twice the entries and this many besides.
_STALE_ITEMS = 64


@attrs.frozen
class BookingTry:
    """One arrival of a booking at its owner.

    Parameters
    ----------
    grant : int
        Grant under which this daemon owns the shard.
    digest : bytes
        Hash of method, path and body.
    first_sent_s : float
        When the caller first sent it, Unix seconds; the same on every resend.
    window_s : float
        How long after that it may be sent again.
    """

    service: str
    shard: int
    grant: int
    idempotency_key: str
    digest: bytes
    first_sent_s: float
    window_s: float


@attrs.frozen
class BookingAnswer:
    """The first answer to a booking; ``whole`` is False if the body was let go."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True


@attrs.frozen
class BookingToken:
    """Names one run of a booking; stale after the shard was dropped."""

    service: str
    shard: int
    grant: int
    idempotency_key: str
    run: int


@attrs.frozen
class Run:
    """Send the booking to the target, then call ``finish`` with the token."""

    token: BookingToken


@attrs.frozen
class Replay:
    """Give the caller its first answer again."""

    answer: BookingAnswer


@attrs.frozen
class BookingRefused:
    """The booking is not sent to the target; ``kind`` says why."""

    kind: ErrorKind


class BookingEnd(enum.Enum):
    """How a run ended."""

    ANSWERED = "answered"
    DID_NOT_RUN = "did-not-run"
    UNKNOWN = "unknown"


class _State(enum.Enum):
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.define
class LedgerEntry:
    """What is known of one idempotency key."""

    digest: bytes
    state: _State
    run: int
    first_sent_s: float
    until_s: float
    answer: BookingAnswer | None = None


@attrs.frozen
class LedgerPart:
    """The ledger of one shard, handed to the next owner in a planned move.

    Parameters
    ----------
    grant : int
        Grant of the owner that hands it over.
    start_s : float
        Since when this ledger knows all bookings of the shard, Unix seconds.
    forgotten_s : float
        Latest first-sent time of an entry that was let go, Unix seconds.
    entry_by_key : dict
        Entries by idempotency key.
    """

    service: str
    shard: int
    grant: int
    start_s: float
    forgotten_s: float
    entry_by_key: dict[str, LedgerEntry]


@attrs.define
class _Shard:
    grant: int
    start_s: float
    forgotten_s: float = -math.inf
    entry_by_key: dict = attrs.field(factory=dict)
    closed: bool = False


class Ledger:
    """Remembers bookings of the shards that this daemon owns.

    Parameters
    ----------
    settings : BookingSettings
        Number of entries and margin of the callers' clocks.
    """

    def __init__(self, settings):
        self._settings = settings
        self._shard_by_id = {}
        self._runs = itertools.count(1)
        self._leaving = []  # heap of (until_s, service, shard, idempotency key)
        self._size = 0
        self._latest_s = -math.inf

    def __len__(self):
        return self._size

    def adopt(self, service, shard, grant, now_unix):
        """Begin to own a shard; the ledger knows nothing from before now.

        The same grant again changes nothing. After a restart of the target's daemon
        the ledger is empty and starts anew, whatever the grant.
        """
        known = self._shard_by_id.get((service, shard))
        if known is not None and known.grant >= grant:
            return
        self.drop(service, shard)
        start_s = self._clock(now_unix)
        self._shard_by_id[service, shard] = _Shard(grant, start_s)

    def drop(self, service, shard):
        """Cease to own a shard; runs that end later are forgotten."""
        dropped = self._shard_by_id.pop((service, shard), None)
        if dropped is not None:
            self._size -= len(dropped.entry_by_key)

    def restart(self, service, shard, now_unix):
        """Count bookings of before now as unknown unless they have an entry.

        Failure: a pinned key's shard is removed and its key falls back to this shard,
        whose ledger started long ago. Symptom: a booking that ran at the pin's owner
        runs again here. Call it before the first request that the changed map brings.
        """
        known = self._shard_by_id.get((service, shard))
        if known is not None:
            known.start_s = self._clock(now_unix)

    def _clock(self, now_unix):
        """Return the latest wall-clock time seen.

        Failure: the wall clock steps back, entries look young and ledgers look as if
        they had started earlier. Symptom: a first-sent time passes the check although
        a former owner may have run it. A clock that never goes back within this
        process makes the start too late at worst, which only refuses more.
        """
        self._latest_s = max(self._latest_s, now_unix)
        return self._latest_s

    def begin(self, booking, now_unix):
        """Decide on a booking; return Run, Replay or BookingRefused."""
        now = self._clock(now_unix)
        self._forget(now)
        shard = self._shard_by_id.get((booking.service, booking.shard))
        if shard is None or shard.closed or shard.grant != booking.grant:
            return BookingRefused(ErrorKind.NOT_OWNER)
        entry = shard.entry_by_key.get(booking.idempotency_key)
        if entry is not None:
            return self._again(booking, entry)
        kind = self._refusal(booking, shard, now)
        if kind is not None:
            return BookingRefused(kind)
        return self._first(booking, shard)

    def _refusal(self, booking, shard, now):
        """Return why an unknown booking can't run here, or None."""
        margin_s = self._settings.caller_clock_margin_s
        if booking.first_sent_s > now + margin_s:
            return ErrorKind.BAD_HEADER
        # Failure: operators make the window longer. Symptom: a booking whose entry left
        # under the shorter one is young again and runs twice. Entries leave in the
        # order of their first-sent times, so the latest of those bounds them all.
        too_old = booking.first_sent_s + booking.window_s + margin_s <= now
        if too_old or booking.first_sent_s <= shard.forgotten_s:
            return ErrorKind.BOOKING_TOO_OLD
        # Failure: the first try ran at a former owner that was lost with its ledger.
        # Symptom: the resend runs a second time here. Whatever a former owner could
        # have got was sent before this ledger's start, give or take the margin.
        # This try itself did not run, and the caller is told so: one whose earlier
        # tries all did not run may send it as a new booking.
        if booking.first_sent_s < shard.start_s + margin_s:
            return ErrorKind.BOOKING_OWNER_CHANGED
        if self._size >= self._settings.ledger_entries:
            return ErrorKind.LEDGER_FULL
        return None

    def _again(self, booking, entry):
        if entry.digest != booking.digest:
            return BookingRefused(ErrorKind.BOOKING_MISMATCH)
        if entry.state is _State.RUNNING:
            return BookingRefused(ErrorKind.BOOKING_IN_PROGRESS)
        if entry.state is _State.UNKNOWN:
            return BookingRefused(ErrorKind.BOOKING_UNKNOWN)
        return Replay(entry.answer)

    def _first(self, booking, shard):
        margin_s = self._settings.caller_clock_margin_s
        until_s = booking.first_sent_s + booking.window_s + margin_s
        run = next(self._runs)
        entry = LedgerEntry(
            booking.digest, _State.RUNNING, run, booking.first_sent_s, until_s
        )
        shard.entry_by_key[booking.idempotency_key] = entry
        self._size += 1
        self._leave_at(booking.service, booking.shard, booking.idempotency_key, entry)
        token = BookingToken(
            booking.service,
            booking.shard,
            booking.grant,
            booking.idempotency_key,
            run,
        )
        return Run(token)

    def _leave_at(self, service, shard, key, entry):
        heapq.heappush(self._leaving, (entry.until_s, service, shard, key))
        if len(self._leaving) > 2 * self._size + _STALE_ITEMS:
            self._rebuild_leaving()

    def _rebuild_leaving(self):
        self._leaving = [
            (entry.until_s, *shard_id, key)
            for shard_id, shard in self._shard_by_id.items()
            for key, entry in shard.entry_by_key.items()
        ]
        heapq.heapify(self._leaving)

    def _forget(self, now):
        """Let entries go whose booking is refused as too old from now on.

        Never earlier and never to make room: a forgotten key whose resend still
        passes the window would run twice. A running one stays until it has ended.
        """
        kept = []
        while self._leaving and self._leaving[0][0] <= now:
            item = heapq.heappop(self._leaving)
            if self._remove(item) is _State.RUNNING:
                kept.append((now + 1.0, *item[1:]))
        for item in kept:
            heapq.heappush(self._leaving, item)

    def _remove(self, item):
        """Remove the entry that ``item`` names unless it runs; return its state."""
        until_s, service, shard_number, key = item
        shard = self._shard_by_id.get((service, shard_number))
        entry = shard.entry_by_key.get(key) if shard else None
        if entry is None or entry.until_s > until_s:
            return None
        if entry.state is not _State.RUNNING:
            del shard.entry_by_key[key]
            shard.forgotten_s = max(shard.forgotten_s, entry.first_sent_s)
            self._size -= 1
        return entry.state

    def finish(self, token, end, answer, now_unix):
        """Record how a run ended; a late or repeated word changes nothing.

        Parameters
        ----------
        token : BookingToken
            As ``begin`` gave it.
        end : BookingEnd
            How the run ended.
        answer : BookingAnswer or None
            Needed with ``BookingEnd.ANSWERED``.
        now_unix : float
            Wall-clock time, Unix seconds.
        """
        self._clock(now_unix)
        entry = self._running(token)
        if entry is None:
            return
        if end is BookingEnd.DID_NOT_RUN:
            shard = self._shard_by_id[token.service, token.shard]
            del shard.entry_by_key[token.idempotency_key]
            self._size -= 1
        elif end is BookingEnd.ANSWERED:
            entry.state = _State.ANSWERED
            entry.answer = _bounded(answer)
        else:
            entry.state = _State.UNKNOWN

    def _running(self, token):
        shard = self._shard_by_id.get((token.service, token.shard))
        if shard is None or shard.grant != token.grant:
            return None
        entry = shard.entry_by_key.get(token.idempotency_key)
        if entry is None or entry.run != token.run:
            return None
        return entry if entry.state is _State.RUNNING else None

    def running(self, service, shard):
        """Return how many bookings of a shard run; a move waits for none."""
        known = self._shard_by_id.get((service, shard))
        entries = known.entry_by_key.values() if known else ()
        return sum(entry.state is _State.RUNNING for entry in entries)

    def export(self, service, shard):
        """Close a shard here and return its part for the next owner.

        From now on this daemon runs no booking of the shard under this grant, also if
        the move is taken back: otherwise an early part that arrives late would lack
        what ran since. What still runs is handed over as unknown, since its end may
        never be told. Returns None if the shard isn't owned here.
        """
        known = self._shard_by_id.get((service, shard))
        if known is None:
            return None
        known.closed = True
        entry_by_key = {
            key: _handed_over(entry) for key, entry in known.entry_by_key.items()
        }
        return LedgerPart(
            service,
            shard,
            known.grant,
            known.start_s,
            known.forgotten_s,
            entry_by_key,
        )

    def import_(self, part, grant, previous_grant, now_unix):
        """Begin to own a shard with the part of the owner before.

        Parameters
        ----------
        part : LedgerPart
            As the former owner's ``export`` gave it.
        grant, previous_grant : int
            The new grant, and the one right before it in the log. A part of any
            other grant is no proof that nobody ran a booking in between, so the
            shard is adopted without it.
        now_unix : float
            Wall-clock time, Unix seconds.

        Returns
        -------
        bool
            Whether the part was taken.
        """
        known = self._shard_by_id.get((part.service, part.shard))
        newer = known is not None and known.grant >= grant
        if newer or part.grant != previous_grant or not self._fits(part):
            self.adopt(part.service, part.shard, grant, now_unix)
            return False
        self.drop(part.service, part.shard)
        self._clock(now_unix)
        entry_by_key = {
            key: attrs.evolve(entry, run=next(self._runs))
            for key, entry in part.entry_by_key.items()
        }
        shard = _Shard(grant, part.start_s, part.forgotten_s, entry_by_key)
        self._shard_by_id[part.service, part.shard] = shard
        self._size += len(entry_by_key)
        for key, entry in entry_by_key.items():
            self._leave_at(part.service, part.shard, key, entry)
        return True

    def _fits(self, part):
        return self._size + len(part.entry_by_key) <= self._settings.ledger_entries


def _handed_over(entry):
    if entry.state is _State.RUNNING:
        return attrs.evolve(entry, state=_State.UNKNOWN)
    return attrs.evolve(entry)


def _bounded(answer):
    """Return the answer without its body if that is too large to keep."""
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    if header_bytes + len(answer.body) <= KEPT_ANSWER_BYTES:
        return answer
    return BookingAnswer(answer.status, (), b"", whole=False)
