"""Routes requests of shared services, whose targets may all answer any key."""

import random
import threading
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait

import attrs

from tamarackhaven._hedge import HedgedRequest, HedgeSettings
from tamarackhaven._model import ShardGrant
from tamarackhaven._retries import least_certain_error
from tamarackhaven._shared_pool import SharedPool
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_TARGET_RETRY_AFTER_S = 0.5
_HEDGE_SETTINGS = HedgeSettings()


class SharedRoute:
    """Chooses a target, retries failures at others, and hedges slow tries.

    Parameters
    ----------
    settings : DaemonSettings
        Gives this daemon's service, target, zone and number of threads.
    view : View
        Gives the targets that may be chosen.
    owner : Owner
        Serves requests at this daemon's target.
    forwarder : Forwarder
        Forwards requests to the other targets.
    retries : Retries
        The retry budget of shared services.
    metrics : Metrics
        Records latencies by target.
    clock : Clock
        Measures latencies.
    """

    def __init__(self, settings, view, owner, forwarder, retries, metrics, clock):
        self._settings = settings
        self._view = view
        self._owner = owner
        self._forwarder = forwarder
        self._retries = retries
        self._metrics = metrics
        self._clock = clock
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._pool_by_service = {}
        # Each caller thread has one try and at most one hedge. The executor creates its
        # threads on demand.
        self._executor = ThreadPoolExecutor(2 * settings.threads, "try")

    def answer(self, request, located, gone):
        """Return the answer of one of the service's targets.

        Raises
        ------
        TamarackhavenError
            BOOKING_SHARED; NO_OWNER if no target accepts requests; CONNECTIONS_FULL if
            all targets are at their connection limit; else the least certain error of
            the failed tries.
        """
        refuse_booking(request)
        tried, error = [], None
        member = self._choose(located, tried)
        if member is None:
            raise self._no_target_error(request.service)
        while True:
            tried.append(member.target)
            try:
                return self._try_hedged(request, located, member, tried, gone)
            except TamarackhavenError as failure:
                error = least_certain_error(error, failure)
                member = self._choose(located, tried)
                if member is None or not self._retries.allows(
                    failure, request, len(tried)
                ):
                    raise error from failure
                self._retries.started(failure)

    def close(self):
        """Cancel pending tries and start no more."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _choose(self, located, tried):
        service = located.service
        members = self._view.accepting_targets(service.name)
        with self._lock:
            pool = self._pool(service.name)
            now = self._clock.boot_s()
            return pool.choose(members, service.slots, now, self._rng, tried)

    def _pool(self, service):
        if service not in self._pool_by_service:
            self._pool_by_service[service] = SharedPool(self._settings.zone)
        return self._pool_by_service[service]

    def _no_target_error(self, service):
        if self._view.accepting_targets(service):
            return TamarackhavenError(
                ErrorKind.CONNECTIONS_FULL, "All targets are at their connection limit."
            )
        detail = "No target of this shared service accepts requests."
        return TamarackhavenError(ErrorKind.NO_OWNER, detail, NO_TARGET_RETRY_AFTER_S)

    def _try_hedged(self, request, located, first, tried, gone):
        """Return the first answer of a try and, if that is slow, of its hedge."""
        with self._lock:
            pool = self._pool(request.service)
            delay_s = pool.hedge_delay_s(not request.is_booking)
        is_only_target = len(self._view.accepting_targets(request.service)) < 2
        race = _HedgeRace(gone)
        if delay_s is None or is_only_target:
            answer = self._try(request, located, first, race)
        else:
            answer = self._run_race(race, request, located, first, tried, delay_s)
        if len(tried) == 1:
            self._retries.succeeded()
        return answer

    def _run_race(self, race, request, located, first, tried, delay_s):
        def start(member):
            future = self._executor.submit(self._try, request, located, member, race)
            target_by_future[future] = member.target

        target_by_future = {}
        hedged = HedgedRequest(first.target)
        start(first)
        try:
            if not wait(target_by_future, delay_s).done:
                second = self._choose_hedge(request, located, tried)
                if second is not None:
                    tried.append(second.target)
                    hedged.hedge(second.target)
                    start(second)
            return _wait_for_first_answer(hedged, target_by_future)
        finally:
            race.over.set()

    def _choose_hedge(self, request, located, tried):
        member = self._choose(located, tried)
        if member is None or not self._retries.may_hedge(
            request.deadline_s, _HEDGE_SETTINGS
        ):
            return None
        return member

    def _try(self, request, located, member, race):
        start_s = self._clock.boot_s()
        with self._lock:
            self._pool(request.service).started(member.target)
        error = None
        try:
            answer = self._serve(request, locate_at_member(located, member), race.gone)
        except TamarackhavenError as failure:
            error = failure
            raise
        finally:
            now = self._clock.boot_s()
            gone = error is not None and error.kind is ErrorKind.CALLER_GONE
            lost = gone and race.over.is_set()
            with self._lock:
                pool = self._pool(request.service)
                pool.ended(member.target, error, lost, now - start_s, now)
        self._metrics.observe(
            now - request.received_s, service=request.service, target=member.target
        )
        return answer

    def _serve(self, request, located, gone):
        settings = self._settings
        owner = located.owner
        if (owner.service, owner.target) == (settings.service, settings.target):
            return self._owner.serve(request, located, gone)
        return self._forwarder.forward(request, located, gone)


class _HedgeRace:
    """Signals the end of a request to its other tries."""

    def __init__(self, gone):
        self._caller_gone = gone
        self.over = threading.Event()

    def gone(self):
        """Return whether the race is over or the caller has disconnected."""
        return self.over.is_set() or self._caller_gone()


def _wait_for_first_answer(hedged, target_by_future):
    """Return the first answer, or raise the least certain error if all tries fail."""
    running, error = set(target_by_future), None
    while True:
        done, running = wait(running, return_when=FIRST_COMPLETED)
        for future in done:
            failure = future.exception()
            settled = hedged.ended(target_by_future[future], failure is None)
            if settled is not None and failure is None:
                return future.result()
            if not isinstance(failure, TamarackhavenError):
                raise failure
            error = least_certain_error(error, failure)
            if settled is not None:
                raise error


def locate_at_member(located, member):
    """Return a ``Located`` that names one target of a shared service.

    Keys of a shared service are granted to no target. The grant is built with the
    target's epoch, so that its daemon serves the request only while it holds the lease
    of that epoch.
    """
    grant = ShardGrant(
        service=member.service,
        shard=located.grant.shard,
        owner=member.target,
        epoch=member.epoch,
    )
    return attrs.evolve(located, grant=grant, owner=member)


def refuse_booking(request):
    """Refuse a booking at a shared service, where it could run twice.

    If the answer to a booking were lost and its caller sent it again, the second try
    could go to another target, which has no record of the first, and run again. The
    check is sufficient because no booking is ever sent to a target.
    """
    if request.is_booking:
        raise TamarackhavenError(
            ErrorKind.BOOKING_SHARED, "Only GET, HEAD and OPTIONS are served."
        )
