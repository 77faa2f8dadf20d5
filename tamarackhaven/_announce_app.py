"""The WSGI application that the target beside the daemon calls.

It serves ``POST /announce``, ``POST /report`` and ``POST /leaving``, each with a JSON
object; the answers contain the daemon's state.
"""

import json

from tamarackhaven import _target_link
from tamarackhaven._answer import answer_error
from tamarackhaven._http_server import raw_request, respond
from tamarackhaven._request import HttpAnswer
from tamarackhaven.errors import ErrorKind, TamarackhavenError


def announce_app(handler):
    """Return the application.

    Parameters
    ----------
    handler : object
        Has ``announced(Announcement)``, ``reported(TargetReport)``, ``left()`` and
        ``state()``, which returns a JSON object.
    """
    action_by_path = {
        "/announce": lambda fields: handler.announced(
            _target_link.parse_announcement(fields)
        ),
        "/report": lambda fields: handler.reported(_target_link.parse_report(fields)),
        "/leaving": lambda fields: handler.left(),
    }

    def app(environ, start_response):
        raw = raw_request(environ)
        try:
            answer = _answer(raw, action_by_path, handler)
        except TamarackhavenError as error:
            answer = answer_error(error)
        return respond(answer, start_response)

    return app


def _answer(raw, action_by_path, handler):
    action = action_by_path.get(raw.target)
    if action is None or raw.method != "POST":
        allowed = ", ".join(f"POST {path}" for path in action_by_path)
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"Try {allowed}.")
    try:
        action(json.loads(raw.body or b"{}"))
    except RecursionError as error:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, f"{raw.target}: nested too deeply."
        ) from error
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, f"{raw.target}: {error!r}."
        ) from error
    body = json.dumps(handler.state(), sort_keys=True).encode() + b"\n"
    return HttpAnswer(200, (("Content-Type", "application/json"),), body)
