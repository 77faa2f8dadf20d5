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


def announce_app(heard):
    """Return the application.

    Parameters
    ----------
    heard : object
        Has ``announced(Announcement)``, ``reported(TargetReport)``, ``left()`` and
        ``state()``, which returns a JSON object.
    """
    action_by_path = {
        "/announce": lambda plain: heard.announced(
            _target_link.announcement_from(plain)
        ),
        "/report": lambda plain: heard.reported(_target_link.report_from(plain)),
        "/leaving": lambda plain: heard.left(),
    }

    def app(environ, start_response):
        raw = raw_request(environ)
        try:
            answer = _answer(raw, action_by_path, heard)
        except TamarackhavenError as error:
            answer = answer_error(error)
        return respond(answer, start_response)

    return app


def _answer(raw, action_by_path, heard):
    action = action_by_path.get(raw.target)
    if action is None or raw.method != "POST":
        wanted = ", ".join(f"POST {path}" for path in action_by_path)
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"Try {wanted}.")
    try:
        action(json.loads(raw.body or b"{}"))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, f"{raw.target}: {error!r}."
        ) from error
    body = json.dumps(heard.state(), sort_keys=True).encode() + b"\n"
    return HttpAnswer(200, (("Content-Type", "application/json"),), body)
