"""Counts late, failed and refused requests by cause, from the logs of a fleet. No I/O.

Each attempt of a caller counts once, by its end at the daemon that received it:
answered in time, answered late (with the stage that took longest), failed by the
target, or refused (with the kind of the refusal).
"""

import collections

import attrs

IN_TIME = "in time"
FAILED = "failed by the target"
# The stage that took longest of a late answer.
LATE_BEFORE = "late: before it reached the target"
LATE_WAITING = "late: waited at the gate"
LATE_WORKING = "late: the target's work"


@attrs.frozen(order=True)
class Loss:
    """The attempts on one route with the same end.

    ``part`` is their fraction of all attempts on the route.
    """

    route: str
    end: str
    count: int
    part: float

    @property
    def text(self):
        """The loss as a line of a table."""
        return f"{self.route:24} {self.count:8} {self.part:7.1%}  {self.end}"


def losses(lines):
    """Return the ends of the attempts on each route, as a sorted list of ``Loss``.

    Parameters
    ----------
    lines : iterable of Line
        Log lines of all daemons, in any order.
    """
    end_by_request = {}
    for line in sorted(lines):
        end = _parse_end(line)
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


def _parse_end(line):
    """Return the route and end that a log line states, or None."""
    fields = line.fields
    if line.sentence == "caller: refused":
        return fields.get("route", ""), f"refused: {fields.get('kind')}"
    if line.sentence != "caller: ended" or fields.get("end") != "Answered":
        return None
    return fields.get("route", ""), _classify_answer(fields)


def _classify_answer(fields):
    if str(fields.get("kind", ""))[:1] == "5":
        return FAILED
    after_s = fields.get("after_s", 0.0)
    if after_s <= fields.get("objective_s", float("inf")):
        return IN_TIME
    waited_s, worked_s = fields.get("waited_s", 0.0), fields.get("worked_s", 0.0)
    seconds_by_stage = {
        LATE_BEFORE: after_s - waited_s - worked_s,
        LATE_WAITING: waited_s,
        LATE_WORKING: worked_s,
    }
    return max(seconds_by_stage, key=seconds_by_stage.get)
