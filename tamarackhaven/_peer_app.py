"""Provides the WSGI application for other daemons' requests and ledger parts."""

import json

from tamarackhaven import _request as names
from tamarackhaven._answer import answer_error
from tamarackhaven._http_server import caller_gone_check, raw_request, respond
from tamarackhaven._request import HttpAnswer
from tamarackhaven.errors import TamarackhavenError

LEDGER_TARGET = "/ledger"


def peer_app(path, accept_ledger_part):
    """Return the WSGI application.

    Parameters
    ----------
    path : RequestPath
        Answers forwarded requests.
    accept_ledger_part : callable
        Called with the bytes of a ledger part that the previous owner of a shard sends
        in a planned move; returns whether the part was accepted.
    """

    def app(environ, start_response):
        raw = raw_request(environ)
        if _is_ledger(raw):
            return respond(_ledger_answer(raw, accept_ledger_part), start_response)
        answer = path.from_peer(raw, caller_gone_check(environ))
        return respond(answer, start_response)

    return app


def _is_ledger(raw):
    """Return whether this is a ledger part, not a request to a service "ledger".

    Forwarded requests have the header that counts their hops; ledger parts don't.
    """
    forwarded = names.HOPS_HEADER.lower() in raw.headers
    return raw.target == LEDGER_TARGET and raw.method == "POST" and not forwarded


def _ledger_answer(raw, accept_ledger_part):
    try:
        taken = accept_ledger_part(raw.body)
    except TamarackhavenError as error:
        return answer_error(error)
    body = json.dumps({"taken": bool(taken)}).encode() + b"\n"
    return HttpAnswer(200, (("Content-Type", "application/json"),), body)
