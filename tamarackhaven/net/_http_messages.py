"""Whole requests and responses of the HTTP server."""

import attrs

from tamarackhaven.net._http_head import find_header


@attrs.frozen
class HttpRequest:
    """A complete request.

    Parameters
    ----------
    method, target : str
        As in the request line.
    headers : tuple of (bytes, bytes)
        Names with the case that the caller sent, without hop-by-hop headers.
    body : bytes
        Complete body, with any chunked encoding removed.
    arrived_s : float
        Time at which the head was read, in seconds of the boot clock.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    arrived_s: float

    def header(self, name):
        """Return the value of the header ``name`` (lower case) or None."""
        return find_header(self.headers, name)

    @property
    def path(self):
        """The request target without its query string."""
        return self.target.partition("?")[0]


@attrs.frozen
class HttpResponse:
    """A complete response; ``Content-Length`` is added when it is sent."""

    status: int
    headers: tuple = ()
    body: bytes = b""
