"""Requests of callers at their own daemon, with fakes for the rest of the fleet."""

import asyncio

import attrs
import pytest

from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.errors import ErrorKind
from tamarackhaven.fleet import DaemonSettings
from tamarackhaven.fleet._messages import ConfigurationView, KeysView, TargetsView
from tamarackhaven.fleet._model import KeyRange, Target
from tamarackhaven.fleet._settings import BudgetSettings
from tamarackhaven.net import HttpRequest, HttpResponse
from tamarackhaven.routing import (
    Configuration,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)
from tamarackhaven.sidecar import CallerRequest, TargetNotice
from tamarackhaven.sidecar._callers import Callers
from tamarackhaven.sidecar._messages import Answered, Lost, NotRun
from tamarackhaven.sidecar._permits import Permits
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._view import CONFIRMATION_TTL_S, View

ADDRESS = "10.0.0.1:80"
SETTINGS = DaemonSettings(
    name="vm",
    zone="a",
    callers=ADDRESS,
    readiness=ADDRESS,
    registry=ADDRESS,
    links=ADDRESS,
    target=ADDRESS,
    service="s",
)
LIFE = "i@1@h:1"
CONFIGURATION = Configuration(
    1,
    (ServiceSpec("s"),),
    (Route("r", "h", "/", RequestKind.SAFE, (WeightedService("s", 1.0),), 2.0, 1.0),),
)


class Log:
    def say(self, sentence, **fields):
        pass


class Dialect:
    """Fake that reads a request without headers, with a set deadline."""

    key = None

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms

    def read_request(self, request):
        return CallerRequest(
            "a", self.deadline_ms, self.key, "h", "GET", request.target, (), b""
        )

    def read_notice(self, headers):
        return TargetNotice()

    def refusal(self, error):
        return HttpResponse(503, ((b"Kind", error.kind.name.encode()),))


@attrs.define
class State:
    life: str = LIFE


class Runs:
    """Answers each forward at once."""

    async def run(self, key, forward):
        return Answered(forward.number, 200, (), b"done")


class Peers:
    def is_leaving(self, address):
        return False

    def is_restarting(self, address):
        return False

    async def query_wait(self, address, query):
        return None


def make_callers(view, dialect, runs, peers, settings=SETTINGS):
    suspects = KnownSuspects()
    permits = Permits(suspects, view, Log(), Metrics())
    return Callers(
        settings,
        view,
        State(),
        dialect,
        runs,
        peers,
        suspects,
        permits,
        Log(),
        Metrics(),
    )


def send_request(view, deadline_ms, *events):
    """Return the response to a request, and how long it took in seconds.

    Each event is (delay in seconds, action).
    """

    async def main():
        callers = make_callers(view, Dialect(deadline_ms), Runs(), Peers())
        for delay_s, action in events:
            asyncio.get_running_loop().call_later(delay_s, action)
        began_s = boot_s()
        request = HttpRequest("GET", "/x", (), b"", began_s)
        response = await callers.handle(request)
        return response, boot_s() - began_s

    return asyncio.run(main())


def apply_view(view):
    view.apply_update(TargetsView(1, (Target(LIFE, "i", 1, "s", "a", "h", 1, 4),)))
    view.apply_update(ConfigurationView(1, CONFIGURATION))


def test_a_request_waits_for_the_first_configuration():
    # All daemons were killed and start again. Refused now, a caller that doesn't retry
    # would fail, while the configuration arrives within some tenths of a second.
    view = View()
    response, took_s = send_request(view, 2000.0, (0.2, lambda: apply_view(view)))
    assert response.status == 200
    assert took_s >= 0.2


def test_a_request_waits_for_a_configuration_for_at_most_half_its_time():
    response, took_s = send_request(View(), 400.0)
    assert response.headers == ((b"Kind", ErrorKind.STATE_STALE.name.encode()),)
    assert 0.19 <= took_s < 2.0


@pytest.mark.parametrize(
    ("age_s", "kind"),
    [
        (0.1, ErrorKind.UNKNOWN_SERVICE),
        (CONFIRMATION_TTL_S + 0.5, ErrorKind.STATE_STALE),
    ],
)
def test_a_path_without_a_route_is_unknown_only_if_the_view_is_confirmed(age_s, kind):
    # A daemon whose link to the leader is congested doesn't have a new route yet. It
    # must not refuse callers with an error after which they don't retry.
    view = View()
    view.apply_update(ConfigurationView(1, Configuration(1, (ServiceSpec("s"),), ())))
    view.confirm(boot_s() - age_s)
    response, took_s = send_request(view, 2000.0)
    assert response.headers == ((b"Kind", kind.name.encode()),)
    assert took_s < 1.0


@pytest.mark.parametrize(
    ("age_s", "kind"),
    [
        (0.1, ErrorKind.MISSING_KEY),
        (CONFIRMATION_TTL_S + 0.5, ErrorKind.STATE_STALE),
    ],
)
def test_a_missing_key_is_final_only_if_the_view_is_confirmed(age_s, kind):
    # Guards against a 400 by a version in which the service was still divided by keys.
    view = View()
    sharded = attrs.evolve(CONFIGURATION, services=(ServiceSpec("s", sharded=True),))
    view.apply_update(ConfigurationView(1, sharded))
    view.confirm(boot_s() - age_s)
    response, _ = send_request(view, 2000.0)
    assert response.headers == ((b"Kind", kind.name.encode()),)


class RecordingRuns:
    """Answers each forward, with the life that it is for, and remembers those lives."""

    def __init__(self):
        self.lives = []

    async def run(self, key, forward):
        self.lives.append(forward.life)
        return Answered(forward.number, 200, ((b"from", forward.life.encode()),), b"")


class RecordingPeers(Peers):
    """Runs forwards to other daemons in the same way."""

    def __init__(self, runs):
        self._runs = runs

    def unsent_bytes(self):
        return 0

    async def run(self, address, forward, deadline_s, objective_s):
        return await self._runs.run(None, forward)


class LeavingDialect(Dialect):
    """Fake by which answers of ``LIFE`` say that it leaves."""

    def read_notice(self, headers):
        return TargetNotice(is_leaving=headers[0][1] == LIFE.encode())


def test_older_news_of_the_control_group_does_not_bring_a_leaving_target_back():
    # Guards against: a leader that doesn't know yet that a target leaves reports it as
    # ready, and the daemon that has returned the target's word sends to it again.
    async def main():
        view, runs = View(), RecordingRuns()
        apply_view(view)
        other = Target("j@1@g:1", "j", 1, "s", "b", "g", 1, 4)
        view.apply_update(TargetsView(1, (other,)))
        peers = RecordingPeers(runs)
        callers = make_callers(view, LeavingDialect(2000.0), runs, peers)
        for _ in range(20):
            apply_view(view)
            request = HttpRequest("GET", "/x", (), b"", boot_s())
            assert (await callers.handle(request)).status == 200
        return runs.lives

    lives = asyncio.run(main())
    assert lives.count(LIFE) == 1
    assert len(lives) == 20


class ScriptedRuns:
    """Ends the sends of a request one after the other as told, then as the last."""

    def __init__(self, *results):
        self._results = list(results)

    async def run(self, key, forward):
        result = self._results[0]
        if len(self._results) > 1:
            del self._results[0]
        return attrs.evolve(result, number=forward.number)


def send_scripted(view, key, *results):
    """Return the response to a request whose sends end with ``results``."""

    async def main():
        runs = ScriptedRuns(*results)
        dialect = Dialect(2000.0)
        dialect.key = key
        settings = attrs.evolve(SETTINGS, budget=BudgetSettings(slack=100))
        peers = RecordingPeers(runs)
        callers = make_callers(view, dialect, runs, peers, settings)
        callers._retries._started_s -= settings.budget.window_s
        return await callers.handle(HttpRequest("GET", "/x", (), b"", boot_s()))

    return asyncio.run(main())


LOST = Lost(0, ErrorKind.TARGET_SENT_NOTHING.name)
UNREACHABLE = NotRun(0, ErrorKind.TARGET_UNREACHABLE.name)
FULL = NotRun(0, ErrorKind.QUEUE_FULL.name, 0.1)


def sharded_view():
    view = View()
    apply_view(view)
    spec = ServiceSpec("s", sharded=True)
    route = attrs.evolve(CONFIGURATION.routes[0], max_attempts=3)
    view.apply_update(ConfigurationView(2, Configuration(2, (spec,), (route,))))
    view.apply_update(KeysView(3, "s", (KeyRange(0, 65535, 1, LIFE),)))
    return view


def shared_view():
    view = View()
    apply_view(view)
    route = attrs.evolve(CONFIGURATION.routes[0], max_attempts=3)
    view.apply_update(
        ConfigurationView(2, Configuration(2, CONFIGURATION.services, (route,)))
    )
    others = tuple(
        Target(f"j@{n}@g:{n}", "j", n, "s", "b", "g", n, 4) for n in range(2, 5)
    )
    view.apply_update(TargetsView(1, others))
    return view


@pytest.mark.parametrize(
    ("make_view", "key", "refusal"),
    [
        (shared_view, None, UNREACHABLE),
        (shared_view, None, FULL),
        (sharded_view, 7, FULL),
        (sharded_view, 7, UNREACHABLE),
    ],
)
def test_an_attempt_that_may_have_run_is_not_answered_with_a_later_refusal(
    make_view, key, refusal
):
    # Guards against: a target ends under a request, no other one takes it, and the
    # caller is told that the request did not run.
    response = send_scripted(make_view(), key, LOST, refusal)
    assert response.headers == ((b"Kind", ErrorKind.TARGET_SENT_NOTHING.name.encode()),)


def test_a_targets_error_answer_is_returned_also_if_no_target_is_left():
    # Guards against: a target answers with an error, the next try finds no target, and
    # the caller is told that the request did not run.
    view = View()
    apply_view(view)
    route = attrs.evolve(CONFIGURATION.routes[0], max_attempts=3)
    view.apply_update(
        ConfigurationView(2, Configuration(2, CONFIGURATION.services, (route,)))
    )
    failed = Answered(0, 500, (), b"failed")
    assert send_scripted(view, None, failed).status == 500
    assert send_scripted(shared_view(), None, failed, LOST, UNREACHABLE).status == 500


@pytest.mark.parametrize(("targets", "is_sent"), [(1, False), (2, True)])
def test_a_request_that_ended_two_targets_spares_the_last_one(targets, is_sent):
    # Guards against: the third target that a request ends is the last of its service.
    async def main():
        view, runs = View(), RecordingRuns()
        apply_view(view)
        if targets > 1:
            view.apply_update(
                TargetsView(1, (Target("j@1@g:1", "j", 1, "s", "b", "g", 1, 4),))
            )
        dialect = Dialect(2000.0)
        callers = make_callers(view, dialect, runs, RecordingPeers(runs))
        request = HttpRequest("GET", "/x", (), b"", boot_s())
        digest = dialect.read_request(request).digest
        for number in range(2):
            callers._suspects.record_end(f"k{number}@1@h:1", (digest,), boot_s())
        callers._permits.acquire = _granted
        response = await callers.handle(request)
        assert (response.status == 200) is is_sent
        assert bool(runs.lives) is is_sent
        if not is_sent:
            assert response.headers == (
                (b"Kind", ErrorKind.REQUEST_SUSPECT.name.encode()),
            )

    asyncio.run(main())


async def _granted(pending):
    return True


def test_a_quarantined_request_is_refused_without_a_send():
    async def main():
        view, runs = View(), RecordingRuns()
        apply_view(view)
        dialect = Dialect(2000.0)
        callers = make_callers(view, dialect, runs, RecordingPeers(runs))
        request = HttpRequest("GET", "/x", (), b"", boot_s())
        digest = dialect.read_request(request).digest
        for number in range(3):
            callers._suspects.record_end(f"k{number}@1@h:1", (digest,), boot_s())
        response = await callers.handle(request)
        kind = ErrorKind.REQUEST_QUARANTINED.name.encode()
        assert response.headers == ((b"Kind", kind),)
        assert not runs.lives

    asyncio.run(main())


def test_a_request_that_is_answered_is_not_refused_for_what_other_daemons_told():
    # Guards against: a request that many send was at some targets that crashed while
    # nobody led, and is refused although others answer it.
    async def main():
        view, runs = View(), RecordingRuns()
        apply_view(view)
        dialect = Dialect(2000.0)
        callers = make_callers(view, dialect, runs, RecordingPeers(runs))
        request = HttpRequest("GET", "/x", (), b"", boot_s())
        digest = dialect.read_request(request).digest
        for number in range(3):
            callers._suspects.note_end(f"k{number}@1@h:1", (digest,), boot_s())
            response = await callers.handle(request)
            assert response.status == 200
        for number in range(3, 6):
            callers._suspects.note_end(f"k{number}@1@h:1", (digest,), boot_s())
        response = await callers.handle(request)
        kind = ErrorKind.REQUEST_QUARANTINED.name.encode()
        assert response.headers == ((b"Kind", kind),)

    asyncio.run(main())
