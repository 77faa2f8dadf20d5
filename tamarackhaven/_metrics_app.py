"""Serves metrics and recorded refusals over HTTP with ``waitress``.

A separate module from ``_metrics``, because daemons of a fleet serve the metrics page
themselves and shouldn't spend memory on this server.
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
        Metrics of this process.
    refusals : RefusalRecord or None
        Refusals that the daemon recorded; None where there are none, as on a control
        VM.
    """

    def app(environ, start_response):
        path = raw_request(environ).target.partition("?")[0]
        if path == METRICS_PATH:
            page = metrics.page().encode()
            answer = HttpAnswer(200, (("Content-Type", CONTENT_TYPE),), page)
        elif path.startswith(REFUSALS_PATH) and refusals is not None:
            matches = refusals.find(unquote(path.removeprefix(REFUSALS_PATH)))
            body = _codec.dumps(matches, list[Refusal])
            answer = HttpAnswer(200, (("Content-Type", "application/json"),), body)
        else:
            detail = f"Paths served: {METRICS_PATH} and {REFUSALS_PATH}REQUEST-ID."
            answer = answer_error(TamarackhavenError(ErrorKind.NOT_FOUND, detail))
        return respond(answer, start_response)

    return app


def metrics_server(metrics, listen, refusals=None):
    """Return an HTTP server for ``metrics_app`` on ``listen``, not yet started."""
    app = metrics_app(metrics, refusals)
    return HttpServer(app, listen, threads=1, name="metrics")
