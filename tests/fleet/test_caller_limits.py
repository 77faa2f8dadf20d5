"""Real processes: limits for callers bind no other kind of peer."""

import copy
import itertools

import pytest

from standin.call import call
from standin.fleet import CONFIGURATION, Fleet
from standin.fleet_target import PORTS
from tests.fleet import real_fleet

NETWORK_NUMBERS = itertools.count(31)
# Longer than a server with a timeout of 0 waits for a head.
SLOW_HEAD_S = 0.9
KEYS = range(0, 65536, 9001)
METRICS_PORT = 19464
MAX_HEARTBEAT_BYTES = 8 << 20


class MeteredFleet(Fleet):
    """A fleet whose processes serve their metrics."""

    def _daemon(self, target, seeds):
        return self._with_metrics(super()._daemon(target, seeds))

    def _control(self, host, seeds, is_first=True):
        return self._with_metrics(super()._control(host, seeds, is_first))

    def _with_metrics(self, process):
        line = f'metrics = "{process.name}:{METRICS_PORT}"\n'
        process.write(line + process.settings)
        return process

    async def metric(self, host, series):
        page = await call(host, METRICS_PORT, "GET", "/metrics", [("Host", "x")])
        for line in page.body.decode().splitlines():
            if line.startswith(series):
                return float(line.rsplit(" ", 1)[1])
        return None


def sentences(process):
    return [line["sentence"] for line in process.lines]


@pytest.mark.parametrize(
    "limits",
    [
        {"max_body_bytes": 0},
        {"max_header_bytes": 300, "header_timeout_s": 0.0, "idle_timeout_s": 0.0},
    ],
)
def test_no_limit_for_callers_shuts_out_heartbeats(tmp_path, limits):
    # Guards against a configuration after which no restarted daemon knows its target.
    async def test(fleet):
        for target in fleet.targets:
            target.head_padding = 1000
            target.head_pause_s = SLOW_HEAD_S
        document = copy.deepcopy(CONFIGURATION)
        document["version"] = "r2"
        document["limits"] = limits
        answer = await fleet.order("/api/config/replace", document, "r1")
        assert answer.status == 200
        for process in (*fleet.controls, *fleet.daemons):
            process.kill()
        for process in (*fleet.controls, *fleet.daemons):
            process.start()

        async def serves():
            answers = [await fleet.ask("/owned/", key, 0, body=b"") for key in KEYS]
            answers.append(await fleet.ask("/shared/", None, 1, body=b""))
            return all(answer.status == 200 for answer in answers)

        await fleet.until(serves, 15.0)
        too_large = await fleet.ask("/owned/", 1, 0, body=b"b" * 1000)
        assert too_large.status == (413 if "max_body_bytes" in limits else 200)
        assert "daemon: heartbeat refused" not in sentences(fleet.daemons[0])

    real_fleet.run(
        test, (tmp_path, ("owned", "owned", "shared"), next(NETWORK_NUMBERS))
    )


def test_what_targets_and_operators_send_in_excess_is_logged_and_counted(tmp_path):
    # Guards against a fleet that isn't found, with nothing that says why.
    async def test(fleet):
        daemon, control = fleet.daemons[0], fleet.controls[0]
        await call(
            daemon.name,
            PORTS["operators"],
            "POST",
            "/api/instances/i/heartbeat",
            [("Host", "x"), ("Expect", "nothing")],
            b" " * (MAX_HEARTBEAT_BYTES + 1),
        )
        kind = '{kind="BODY_TOO_LARGE"}'
        series = f"tamarackhaven_heartbeats_rejected_total{kind}"
        assert await fleet.metric(daemon.name, series) == 1
        assert "daemon: heartbeat refused" in sentences(daemon)
        age_s = await fleet.metric(
            daemon.name, "tamarackhaven_target_heartbeat_age_seconds"
        )
        assert 0 <= age_s < 5
        head = [("Host", "x"), ("Padding", "p" * 20_000)]
        await call(control.name, PORTS["operators"], "GET", "/api/config/read", head)
        kind = '{kind="HEADERS_TOO_LARGE"}'
        series = f"tamarackhaven_orders_rejected_total{kind}"
        assert await fleet.metric(control.name, series) == 1
        assert "control: order rejected" in sentences(control)

    settings = tmp_path, ("owned", "shared"), next(NETWORK_NUMBERS)
    real_fleet.run(test, settings, MeteredFleet)
