"""Real processes: a target rejects a request, and then gives that answer twice."""

import asyncio
import copy
import itertools

from standin.fleet import CONFIGURATION
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(35)
BOOKINGS = 120
# Of so many bookings one is rejected, so that there is budget to send it again.
BOOKINGS_PER_REJECTION = 6
MIN_SENT_AGAIN = 5
NOT_RUN_STATUSES = (408, 421, 429, 503)


class RejectsOnce:
    """Rejects some bookings once, and gives each such answer twice."""

    def __init__(self):
        self.rejected = set()

    def rejects(self, attempt):
        if not attempt.startswith("rejected") or attempt in self.rejected:
            return False
        self.rejected.add(attempt)
        return True

    def gives_twice(self, attempt):
        return attempt in self.rejected


def test_a_booking_that_runs_is_not_refused(tmp_path):
    # Guards against 503, "not run", by a copy of the answer to an earlier send.
    async def test(fleet):
        document = copy.deepcopy(CONFIGURATION)
        document["version"] = "r2"
        for each in document["virtual_hosts"][0]["path_routes"]:
            each["kind"] = "unsafe"
        await fleet.order("/api/config/replace", document, "r1")
        await asyncio.sleep(1.0)
        for target in fleet.targets:
            rejections = RejectsOnce()
            target.rejects = rejections.rejects
            target.gives_twice = rejections.gives_twice
            target.work_s = 0.03
        statuses = {}
        for number in range(BOOKINGS):
            is_rejected = number % BOOKINGS_PER_REJECTION == 0
            attempt = f"{'rejected' if is_rejected else 'booking'}{number}"
            answer = await fleet.ask("/owned/", number * 540, number % 2, attempt)
            statuses[attempt] = answer.status
        begun = [attempt for target in fleet.targets for attempt in target.begun]
        ran = [each for each in statuses if each in begun]
        sent_again = [each for each in ran if each.startswith("rejected")]
        assert len(sent_again) >= MIN_SENT_AGAIN
        assert not [each for each in ran if statuses[each] in NOT_RUN_STATUSES]
        assert not [each for each in ran if begun.count(each) > 1]

    real_fleet.run(
        test, (tmp_path, ("owned", "owned", "shared"), next(NETWORK_NUMBERS))
    )
