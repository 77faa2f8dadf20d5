"""Tracks the keys of a target that is told by calls which keys it holds. Pure.

Why no two targets hold one key:

- A hold lasts from the arrival of its call. The call arrives within ``CALL_TIMEOUT_S``,
  or its connection is closed. So even on the slowest clock, the hold that the call
  gives ends before the daemon's lease does, whether the call was answered or not.
- Keys count as released only once the target has answered the call to release them, and
  once every hold has expired that an unanswered call could still give: such a call may
  be executed after the release.
- A daemon that has just started doesn't know what an earlier process told the target.
  It counts all keys as held until the longest lease of that process has expired.
"""

import enum
import itertools

import attrs

from tamarackhaven.fleet._model import KEY_COUNT, GrantId, Hold, Release
from tamarackhaven.fleet._ranges import overlaps
from tamarackhaven.sidecar._key_holds import (
    MIN_HOLD_S,
    SLOW_CLOCK_FACTOR,
    HeartbeatReply,
    KeyHolds,
)

# The target is on the same VM and answers at once. A target that doesn't may execute
# the call later.
CALL_TIMEOUT_S = 0.4
# A release is answered once the work on its keys has ended. The call may be lost; a
# release that is executed twice does no harm.
RELEASE_TIMEOUT_S = 1.5
# With dozens of ranges, each new grant would cause a call for each of them several
# times a second. A hold is renewed only once the renewal extends it by this long.
MIN_EXTENSION_S = 0.6
# Limits of the calls in flight. With many ranges and calls that hang, further calls
# would wait for a connection, or the target's connections would run out.
MAX_OPEN_GRANTS = 4
MAX_OPEN_RELEASES = 8


@attrs.frozen
class GrantOrder:
    """A call that tells the target to hold keys.

    Parameters
    ----------
    number : int
        Unique within a life.
    first, last : int
        Both included.
    fence : int
        Fencing token.
    hold_s : float
        Duration of the hold, from the arrival of the call.
    handover : str
        What the former owner released the keys with; may be empty.
    made_s : float
        When the order was made, in seconds of the boot clock.
    """

    number: int
    first: int
    last: int
    fence: int
    hold_s: float
    handover: str
    made_s: float


@attrs.frozen
class ReleaseOrder:
    """A call that tells the target to release keys; fields as in ``GrantOrder``."""

    number: int
    first: int
    last: int
    fence: int
    made_s: float


class OrderEnd(enum.Enum):
    """How a call about keys ended."""

    DONE = "done"
    SUPERSEDED = "superseded"  # the target has seen a higher token
    UNANSWERED = "unanswered"  # it may be executed later
    NOT_SENT = "not sent"


@attrs.frozen
class _Span:
    """Keys that the target was told to hold under one fencing token.

    Parameters
    ----------
    confirmed_until_s : float
        Until when it holds them, by the calls that it answered.
    until_s : float
        When the last hold that any call may have given has expired.
    unanswered_until_s : float
        As ``until_s``, for unanswered calls alone.
    handover : str or None
        Handover of its release, None until the release is answered.
    """

    first: int
    last: int
    fence: int
    confirmed_until_s: float = float("-inf")
    until_s: float = float("-inf")
    unanswered_until_s: float = float("-inf")
    handover: str | None = None

    @property
    def is_released(self):
        """Whether the target has answered the call to release the keys."""
        return self.handover is not None

    def is_inside(self, other):
        """Whether all keys of this span are keys of ``other``."""
        return other.first <= self.first and self.last <= other.last


class CalledHolds(KeyHolds):
    """The keys of one life of a target that is told them by calls.

    Parameters
    ----------
    lease, life
        As for ``KeyHolds``.
    """

    def __init__(self, lease, life):
        super().__init__(lease, life)
        self._spans = []
        self._open_by_number = {}
        self._numbers = itertools.count(1)
        self._refused_holds = set()
        self._past_releases = []
        self._earlier_holds_until_s = None

    # Incoming: grants, heartbeats and results of calls.

    def apply_grant(self, grant, requested_s):
        """Apply a grant; its lease counts from when it was requested."""
        former = self._grant
        super().apply_grant(grant, requested_s)
        if self._grant is not None and (
            former is None or former.ranges != self._grant.ranges
        ):
            self._split_spans(self._grant.ranges)

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat of this life; the reply says nothing about keys."""
        if self._earlier_holds_until_s is None:
            # The first heartbeat of a life: no earlier process can have told it to hold
            # keys.
            is_new = heartbeat.sequence <= 1
            self._earlier_holds_until_s = now if is_new else now + self._lease.lease_s
        return HeartbeatReply()

    def ended(self, order, end, now, handover=""):
        """Record how a call ended.

        Parameters
        ----------
        order : GrantOrder or ReleaseOrder
            From ``due``.
        end : OrderEnd
            How the call ended.
        now : float
            Seconds of the boot clock.
        handover : str
            Of a release that is done.
        """
        del self._open_by_number[order.number]
        if isinstance(order, ReleaseOrder):
            if end is OrderEnd.DONE:
                self._update_spans(order, handover=handover)
                self._drop_expired(now)
        elif end is OrderEnd.DONE:
            self._confirm_grant(order)
        elif end is OrderEnd.UNANSWERED:
            self._update_spans(order, unanswered_until_s=_latest_end_s(order))
        elif end is OrderEnd.SUPERSEDED:
            self._refused_holds.add(Hold(order.first, order.last, order.fence))

    def _confirm_grant(self, order):
        confirmed_until_s = order.made_s + order.hold_s
        for span in self._inside(order):
            if span.fence < order.fence:
                # The target has accepted a higher token, so it no longer holds these
                # keys.
                self._spans.remove(span)
        self._update_spans(order, confirmed_until_s=confirmed_until_s)

    def _update_spans(self, order, **fields):
        """Update the spans of an order; a time is only ever raised."""
        for number, span in enumerate(self._spans):
            if span.fence != order.fence or not span.is_inside(order):
                continue
            raised = {
                name: max(getattr(span, name), value)
                if isinstance(value, float)
                else value
                for name, value in fields.items()
            }
            self._spans[number] = attrs.evolve(span, **raised)

    # Outgoing calls.

    def due(self, now):
        """Return the calls to make now, as a list; each must be ``ended`` later."""
        self._drop_expired(now)
        if self._grant is None or now >= self._lease_until_s or self.may_have_ended:
            return []
        wanted = self._grant.ranges
        return [*self._due_releases(wanted, now), *self._due_grants(wanted, now)]

    def _due_releases(self, wanted, now):
        orders = []
        for span in self._spans:
            if len(self._open_orders(ReleaseOrder)) >= MAX_OPEN_RELEASES:
                break
            if span.is_released or any(span.is_inside(row) for row in wanted):
                continue
            if not self._has_open_order(span):
                order = ReleaseOrder(
                    next(self._numbers), span.first, span.last, span.fence, now
                )
                self._open_by_number[order.number] = order
                orders.append(order)
        return orders

    def _due_grants(self, wanted, now):
        hold_s = self._max_hold_s(now, CALL_TIMEOUT_S)
        if hold_s < MIN_HOLD_S:
            return []
        orders = []
        span_by_keys = {
            (each.first, each.last, each.fence): each for each in self._spans
        }
        due = [(self._confirmed_until_s(row, span_by_keys), row) for row in wanted]
        due = [each for each in due if now + hold_s - each[0] >= MIN_EXTENSION_S]
        for _, row in sorted(due, key=lambda each: each[0]):
            if len(self._open_orders(GrantOrder)) >= MAX_OPEN_GRANTS:
                break
            is_refused = Hold(row.first, row.last, row.fence) in self._refused_holds
            if is_refused or self._has_open_order(row):
                continue
            order = GrantOrder(
                next(self._numbers),
                row.first,
                row.last,
                row.fence,
                hold_s,
                self._own_handover(row) or row.handover,
                now,
            )
            self._open_by_number[order.number] = order
            self._record_grant_sent(order)
            orders.append(order)
        return orders

    def _record_grant_sent(self, order):
        """Record that a call may give the target its keys from now on."""
        parts = [each for each in self._inside(order) if each.fence == order.fence]
        is_whole = sum(each.last - each.first + 1 for each in parts) == (
            order.last - order.first + 1
        )
        for part in parts:
            self._spans.remove(part)
        confirmed_until_s = float("-inf")
        if is_whole and not any(each.is_released for each in parts):
            confirmed_until_s = min(each.confirmed_until_s for each in parts)
        self._spans.append(
            _Span(
                order.first,
                order.last,
                order.fence,
                confirmed_until_s,
                max([_latest_end_s(order), *(each.until_s for each in parts)]),
                max((each.unanswered_until_s for each in parts), default=float("-inf")),
            )
        )

    def _open_orders(self, kind):
        return [
            each for each in self._open_by_number.values() if isinstance(each, kind)
        ]

    def _has_open_order(self, keys):
        return any(overlaps(order, keys) for order in self._open_by_number.values())

    def _inside(self, keys):
        return [span for span in self._spans if span.is_inside(keys)]

    def _confirmed_until_s(self, row, span_by_keys):
        """Return until when the target has confirmed all keys of a granted row."""
        exact = span_by_keys.get((row.first, row.last, row.fence))
        if exact is not None and not exact.is_released:
            return exact.confirmed_until_s
        parts = [
            each
            for each in self._inside(row)
            if each.fence == row.fence and not each.is_released
        ]
        if sum(each.last - each.first + 1 for each in parts) < row.last - row.first + 1:
            return float("-inf")
        return min(each.confirmed_until_s for each in parts)

    def _own_handover(self, row):
        """Return the handover with which this life released a row that came back.

        A leader that moves keys may be lost after their release, and the next leader
        leaves the keys where they are. Without their handover they'd be slow, as if
        they came from a lost owner. Under the same fencing token no other target has
        held them.
        """
        for fence, release in reversed(self._past_releases):
            is_covered = release.first <= row.first and row.last <= release.last
            if fence == row.fence and is_covered:
                return release.handover
        return ""

    def _split_spans(self, rows):
        """Split spans so that each lies inside one of ``rows`` or outside of all."""
        edges = sorted({each.first for each in rows} | {each.last + 1 for each in rows})
        spans = []
        for span in self._spans:
            inner = [edge for edge in edges if span.first < edge <= span.last]
            starts = [span.first, *inner]
            ends = [*(edge - 1 for edge in inner), span.last]
            spans += [
                attrs.evolve(span, first=a, last=b)
                for a, b in zip(starts, ends, strict=True)
            ]
        self._spans = spans

    def _drop_expired(self, now):
        """Remove spans that the target can't hold any more; record their releases."""
        kept = []
        released = []
        for span in self._spans:
            is_open = self._has_open_order(span)
            if span.is_released and now >= span.unanswered_until_s and not is_open:
                release = Release(span.first, span.last, span.handover)
                released.append(release)
                self._past_releases.append((span.fence, release))
            elif now < span.until_s or is_open:
                kept.append(span)
        del self._past_releases[:-64]
        self._spans = kept
        self._record_releases(released, now)

    # Queries.

    def holds(self, key, now):
        """Whether the target has confirmed that it holds ``key``, and still does."""
        if not self.is_granted(key, now):
            return False
        return any(
            each.first <= key <= each.last
            and now < each.confirmed_until_s
            and not each.is_released
            for each in self._spans
        )

    def is_known(self, now):
        """Whether all holds that an earlier process may have given have expired."""
        return (
            self._earlier_holds_until_s is not None
            and now >= self._earlier_holds_until_s
        )

    def held(self, now):
        """Return what the target may hold, as a tuple of ``Hold``."""
        if not self.is_known(now):
            return (Hold(0, KEY_COUNT - 1, 0),)
        self._drop_expired(now)
        return tuple(Hold(each.first, each.last, each.fence) for each in self._spans)

    @property
    def range_count(self):
        """Number of ranges that the newest grant includes."""
        return len(self._grant.ranges) if self._grant else 0

    @property
    def settled(self):
        """The newest grant; keys that it leaves out are held until they're released."""
        return self._grant.grant if self._grant else GrantId()

    @property
    def refused(self):
        """What the target refuses under its present token, as a tuple of ``Hold``."""
        if self._grant is None:
            return ()
        rows = {Hold(row.first, row.last, row.fence) for row in self._grant.ranges}
        return tuple(self._refused_holds & rows)


def _latest_end_s(order):
    """Return when every hold that a grant order could give has expired."""
    return order.made_s + CALL_TIMEOUT_S + order.hold_s * SLOW_CLOCK_FACTOR
