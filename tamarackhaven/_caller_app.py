"""Provides the WSGI application for the requests of callers."""

from tamarackhaven._http_server import caller_gone_check, raw_request, respond


def caller_app(path):
    """Return a WSGI application that answers each request by a ``RequestPath``."""

    def app(environ, start_response):
        answer = path.from_caller(raw_request(environ), caller_gone_check(environ))
        return respond(answer, start_response)

    return app
