"""Watches whether two backends hold the same keys at the same time."""

import asyncio
import itertools
import time

POLL_S = 0.005
MAX_COMMON_HOLD_S = 0.5


class OwnerWatch:
    """Checks the rule OWNER while it is on, by its three sentences.

    Two backends hold the same keys for over half a second; or both begin requests on
    keys that both hold; or one is given a key on which another is still at work, before
    that one's hold would have run out.

    Parameters
    ----------
    fleet : Fleet
        Its sharded backends are watched.
    record : Record
        Gets the common holds that begin and end, and what breaks the rule.
    """

    def __init__(self, fleet, record):
        self._fleet = fleet
        self._record = record
        self._since_s_by_pair = {}
        self._begun_by_pair = {}
        self._has_told = set()
        self.broken = []
        record.on_begun = self._on_begun
        record.on_taken = self._on_taken

    async def run(self):
        """Watch until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(POLL_S)

    def look(self):
        """Compare all holds of this moment."""
        now = time.monotonic()
        backends = [each for each in self._fleet.backends if each.sharded]
        rows = {each: each.held(now) for each in backends}
        present = set()
        for one, other in itertools.combinations(backends, 2):
            if one.machine["service"] != other.machine["service"]:
                continue
            for a, b in itertools.product(rows[one], rows[other]):
                first, last = max(a[0], b[0]), min(a[1], b[1])
                if first <= last:
                    present.add((one.name, other.name, first, last))
        for pair in present:
            self._hold(pair, now)
        for pair in self._since_s_by_pair.keys() - present:
            since_s = self._since_s_by_pair.pop(pair)
            self._begun_by_pair.pop(pair, None)
            self._record.line(
                "common hold ends",
                backends=[pair[0], pair[1]],
                keys=[pair[2], pair[3]],
                lasted_s=round(now - since_s, 3),
            )

    def _hold(self, pair, now):
        if pair not in self._since_s_by_pair:
            self._since_s_by_pair[pair] = now
            self._begun_by_pair[pair] = set()
            self._record.line(
                "common hold begins",
                backends=[pair[0], pair[1]],
                keys=[pair[2], pair[3]],
            )
        if now - self._since_s_by_pair[pair] > MAX_COMMON_HOLD_S:
            self._tell(
                pair,
                f"{pair[0]} and {pair[1]} have both held the keys {pair[2]} to"
                f" {pair[3]} for over {MAX_COMMON_HOLD_S} s",
            )

    def _on_begun(self, backend, key):
        self.look()
        for pair, begun in self._begun_by_pair.items():
            if backend.name in pair[:2] and pair[2] <= key <= pair[3]:
                begun.add(backend.name)
                if len(begun) > 1:
                    self._tell(
                        pair,
                        f"{pair[0]} and {pair[1]} both hold the keys {pair[2]} to"
                        f" {pair[3]}, and both began requests on them",
                    )

    def _on_taken(self, backend, ranges):
        now = time.monotonic()
        for other in self._fleet.backends:
            if other is backend or not other.is_up or now >= other.hold_until_s:
                continue
            if other.machine["service"] != backend.machine["service"]:
                continue
            for key in other.keys_at_work():
                if any(first <= key <= last for first, last in ranges):
                    self._tell(
                        (backend.name, other.name, key, "work"),
                        f"{backend.name} was given the key {key}, on which"
                        f" {other.name} is still at work",
                    )

    def _tell(self, key, text):
        if (key, text) not in self._has_told:
            self._has_told.add((key, text))
            self.broken.append(text)
            self._record.line("RULE BROKEN OWNER", detail=text)
