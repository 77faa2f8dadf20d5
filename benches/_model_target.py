"""A fake target: slots, service times, and a cold state in which it falls over."""

from tamarackhaven._gate_messages import End, TargetReport

CONNECTIONS = 130
CONNECT_S = 0.001
# A cold target bears 2 requests at once, and all its slots after 8 s and 200 requests.
COLD_BEARS = 2
WARM_AFTER_S = 8.0
WARM_AFTER_REQUESTS = 200
COLD_SLOWDOWN = 2.0
# Starts beyond what it bears after which a cold target falls over.
STRAIN_MAX = 10
DOWN_S = 1.0


class Target:
    """One target of a service.

    Beyond its slots all work slows in proportion, and a little more for the switching.
    """

    def __init__(self, sim, name, zone, slots):
        self.sim = sim
        self.name = name
        self.zone = zone
        self.slots = slots
        self.slowdown = 1.0
        self.true_slots = slots  # fewer if it declares more than it has
        self.crowd_power = 1.0  # how latency grows with the work beyond its slots
        self.up = True
        self.executions = 0
        self.work_s = 0.0
        self.over_capacity_cold = 0
        self.falls = 0
        self._incarnation = 1
        self._born_s = -WARM_AFTER_S
        self._served = WARM_AFTER_REQUESTS
        self._strain = 0
        self._idle_connections = 0
        self._done_by_run = {}
        self._runs = 0

    @property
    def running(self):
        """Requests at the target now."""
        return len(self._done_by_run)

    def bears(self):
        """Return how many requests it can run at once now."""
        by_time = (self.sim.now - self._born_s) / WARM_AFTER_S
        by_work = self._served / WARM_AFTER_REQUESTS
        part = max(0.0, min(1.0, by_time, by_work))
        return COLD_BEARS + int((self.slots - COLD_BEARS) * part)

    def start(self, request, done):
        """Run ``request`` and call ``done(end, seconds)`` when it has ended."""
        if not self.up:
            self.sim.after(CONNECT_S, done, End.UNREACHABLE, CONNECT_S)
            return
        if self.running >= CONNECTIONS:
            self.sim.after(CONNECT_S, done, End.SHED, CONNECT_S)
            return
        connect_s = self._connect()
        self._runs += 1
        self._done_by_run[self._runs] = (done, self.sim.now)
        request.executions += 1
        self.executions += 1
        self.work_s += request.work_s
        duration_s = connect_s + request.work_s * self._factor()
        self.sim.after(duration_s, self._finish, self._runs)
        self._count_strain()

    def _connect(self):
        if self._idle_connections:
            self._idle_connections -= 1
            return 0.0
        return CONNECT_S

    def _factor(self):
        crowd = max(1.0, self.running / self.true_slots) ** self.crowd_power
        switching = 1.0 + 0.02 * max(0, self.running - self.slots)
        cold = COLD_SLOWDOWN if self.bears() < self.slots else 1.0
        return self.slowdown * crowd * switching * cold

    def _count_strain(self):
        if self.bears() < self.slots and self.running > self.bears():
            self.over_capacity_cold += 1
            self._strain += 1
            if self._strain > STRAIN_MAX:
                self.falls += 1
                self.stop(DOWN_S)

    def _finish(self, run):
        item = self._done_by_run.pop(run, None)
        if item is None:
            return  # it fell over before
        self._served += 1
        self._idle_connections += 1
        done, started_s = item
        done(End.ANSWERED, self.sim.now - started_s)

    def stop(self, down_s):
        """Fall over: all that runs fails; a cold target is back after ``down_s``."""
        self.up = False
        failed, self._done_by_run = self._done_by_run, {}
        self._idle_connections = 0
        for done, started_s in failed.values():
            done(End.FAILED, self.sim.now - started_s)
        self.sim.after(down_s, self._restart)

    def _restart(self):
        self.up = True
        self.turn_cold()
        self._incarnation += 1

    def turn_cold(self):
        """Lose all warmth, without a word."""
        self._born_s = self.sim.now
        self._served = 0
        self._strain = 0

    def report(self):
        """Return what it says of itself now."""
        return TargetReport(
            age_s=0.0,
            running=self.running,
            slots=self.slots,
            uptime_s=self.sim.now - self._born_s,
            incarnation=str(self._incarnation),
            served=self._served,
        )
