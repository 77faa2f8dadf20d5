"""Runs the model for a scenario, a variant, a service and a seed; sums figures."""

import collections
import random

import attrs
from _model_daemons import GatedDaemon, fixed_daemon, unbounded_daemon
from _model_events import Simulation
from _model_fleet import Fleet
from _model_load import Arrivals, CallerRules, Callers, Profile

# Time after the last arrival for requests to end; longer than their deadline.
DRAIN_S = 4.0


@attrs.frozen
class Variant:
    """A kind of daemon, and the retry rules of its callers."""

    name: str
    make_daemon: object
    rules: CallerRules


VARIANTS = (
    Variant("gate", lambda sim, t: GatedDaemon(sim, t, warm=True), CallerRules()),
    Variant("no gate", unbounded_daemon, CallerRules(refusal_wait_s=0.1)),
    Variant("fixed limit", fixed_daemon, CallerRules(refusal_wait_s=0.1)),
    Variant(
        "at-once retries",
        fixed_daemon,
        CallerRules(refusal_wait_s=0.0, try_timeout_s=0.5, max_tries=6),
    ),
)


@attrs.frozen
class Scenario:
    """A load, and the faults injected during it.

    Parameters
    ----------
    events : tuple
        Pairs of a time in seconds and a function that is called with the fleet.
    """

    name: str
    profile: Profile
    events: tuple = ()


@attrs.define
class Figures:
    """Outcomes of requests and targets, summed over services and seeds."""

    offered: int = 0
    in_time: int = 0
    other_keys: int = 0
    other_keys_in_time: int = 0
    lookup_s: list = attrs.field(factory=list)
    failures_by_kind: collections.Counter = attrs.field(factory=collections.Counter)
    refusals_by_kind: collections.Counter = attrs.field(factory=collections.Counter)
    tries: int = 0
    cold_overloads: int = 0
    crashes: int = 0
    duplicated: int = 0
    lost: int = 0
    wrongly_refused: int = 0
    imbalance: float = 0.0

    def add(self, requests, targets):
        """Add the requests and targets of one run."""
        for request in requests:
            self._add_request(request)
        self.cold_overloads += sum(t.cold_overloads for t in targets)
        self.crashes += sum(t.crashes for t in targets)
        work = [t.work_s for t in targets]
        self.imbalance = max(self.imbalance, max(work) * len(work) / sum(work))

    def _add_request(self, request):
        self.offered += 1
        self.tries += request.tries
        self.in_time += request.in_time
        self.other_keys += not request.is_hot
        self.other_keys_in_time += request.in_time and not request.is_hot
        self.refusals_by_kind.update(k for k in request.replies if k is not None)
        if request.failure is not None:
            self.failures_by_kind[request.failure] += 1
        self.wrongly_refused += request.wrongly_refused
        if request.is_booking:
            self.duplicated += request.executions > 1
            self.lost += request.in_time and not request.executions
        elif request.in_time:
            self.lookup_s.append(request.answered_s)

    def percentile_ms(self, fraction):
        """Return a percentile of the latencies of lookups answered in time, in ms."""
        ordered = sorted(self.lookup_s)
        return 1000 * ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run(scenario, variant, shape, seed, figures):
    """Run ``scenario`` once and add its outcomes to ``figures``."""
    sim = Simulation(random.Random(seed))
    fleet = Fleet(sim, shape, variant.make_daemon)
    callers = Callers(sim, fleet, variant.rules)
    Arrivals(sim, callers, scenario.profile, shape.targets * shape.slots)
    for at_s, event in scenario.events:
        sim.after(at_s, event, fleet)
    sim.run(scenario.profile.seconds + DRAIN_S)
    figures.add(callers.requests, fleet.targets)
