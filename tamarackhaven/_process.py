"""Shared by fleet processes: logs, signals, settings reload, metrics, exit codes."""

import asyncio
import signal
import sys

from tamarackhaven._clock import boot_s
from tamarackhaven._json_lines import JsonLines
from tamarackhaven._logs import Log
from tamarackhaven._metrics import CONTENT_TYPE, METRICS_PATH
from tamarackhaven._settings_file import load_settings
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.net import PROBE_LIMITS, HttpResponse, HttpServer

# Lines with the same sentence per minute. Under overload each refusal would write one;
# beyond a hundred per second, counters provide the numbers.
MAX_REPEATS_PER_MINUTE = 6000
LOG_FLUSH_INTERVAL_S = 0.25
# The settings file may also change without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 2.0


def open_log(prefix, name):
    """Return the ``Log`` of the process ``name`` and the ``JsonLines`` it writes to."""
    lines = JsonLines(vm=name)
    return Log(prefix, MAX_REPEATS_PER_MINUTE, boot_s, lines.write), lines


def run_process(main):
    """Run a coroutine function until it returns its exit code.

    A ``TamarackhavenError`` is printed to standard error, and its exit code returned.
    """
    try:
        return asyncio.run(main())
    except TamarackhavenError as error:
        print(error, file=sys.stderr)
        return error.answer.exit_code


def on_signals(stop, reload):
    """Call ``stop`` on SIGTERM and SIGINT, ``reload`` on SIGHUP, in the event loop."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


async def flush_periodically(lines):
    """Flush buffered log lines periodically."""
    while True:
        await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
        lines.flush()


def reload_settings(path, owner, log):
    """Apply the settings file if it changed; keep the old settings if it is invalid.

    Parameters
    ----------
    path : str
        TOML settings file.
    owner : object
        Process with an attribute ``settings`` and a method ``reload(settings)``.
    log : Log
        Log of the process; gets a line if the file is invalid.
    """
    try:
        settings = load_settings(path, type(owner.settings))
    except TamarackhavenError as error:
        log.say("settings not reloaded", error=str(error))
        return
    if settings != owner.settings:
        owner.reload(settings)


async def reload_periodically(path, owner, log):
    """Call ``reload_settings`` periodically."""
    while True:
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
        reload_settings(path, owner, log)


async def serve_metrics(metrics, host, port):
    """Start an HTTP server for the metrics page and return it."""

    async def handle(request):
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        headers = ((b"Content-Type", CONTENT_TYPE.encode()),)
        return HttpResponse(200, headers, metrics.page().encode())

    server = HttpServer(handle, lambda request, error: None, PROBE_LIMITS)
    await server.start(host, port)
    return server
