"""What the processes of a fleet share: logs, signals, the metrics page, the end."""

import asyncio
import signal
import sys

from tamarackhaven._clock import boot_s
from tamarackhaven._json_lines import JsonLines
from tamarackhaven._logs import Log
from tamarackhaven._metrics import CONTENT_TYPE, METRICS_PATH
from tamarackhaven._settings_file import load_settings
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.net import HttpResponse, HttpServer

# Lines with the same sentence in a minute. Under overload each refusal would write
# one; at a hundred a second the counters tell the rest.
REPEATS_PER_MINUTE = 6000
FLUSH_S = 0.25
# The file may also change without a signal.
REREAD_S = 2.0


def open_log(prefix, name):
    """Return the ``Log`` of a process and the ``JsonLines`` that it writes to."""
    lines = JsonLines(vm=name)
    return Log(prefix, REPEATS_PER_MINUTE, boot_s, lines.write), lines


def run_process(main):
    """Run a coroutine function until it returns its exit code.

    An error of the closed list ends the process with its code and its text.
    """
    try:
        return asyncio.run(main())
    except TamarackhavenError as error:
        print(error, file=sys.stderr)
        return error.answer.exit_code


def on_signals(stop, reload):
    """Call ``stop`` on SIGTERM and SIGINT, ``reload`` on SIGHUP, on the event loop."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


async def keep_flushing(lines):
    """Write what the reader of the log did not take at once."""
    while True:
        await asyncio.sleep(FLUSH_S)
        lines.flush()


def reload_settings(path, owner, log):
    """Let a process take its file's settings, or go on with its own if they are wrong.

    Parameters
    ----------
    path : str
        Settings file, TOML.
    owner : object
        Has ``settings`` and ``reload(settings)``.
    log : Log
        Of the process.
    """
    try:
        settings = load_settings(path, type(owner.settings))
    except TamarackhavenError as error:
        log.say("settings not reloaded", error=str(error))
        return
    if settings != owner.settings:
        owner.reload(settings)


async def keep_rereading(path, owner, log):
    """Look at the settings file again and again, as ``reload_settings``."""
    while True:
        await asyncio.sleep(REREAD_S)
        reload_settings(path, owner, log)


async def serve_metrics(metrics, host, port):
    """Serve the metrics page; return its server."""

    async def handle(request):
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        headers = ((b"Content-Type", CONTENT_TYPE.encode()),)
        return HttpResponse(200, headers, metrics.page().encode())

    server = HttpServer(handle, lambda request, error: None)
    await server.start(host, port)
    return server
