"""The WSGI application for other daemons: forwarded requests and ledger parts."""

import json

from tamarackhaven import _request as names
from tamarackhaven._answer import answer_error
from tamarackhaven._http_server import gone_check, raw_request, respond
from tamarackhaven._request import HttpAnswer
from tamarackhaven.errors import TamarackhavenError

LEDGER_TARGET = "/ledger"


def peer_app(path, take_ledger):
    """Return the application.

    Parameters
    ----------
    path : RequestPath
        Takes forwarded requests.
    take_ledger : callable
        Takes the bytes of a ledger part that the former owner of a shard sends in a
        planned move, and returns whether it was taken.
    """

    def app(environ, start_response):
        raw = raw_request(environ)
        if _is_ledger(raw):
            return respond(_ledger_answer(raw, take_ledger), start_response)
        answer = path.from_peer(raw, gone_check(environ))
        return respond(answer, start_response)

    return app


def _is_ledger(raw):
    """A service may be named "ledger" too; forwarded requests count their hops."""
    forwarded = names.HOPS_HEADER.lower() in raw.headers
    return raw.target == LEDGER_TARGET and raw.method == "POST" and not forwarded


def _ledger_answer(raw, take_ledger):
    try:
        taken = take_ledger(raw.body)
    except TamarackhavenError as error:
        return answer_error(error)
    body = json.dumps({"taken": bool(taken)}).encode() + b"\n"
    return HttpAnswer(200, (("Content-Type", "application/json"),), body)
