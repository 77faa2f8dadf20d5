"""Serves the page of metrics, and recorded refusals, over ``waitress``.

Apart from ``_metrics``: daemons of a fleet serve the page themselves, and need neither
this server nor its memory.
"""

from urllib.parse import unquote

from tamarackhaven import _codec
from tamarackhaven._answer import answer_error
from tamarackhaven._http_server import HttpServer, raw_request, respond
from tamarackhaven._metrics import CONTENT_TYPE, METRICS_PATH, REFUSALS_PATH
from tamarackhaven._refusals import Refusal
from tamarackhaven._request import HttpAnswer
from tamarackhaven.errors import ErrorKind, TamarackhavenError


def metrics_app(metrics, refusals=None):
    """Return the WSGI application that serves ``/metrics`` and ``/refusals/ID``.

    Parameters
    ----------
    metrics : Metrics
        Of the process.
    refusals : RefusalRecord or None
        Of a daemon.
    """

    def app(environ, start_response):
        path = raw_request(environ).target.partition("?")[0]
        if path == METRICS_PATH:
            page = metrics.page().encode()
            answer = HttpAnswer(200, (("Content-Type", CONTENT_TYPE),), page)
        elif path.startswith(REFUSALS_PATH) and refusals is not None:
            found = refusals.find(unquote(path.removeprefix(REFUSALS_PATH)))
            body = _codec.dumps(found, list[Refusal])
            answer = HttpAnswer(200, (("Content-Type", "application/json"),), body)
        else:
            detail = f"Try {METRICS_PATH} or {REFUSALS_PATH}REQUEST-ID."
            answer = answer_error(TamarackhavenError(ErrorKind.NOT_FOUND, detail))
        return respond(answer, start_response)

    return app


def metrics_server(metrics, listen, refusals=None):
    """Return the server of the page, not yet started."""
    app = metrics_app(metrics, refusals)
    return HttpServer(app, listen, threads=1, name="metrics")
