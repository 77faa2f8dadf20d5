"""A simulated target: slots, service times, and crashes under load while cold."""

from tamarackhaven._gate_messages import End, TargetReport

MAX_CONNECTIONS = 130
CONNECT_S = 0.001
# A cold target runs 2 requests at once without overload. The limit grows to all its
# slots over 8 s and 200 requests, whichever takes longer.
COLD_MAX_RUNNING = 2
WARM_UP_S = 8.0
WARM_UP_REQUESTS = 200
COLD_SLOWDOWN = 2.0
# A cold target crashes after more than this many starts above its limit.
MAX_COLD_OVERLOADS = 10
RESTART_S = 1.0


class Target:
    """One target of a service.

    With more running requests than slots, all work slows in proportion, and by
    another 2 % for each excess request for the cost of switching.
    """

    def __init__(self, sim, name, zone, slots):
        self.sim = sim
        self.name = name
        self.zone = zone
        self.slots = slots
        self.slowdown = 1.0
        self.actual_slots = slots  # fewer than ``slots`` if it declares too many
        # Of the slowdown over the ratio of running requests to slots.
        self.overload_exponent = 1.0
        self.is_up = True
        self.executions = 0
        self.work_s = 0.0
        self.cold_overloads = 0
        self.crashes = 0
        self._incarnation = 1
        self._started_s = -WARM_UP_S
        self._served = WARM_UP_REQUESTS
        self._overloads_since_cold = 0
        self._idle_connections = 0
        self._done_by_run = {}
        self._runs = 0

    @property
    def running(self):
        """Number of requests that run at the target."""
        return len(self._done_by_run)

    def max_running(self):
        """Return how many requests it can run at once without overload."""
        by_time = (self.sim.now - self._started_s) / WARM_UP_S
        by_work = self._served / WARM_UP_REQUESTS
        fraction = max(0.0, min(1.0, by_time, by_work))
        return COLD_MAX_RUNNING + int((self.slots - COLD_MAX_RUNNING) * fraction)

    def start(self, request, done):
        """Run ``request``; call ``done(end, seconds)`` at its end or failure."""
        if not self.is_up:
            self.sim.after(CONNECT_S, done, End.UNREACHABLE, CONNECT_S)
            return
        if self.running >= MAX_CONNECTIONS:
            self.sim.after(CONNECT_S, done, End.SHED, CONNECT_S)
            return
        connect_s = self._connect()
        self._runs += 1
        self._done_by_run[self._runs] = (done, self.sim.now)
        request.executions += 1
        self.executions += 1
        self.work_s += request.work_s
        duration_s = connect_s + request.work_s * self._slowdown_factor()
        self.sim.after(duration_s, self._finish, self._runs)
        self._count_cold_overload()

    def _connect(self):
        if self._idle_connections:
            self._idle_connections -= 1
            return 0.0
        return CONNECT_S

    def _slowdown_factor(self):
        overload = max(1.0, self.running / self.actual_slots) ** self.overload_exponent
        switching = 1.0 + 0.02 * max(0, self.running - self.slots)
        cold = COLD_SLOWDOWN if self.max_running() < self.slots else 1.0
        return self.slowdown * overload * switching * cold

    def _count_cold_overload(self):
        if self.max_running() < self.slots and self.running > self.max_running():
            self.cold_overloads += 1
            self._overloads_since_cold += 1
            if self._overloads_since_cold > MAX_COLD_OVERLOADS:
                self.crashes += 1
                self.stop(RESTART_S)

    def _finish(self, run):
        item = self._done_by_run.pop(run, None)
        if item is None:
            return  # the target crashed meanwhile
        self._served += 1
        self._idle_connections += 1
        done, started_s = item
        done(End.ANSWERED, self.sim.now - started_s)

    def stop(self, down_s):
        """Crash: running requests fail; the target restarts cold after ``down_s``."""
        self.is_up = False
        failed, self._done_by_run = self._done_by_run, {}
        self._idle_connections = 0
        for done, started_s in failed.values():
            done(End.FAILED, self.sim.now - started_s)
        self.sim.after(down_s, self._restart)

    def _restart(self):
        self.is_up = True
        self.turn_cold()
        self._incarnation += 1

    def turn_cold(self):
        """Become cold while the incarnation stays the same."""
        self._started_s = self.sim.now
        self._served = 0
        self._overloads_since_cold = 0

    def report(self):
        """Return its current load report."""
        return TargetReport(
            age_s=0.0,
            running=self.running,
            slots=self.slots,
            uptime_s=self.sim.now - self._started_s,
            incarnation=str(self._incarnation),
            served=self._served,
        )
