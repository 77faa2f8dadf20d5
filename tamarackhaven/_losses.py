"""What callers did not get in time, and why, from the logs of a fleet. Pure.

Each attempt of a caller counts once, by how its own daemon ended it: answered in time,
answered late (with the part of its way that took longest), failed by the target, or
refused (with the kind of the refusal).
"""

import collections

import attrs

IN_TIME = "in time"
FAILED = "failed by the target"
# The parts of a late answer's way.
LATE_BEFORE = "late: before it reached the target"
LATE_WAITING = "late: waited at the gate"
LATE_WORKING = "late: the target's work"


@attrs.frozen(order=True)
class Loss:
    """Attempts on one route that ended in one way."""

    route: str
    end: str
    count: int
    part: float

    @property
    def text(self):
        """The line for people."""
        return f"{self.route:24} {self.count:8} {self.part:7.1%}  {self.end}"


def losses(lines):
    """Return how the attempts on each route ended, as a list of ``Loss``.

    Parameters
    ----------
    lines : iterable of Line
        Of all daemons, in any order.
    """
    end_by_request = {}
    for line in sorted(lines):
        end = _end(line)
        if end is not None and line.request_id:
            end_by_request[line.request_id] = end
    counts = collections.Counter(end_by_request.values())
    total_by_route = collections.Counter()
    for (route, _), count in counts.items():
        total_by_route[route] += count
    found = [
        Loss(route, end, count, count / total_by_route[route])
        for (route, end), count in counts.items()
    ]
    return sorted(found, key=lambda loss: (loss.route, -loss.count))


def _end(line):
    """Return the route and the end that a line tells, None if it tells none."""
    fields = line.fields
    if line.sentence == "caller: refused":
        return fields.get("route", ""), f"refused: {fields.get('kind')}"
    if line.sentence != "caller: ended" or fields.get("end") != "Answered":
        return None
    return fields.get("route", ""), _answered(fields)


def _answered(fields):
    if str(fields.get("kind", ""))[:1] == "5":
        return FAILED
    after_s = fields.get("after_s", 0.0)
    if after_s <= fields.get("objective_s", float("inf")):
        return IN_TIME
    waited_s, worked_s = fields.get("waited_s", 0.0), fields.get("worked_s", 0.0)
    seconds_by_part = {
        LATE_BEFORE: after_s - waited_s - worked_s,
        LATE_WAITING: waited_s,
        LATE_WORKING: worked_s,
    }
    return max(seconds_by_part, key=seconds_by_part.get)
