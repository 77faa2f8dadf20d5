"""The WSGI application for callers."""

from tamarackhaven._http_server import gone_check, raw_request, respond


def caller_app(path):
    """Return the application that passes each request into ``path``."""

    def app(environ, start_response):
        answer = path.from_caller(raw_request(environ), gone_check(environ))
        return respond(answer, start_response)

    return app
