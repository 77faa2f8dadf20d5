"""The ledger of bookings: each idempotency key runs at most once.

docs/design/bookings.md describes the rule, its window and its cost.
"""

import enum
import heapq
import itertools
import math

import attrs

from tamarackhaven.errors import ErrorKind

# Answers of up to this size, headers and body, are stored whole; of a larger one only
# the status is. 20,000 entries take 10 MB of the daemon's 64 MB, and an answer that
# names a booking's number and state fits.
MAX_STORED_ANSWER_BYTES = 512
# Bookings that did not run leave stale items in the expiry heap. It is rebuilt when it
# holds more than twice the number of entries plus this many items.
_MAX_STALE_ITEMS = 64


@attrs.frozen
class BookingTry:
    """One attempt of a booking that has arrived at its owner.

    Parameters
    ----------
    grant : int
        Grant under which this daemon owns the shard.
    digest : bytes
        Hash of method, path and body.
    first_sent_s : float
        When the caller first sent it, Unix seconds; the same on every resend.
    window_s : float
        Time after ``first_sent_s`` during which it may be resent, in seconds.
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
    """The first answer to a booking; ``whole`` is False if the body was dropped."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True


@attrs.frozen
class BookingToken:
    """Identifies one run of a booking; stale once the shard has been dropped."""

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
    """Return the first answer to the caller again."""

    answer: BookingAnswer


@attrs.frozen
class BookingRefused:
    """The booking isn't sent to the target; ``kind`` is the reason."""

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
    """The recorded state of one idempotency key; times in Unix seconds."""

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
        Time since which this ledger has recorded all bookings of the shard, Unix
        seconds.
    forgotten_s : float
        Latest first-sent time of an expired entry, Unix seconds.
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
    """Records the bookings of the shards that this daemon owns.

    Parameters
    ----------
    settings : BookingSettings
        Maximum number of entries, and margin of the callers' clocks in seconds.
    """

    def __init__(self, settings):
        self._settings = settings
        self._shard_by_id = {}
        self._runs = itertools.count(1)
        self._expiry_heap = []  # heap of (until_s, service, shard, idempotency key)
        self._entry_count = 0
        self._latest_unix_s = -math.inf

    def __len__(self):
        return self._entry_count

    def adopt(self, service, shard, grant, now_unix):
        """Start an empty ledger for a shard that this daemon now owns.

        The same or an older grant changes nothing. After a restart of the target's
        daemon the ledger is empty and starts anew, whatever the grant.
        """
        known = self._shard_by_id.get((service, shard))
        if known is not None and known.grant >= grant:
            return
        self.drop(service, shard)
        start_s = self._monotonic_unix_s(now_unix)
        self._shard_by_id[service, shard] = _Shard(grant, start_s)

    def drop(self, service, shard):
        """Discard the ledger of a shard; runs that end later aren't recorded."""
        dropped = self._shard_by_id.pop((service, shard), None)
        if dropped is not None:
            self._entry_count -= len(dropped.entry_by_key)

    def restart(self, service, shard, now_unix):
        """Treat bookings first sent before now as unknown unless they have an entry.

        When the shard of a pinned key is removed, its key falls back to this shard,
        whose ledger started long ago, and a booking that ran at the pin's owner could
        run again here. Call this before the first request under the changed state.
        """
        known = self._shard_by_id.get((service, shard))
        if known is not None:
            known.start_s = self._monotonic_unix_s(now_unix)

    def _monotonic_unix_s(self, now_unix):
        """Return the latest wall-clock time seen, in Unix seconds.

        If the wall clock steps back, entries look younger and ledgers seem to have
        started earlier, so the check of a first-sent time could pass although a former
        owner may have run the booking. With a clock that is monotonic within this
        process, a start time can only be too late, which only refuses more.
        """
        self._latest_unix_s = max(self._latest_unix_s, now_unix)
        return self._latest_unix_s

    def begin(self, booking, now_unix):
        """Decide on a booking; return Run, Replay or BookingRefused."""
        now = self._monotonic_unix_s(now_unix)
        self._expire(now)
        shard = self._shard_by_id.get((booking.service, booking.shard))
        if shard is None or shard.closed or shard.grant != booking.grant:
            return BookingRefused(ErrorKind.NOT_OWNER)
        entry = shard.entry_by_key.get(booking.idempotency_key)
        if entry is not None:
            return self._repeat_decision(booking, entry)
        kind = self._refusal_kind(booking, shard, now)
        if kind is not None:
            return BookingRefused(kind)
        return self._start_run(booking, shard)

    def _refusal_kind(self, booking, shard, now):
        """Return why an unknown booking can't run here, or None."""
        margin_s = self._settings.caller_clock_margin_s
        if booking.first_sent_s > now + margin_s:
            return ErrorKind.BAD_HEADER
        # If operators lengthen the window, a booking whose entry expired under the
        # shorter one is within the window again and could run twice. Entries expire in
        # the order of their first-sent times, so the latest expired one is a bound for
        # all of them.
        is_too_old = booking.first_sent_s + booking.window_s + margin_s <= now
        if is_too_old or booking.first_sent_s <= shard.forgotten_s:
            return ErrorKind.BOOKING_TOO_OLD
        # The first attempt may have run at a former owner that was lost with its
        # ledger, and a resend would then run a second time here. Any booking that a
        # former owner received was first sent before this ledger's start, within the
        # margin. This attempt did not run, and the answer says so: a caller whose
        # earlier attempts did not run either may send it as a new booking.
        if booking.first_sent_s < shard.start_s + margin_s:
            return ErrorKind.BOOKING_OWNER_CHANGED
        if self._entry_count >= self._settings.ledger_entries:
            return ErrorKind.LEDGER_FULL
        return None

    def _repeat_decision(self, booking, entry):
        if entry.digest != booking.digest:
            return BookingRefused(ErrorKind.BOOKING_MISMATCH)
        if entry.state is _State.RUNNING:
            return BookingRefused(ErrorKind.BOOKING_IN_PROGRESS)
        if entry.state is _State.UNKNOWN:
            return BookingRefused(ErrorKind.BOOKING_UNKNOWN)
        return Replay(entry.answer)

    def _start_run(self, booking, shard):
        margin_s = self._settings.caller_clock_margin_s
        until_s = booking.first_sent_s + booking.window_s + margin_s
        run = next(self._runs)
        entry = LedgerEntry(
            booking.digest, _State.RUNNING, run, booking.first_sent_s, until_s
        )
        shard.entry_by_key[booking.idempotency_key] = entry
        self._entry_count += 1
        self._push_expiry(
            booking.service, booking.shard, booking.idempotency_key, entry
        )
        token = BookingToken(
            booking.service,
            booking.shard,
            booking.grant,
            booking.idempotency_key,
            run,
        )
        return Run(token)

    def _push_expiry(self, service, shard, key, entry):
        heapq.heappush(self._expiry_heap, (entry.until_s, service, shard, key))
        if len(self._expiry_heap) > 2 * self._entry_count + _MAX_STALE_ITEMS:
            self._rebuild_expiry_heap()

    def _rebuild_expiry_heap(self):
        self._expiry_heap = [
            (entry.until_s, *shard_id, key)
            for shard_id, shard in self._shard_by_id.items()
            for key, entry in shard.entry_by_key.items()
        ]
        heapq.heapify(self._expiry_heap)

    def _expire(self, now):
        """Remove entries whose booking is refused as too old from now on.

        Entries are never removed earlier, not even when the ledger is full: a booking
        whose entry is gone while its window is open would run twice. The entry of a
        running booking is kept until the run has ended.
        """
        kept = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            item = heapq.heappop(self._expiry_heap)
            if self._remove_expired(item) is _State.RUNNING:
                kept.append((now + 1.0, *item[1:]))
        for item in kept:
            heapq.heappush(self._expiry_heap, item)

    def _remove_expired(self, item):
        """Remove the entry of a heap item unless it is running; return its state."""
        until_s, service, shard_number, key = item
        shard = self._shard_by_id.get((service, shard_number))
        entry = shard.entry_by_key.get(key) if shard else None
        if entry is None or entry.until_s > until_s:
            return None
        if entry.state is not _State.RUNNING:
            del shard.entry_by_key[key]
            shard.forgotten_s = max(shard.forgotten_s, entry.first_sent_s)
            self._entry_count -= 1
        return entry.state

    def finish(self, token, end, answer, now_unix):
        """Record how a run ended; a late or repeated call changes nothing.

        Parameters
        ----------
        token : BookingToken
            As returned by ``begin``.
        end : BookingEnd
            How the run ended.
        answer : BookingAnswer or None
            Required with ``BookingEnd.ANSWERED``.
        now_unix : float
            Wall-clock time, Unix seconds.
        """
        self._monotonic_unix_s(now_unix)
        entry = self._running_entry(token)
        if entry is None:
            return
        if end is BookingEnd.DID_NOT_RUN:
            shard = self._shard_by_id[token.service, token.shard]
            del shard.entry_by_key[token.idempotency_key]
            self._entry_count -= 1
        elif end is BookingEnd.ANSWERED:
            entry.state = _State.ANSWERED
            entry.answer = _truncated(answer)
        else:
            entry.state = _State.UNKNOWN

    def _running_entry(self, token):
        shard = self._shard_by_id.get((token.service, token.shard))
        if shard is None or shard.grant != token.grant:
            return None
        entry = shard.entry_by_key.get(token.idempotency_key)
        if entry is None or entry.run != token.run:
            return None
        return entry if entry.state is _State.RUNNING else None

    def running(self, service, shard):
        """Return the number of running bookings of a shard; no move waits for them."""
        known = self._shard_by_id.get((service, shard))
        entries = known.entry_by_key.values() if known else ()
        return sum(entry.state is _State.RUNNING for entry in entries)

    def export(self, service, shard):
        """Close a shard here and return its ``LedgerPart`` for the next owner.

        From now on this daemon runs no booking of the shard under this grant, even if
        the move is cancelled: otherwise a part exported earlier that arrives late would
        lack the bookings that ran since. Running bookings are handed over as unknown,
        as their end may never be reported. Returns None if the shard isn't owned here.
        """
        known = self._shard_by_id.get((service, shard))
        if known is None:
            return None
        known.closed = True
        entry_by_key = {
            key: _exported_entry(entry) for key, entry in known.entry_by_key.items()
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
        """Start the ledger of a shard with the part of its previous owner.

        Parameters
        ----------
        part : LedgerPart
            As returned by the previous owner's ``export``.
        grant, previous_grant : int
            The new grant, and the one right before it in the log. A part of any
            other grant doesn't prove that no booking ran in between, so the shard is
            adopted without it.
        now_unix : float
            Wall-clock time, Unix seconds.

        Returns
        -------
        bool
            Whether the part was used.
        """
        known = self._shard_by_id.get((part.service, part.shard))
        is_newer = known is not None and known.grant >= grant
        if is_newer or part.grant != previous_grant or not self._has_capacity_for(part):
            self.adopt(part.service, part.shard, grant, now_unix)
            return False
        self.drop(part.service, part.shard)
        self._monotonic_unix_s(now_unix)
        entry_by_key = {
            key: attrs.evolve(entry, run=next(self._runs))
            for key, entry in part.entry_by_key.items()
        }
        shard = _Shard(grant, part.start_s, part.forgotten_s, entry_by_key)
        self._shard_by_id[part.service, part.shard] = shard
        self._entry_count += len(entry_by_key)
        for key, entry in entry_by_key.items():
            self._push_expiry(part.service, part.shard, key, entry)
        return True

    def _has_capacity_for(self, part):
        return (
            self._entry_count + len(part.entry_by_key) <= self._settings.ledger_entries
        )


def _exported_entry(entry):
    if entry.state is _State.RUNNING:
        return attrs.evolve(entry, state=_State.UNKNOWN)
    return attrs.evolve(entry)


def _truncated(answer):
    """Return the answer, without headers and body if it is too large to store."""
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    if header_bytes + len(answer.body) <= MAX_STORED_ANSWER_BYTES:
        return answer
    return BookingAnswer(answer.status, (), b"", whole=False)
