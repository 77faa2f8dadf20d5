"""The way of a request whose service is shared: any of its targets may answer."""

import random
import threading
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait

import attrs

from tamarackhaven._hedge import HedgedRequest, HedgeSettings
from tamarackhaven._model import ShardGrant
from tamarackhaven._retries import doubtful
from tamarackhaven._shared_pool import SharedPool
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_TARGET_RETRY_S = 0.5
_HEDGE = HedgeSettings()


class SharedRoute:
    """Chooses, tries, tries elsewhere, and races a slow try with a second one.

    Parameters
    ----------
    settings : DaemonSettings
        Names this daemon's own target.
    view : View
        Gives the targets that may be chosen.
    owner : Owner
        Serves at this daemon's target.
    forwarder : Forwarder
        Hands on to the others.
    retries : Retries
        The budget.
    metrics : Metrics
        Gets the latency of the target that answered.
    clock : Clock
        Both clocks.
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
        # Each caller's thread has one try and at most one beside it. Threads are made
        # as they are needed.
        self._executor = ThreadPoolExecutor(2 * settings.threads, "try")

    def answer(self, request, located, gone):
        """Return the answer of one of the service's targets.

        Raises
        ------
        TamarackhavenError
            BOOKING_SHARED, NO_OWNER if no target takes work, CONNECTIONS_FULL if all
            have as many requests as may be, else how the last try failed.
        """
        refuse_booking(request)
        tried, error = [], None
        member = self._choose(located, tried)
        if member is None:
            raise self._none(request.service)
        while True:
            tried.append(member.target)
            try:
                return self._raced(request, located, member, tried, gone)
            except TamarackhavenError as failure:
                error = doubtful(error, failure)
                member = self._choose(located, tried)
                if member is None or not self._retries.allows(
                    failure, request, len(tried)
                ):
                    raise error from failure
                self._retries.started(failure)

    def close(self):
        """Start no more tries."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _choose(self, located, tried):
        service = located.service
        members = self._view.takers(service.name)
        with self._lock:
            pool = self._pool(service.name)
            now = self._clock.boot_s()
            return pool.choose(members, service.slots, now, self._rng, tried)

    def _pool(self, service):
        if service not in self._pool_by_service:
            self._pool_by_service[service] = SharedPool(self._settings.zone)
        return self._pool_by_service[service]

    def _none(self, service):
        if self._view.takers(service):
            return TamarackhavenError(ErrorKind.CONNECTIONS_FULL, "Of all targets.")
        detail = "No target of this shared service takes work."
        return TamarackhavenError(ErrorKind.NO_OWNER, detail, NO_TARGET_RETRY_S)

    def _raced(self, request, located, first, tried, gone):
        """Return the first answer of a try and, if it is slow, of one beside it."""
        with self._lock:
            pool = self._pool(request.service)
            delay_s = pool.hedge_delay_s(not request.is_booking)
        alone = len(self._view.takers(request.service)) < 2
        race = _Race(gone)
        if delay_s is None or alone:
            answer = self._try(request, located, first, race)
        else:
            answer = self._run(race, request, located, first, tried, delay_s)
        if len(tried) == 1:
            self._retries.succeeded()
        return answer

    def _run(self, race, request, located, first, tried, delay_s):
        def start(member):
            future = self._executor.submit(self._try, request, located, member, race)
            target_by_future[future] = member.target

        target_by_future = {}
        hedged = HedgedRequest(first.target)
        start(first)
        try:
            if not wait(target_by_future, delay_s).done:
                second = self._second(request, located, tried)
                if second is not None:
                    tried.append(second.target)
                    hedged.hedge(second.target)
                    start(second)
            return _first_answer(hedged, target_by_future)
        finally:
            race.over.set()

    def _second(self, request, located, tried):
        member = self._choose(located, tried)
        if member is None or not self._retries.may_hedge(request.deadline_s, _HEDGE):
            return None
        return member

    def _try(self, request, located, member, race):
        start_s = self._clock.boot_s()
        with self._lock:
            self._pool(request.service).started(member.target)
        error = None
        try:
            answer = self._serve(request, at_member(located, member), race.gone)
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


class _Race:
    """Tells the tries of one request that it is over."""

    def __init__(self, gone):
        self._caller_gone = gone
        self.over = threading.Event()

    def gone(self):
        """Return whether nobody waits for the try any more."""
        return self.over.is_set() or self._caller_gone()


def _first_answer(hedged, target_by_future):
    """Return the first answer, or raise the error that leaves most doubt."""
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
            error = doubtful(error, failure)
            if settled is not None:
                raise error


def at_member(located, member):
    """Return a ``Located`` that names one target of a shared service.

    Nobody is granted a key of such a service. The target's epoch stands in the place
    of a grant's, so that the daemon beside it serves only while it holds its lease.
    """
    grant = ShardGrant(
        service=member.service,
        shard=located.grant.shard,
        owner=member.target,
        epoch=member.epoch,
    )
    return attrs.evolve(located, grant=grant, owner=member)


def refuse_booking(request):
    """Refuse what may not run twice: at a shared service nobody remembers it.

    Failure: the answer to a booking is lost and its caller sends it again. Symptom:
    the second try goes to another target, which knows nothing of the first, and it
    runs twice. Enough, because no booking is ever sent to a target.
    """
    if request.is_booking:
        raise TamarackhavenError(
            ErrorKind.BOOKING_SHARED, "GET, HEAD and OPTIONS are served."
        )
