"""Model of a shared service, whose daemons choose a target for each request."""

import itertools
import random

import attrs
from _model_events import Simulation
from _model_fleet import INTER_ZONE_DELAY_S
from _model_load import Arrivals, CallerRules, Callers
from _model_run import DRAIN_S
from _model_target import Target

from tamarackhaven._choice import Candidate, TargetChooser
from tamarackhaven._gate_messages import End
from tamarackhaven.errors import ErrorKind

REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 1.0


class TwoChoices:
    """The product's choice: the better of two sampled targets."""

    def __init__(self, zone, candidates, rng):
        self._chooser = TargetChooser(zone)
        self._candidates = candidates
        self._rng = rng

    def choose(self, now):
        """Return the name of the target for the next request."""
        name = self._chooser.choose(self._candidates, now, self._rng).target
        self._chooser.started(name)
        return name

    def ended(self, name, latency_s, now):
        """Record the latency of a request that ended at ``now``, both in seconds."""
        self._chooser.ended(name, latency_s, now)

    def report(self, name, report, now):
        """Record a target's load report."""
        self._chooser.report(name, report, now)


class FixedSequence:
    """A choice without feedback: yields ``names`` in order."""

    def __init__(self, names):
        self._names = names

    def choose(self, now):
        """Return the name of the target for the next request."""
        return next(self._names)

    def ended(self, name, latency_s, now):
        """Ignore the feedback."""

    def report(self, name, report, now):
        """Ignore the feedback."""


def _round_robin(zone, candidates, rng):
    names = [candidate.target for candidate in candidates]
    first = rng.randrange(len(names))
    return FixedSequence(itertools.cycle(names[first:] + names[:first]))


def _random_choice(zone, candidates, rng):
    names = [candidate.target for candidate in candidates]
    return FixedSequence(rng.choice(names) for _ in itertools.count())


POLICIES = {
    "two choices": TwoChoices,
    "round robin": _round_robin,
    "random": _random_choice,
}


@attrs.frozen
class _Daemon:
    zone: str
    policy: object


class SharedFleet:
    """Targets that any daemon may call, with one daemon next to each of them."""

    def __init__(self, sim, shape, policy):
        self._sim = sim
        self._shape = shape
        self.targets = [
            Target(sim, str(n), str(n % shape.zones), shape.slots)
            for n in range(shape.targets)
        ]
        self._target_by_name = {t.name: t for t in self.targets}
        candidates = [Candidate(t.name, t.zone, t.slots) for t in self.targets]
        self._daemons = [
            _Daemon(t.zone, policy(t.zone, candidates, sim.rng)) for t in self.targets
        ]
        sim.after(REPORT_INTERVAL_S, self._read_reports)

    def _read_reports(self):
        for target in self.targets:
            self._sim.after(REPORT_DELAY_S, self._report, target.name, target.report())
        self._sim.after(REPORT_INTERVAL_S, self._read_reports)

    def _report(self, name, report):
        aged = attrs.evolve(report, age_s=REPORT_DELAY_S)
        for daemon in self._daemons:
            daemon.policy.report(name, aged, self._sim.now)

    def deliver(self, request, reply):
        """Deliver a try to a random daemon, and its reply to the caller."""
        daemon = self._sim.rng.choice(self._daemons)
        delay_s = self._shape.caller_delay_s
        self._sim.after(delay_s, self._send, daemon, request, reply)

    def _send(self, daemon, request, reply):
        target = self._target_by_name[daemon.policy.choose(self._sim.now)]
        delay_s = 0.0 if target.zone == daemon.zone else INTER_ZONE_DELAY_S
        started_s = self._sim.now

        def done(end, seconds):
            now = self._sim.now
            daemon.policy.ended(target.name, now - started_s, now)
            kind = None if end is End.ANSWERED else ErrorKind.TARGET_REFUSED
            self._sim.after(delay_s + self._shape.caller_delay_s, reply, kind, 0.1)

        self._sim.after(delay_s, target.start, request, done)


def run_shared(scenario, policy, shape, seed, figures):
    """Run ``scenario`` once and add its outcomes to ``figures``."""
    sim = Simulation(random.Random(seed))
    fleet = SharedFleet(sim, shape, POLICIES[policy])
    callers = Callers(sim, fleet, CallerRules())
    Arrivals(sim, callers, scenario.profile, shape.targets * shape.slots)
    for at_s, event in scenario.events:
        sim.after(at_s, event, fleet)
    sim.run(scenario.profile.seconds + DRAIN_S)
    figures.add(callers.requests, fleet.targets)
