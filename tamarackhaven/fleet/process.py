"""Runs a control VM of a fleet as a process."""

import asyncio
import contextlib

from tamarackhaven._metrics import Metrics
from tamarackhaven._process import (
    flush_periodically,
    on_signals,
    open_log,
    reload_periodically,
    reload_settings,
    run_process,
    serve_metrics,
)
from tamarackhaven._settings_file import load_settings
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet._control import FleetControl
from tamarackhaven.fleet._messages import CONTROL_CODEC
from tamarackhaven.fleet._settings import FleetControlSettings, split
from tamarackhaven.net import ORDER_LIMITS, HttpServer, listen


def run_control(path, make_api):
    """Run a control VM until SIGTERM; return the exit code.

    Parameters
    ----------
    path : str
        Settings file, TOML.
    make_api : callable
        ``make_api(orders, port, log)`` returns an object whose ``handle`` answers
        operators' requests; ``orders`` is an ``Orders``.
    """
    return run_process(lambda: _main(path, make_api))


async def _main(path, make_api):
    settings = load_settings(path, FleetControlSettings)
    log, lines = open_log("control", settings.name)
    metrics = Metrics()
    metrics.add_source(lambda: CONTROL_CODEC.export_metrics(metrics))
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    fatal = []

    def on_fatal(error):
        fatal.append(error)
        loop.call_soon_threadsafe(stopped.set)

    control = FleetControl(settings, log, metrics, on_fatal)
    on_signals(stopped.set, lambda: reload_settings(path, control, log))
    await control.start()
    api = make_api(control.orders, split(settings.operators)[1], log.part("orders"))
    server = HttpServer(
        api.handle,
        lambda request, error: _log_internal_error(log, error),
        ORDER_LIMITS,
        lambda error: _log_rejected_order(log, metrics, error),
    )
    await listen(server, "operators", *split(settings.operators))
    if settings.metrics:
        await serve_metrics(metrics, *split(settings.metrics))
    background = [
        asyncio.create_task(flush_periodically(lines)),
        asyncio.create_task(reload_periodically(path, control, log)),
    ]
    await stopped.wait()
    server.close()
    with contextlib.suppress(TamarackhavenError):
        await control.stop()
    for task in background:
        task.cancel()
    lines.flush()
    if fatal:
        log.say("stopped by a fault", error=str(fatal[0]))
        raise fatal[0]
    return 0


def _log_internal_error(log, error):
    log.say("internal error", error=repr(error))


def _log_rejected_order(log, metrics, error):
    metrics.count("tamarackhaven_orders_rejected_total", kind=error.kind.name)
    log.say("order rejected", kind=error.kind.name, detail=error.detail)
