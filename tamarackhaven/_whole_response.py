"""HTTP responses of which no line may be missing.

``http.client`` ends the headers, and the trailer of chunks, at the end of the
connection as at an empty line. An answer that was cut off there would be passed on as a
whole one, with a part of its headers.
"""

import http.client
import io


class CutResponseError(http.client.HTTPException):
    """The connection ended inside a line, or before the empty line."""


class _LineReader(io.BufferedReader):
    """Reads whole lines; only the first one may be missing."""

    _has_read = False

    def readline(self, size=-1):
        line = super().readline(size)
        is_missing = not line and self._has_read
        is_cut = line and not line.endswith(b"\n") and len(line) != size
        if is_missing or is_cut:
            raise CutResponseError("the connection ended inside the answer")
        self._has_read = True
        return line


class WholeResponse(http.client.HTTPResponse):
    """A response whose headers, chunks and trailer must be complete.

    Raises
    ------
    CutResponseError
        When one of them isn't.
    """

    def __init__(self, sock, *args, **settings):
        super().__init__(sock, *args, **settings)
        self.fp = _LineReader(self.fp.detach())


def connect(host, port, timeout_s):
    """Return an ``HTTPConnection`` with ``WholeResponse`` answers."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    connection.response_class = WholeResponse
    return connection
