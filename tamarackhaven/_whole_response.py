"""HTTP responses of which no line may be missing.

``http.client`` ends the headers, and the trailer of chunks, at the end of the
connection as at an empty line. An answer that was cut off there would be passed on as a
whole one, with a part of its headers. It also takes a line like ``HTTP/1.1 0200`` for
the start of an answer, and each interim response but 100 for a whole one.
"""

import http.client
import io

from tamarackhaven._status_line import (
    MAX_INTERIM_RESPONSES,
    is_final,
    is_status_line,
)

MAX_STATUS_LINE_BYTES = 4096


class CutResponseError(http.client.HTTPException):
    """The connection ended inside a line, or before the empty line."""


class _LineReader(io.BufferedReader):
    """Reads whole lines; only the first one may be missing."""

    _has_read = False
    # The first line, and the one after an interim response, is a status line.
    _expects_status = True
    _is_interim = False
    _interim_count = 0

    def readline(self, size=-1):
        line = super().readline(size)
        is_missing = not line and self._has_read
        is_cut = line and not line.endswith(b"\n") and len(line) != size
        if is_missing or is_cut:
            raise CutResponseError("the connection ended inside the answer")
        self._has_read = True
        if line and self._expects_status:
            self._check_status_line(line)
        elif self._is_interim and line in (b"\r\n", b"\n"):
            self._expects_status = True
        return line

    def _check_status_line(self, line):
        if len(line) > MAX_STATUS_LINE_BYTES or not is_status_line(line):
            raise http.client.BadStatusLine(repr(line[:MAX_STATUS_LINE_BYTES]))
        self._expects_status = False
        self._is_interim = line[9:10] == b"1"
        self._interim_count += self._is_interim
        if self._interim_count > MAX_INTERIM_RESPONSES:
            raise http.client.BadStatusLine("too many interim responses")


class WholeResponse(http.client.HTTPResponse):
    """A response whose headers, chunks and trailer must be complete.

    Raises
    ------
    CutResponseError
        When one of them isn't.
    http.client.BadStatusLine
        When its first line is none.
    """

    def __init__(self, sock, *args, **settings):
        super().__init__(sock, *args, **settings)
        self.fp = _LineReader(self.fp.detach())

    def begin(self):
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            If it is no head of an answer.
        """
        super().begin()
        if not is_final(self.status):
            raise http.client.BadStatusLine(f"status {self.status} is no answer")


def connect(host, port, timeout_s):
    """Return an ``HTTPConnection`` with ``WholeResponse`` answers."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    connection.response_class = WholeResponse
    return connection
