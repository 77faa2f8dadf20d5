"""Runs a daemon as a process."""

import asyncio
import functools

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
from tamarackhaven.fleet import DaemonSettings, split
from tamarackhaven.fleet._messages import CONTROL_CODEC
from tamarackhaven.sidecar._daemon import Daemon
from tamarackhaven.sidecar._messages import PEER_CODEC


def run_daemon(path, dialect, registry):
    """Run a daemon until SIGTERM; return the exit code.

    Parameters
    ----------
    path : str
        Settings file, TOML.
    dialect : Dialect
        Reads and writes the headers of callers and targets.
    registry : callable
        ``registry(daemon)`` returns the HTTP handler of the target's heartbeats.
    """
    return run_process(lambda: _main(path, dialect, registry))


async def _main(path, dialect, registry):
    settings = load_settings(path, DaemonSettings)
    log, log_lines = open_log("daemon", settings.name)
    metrics = Metrics()
    for codec in (CONTROL_CODEC, PEER_CODEC):
        metrics.add_source(functools.partial(codec.export_metrics, metrics))
    daemon = Daemon(settings, dialect, registry, log, metrics)
    stopped = asyncio.Event()
    on_signals(stopped.set, lambda: reload_settings(path, daemon, log))
    await daemon.start()
    if settings.metrics:
        await serve_metrics(metrics, *split(settings.metrics))
    background = [
        asyncio.create_task(flush_periodically(log_lines)),
        asyncio.create_task(reload_periodically(path, daemon, log)),
    ]
    await stopped.wait()
    await daemon.stop()
    for task in background:
        task.cancel()
    log_lines.flush()
    return 0
