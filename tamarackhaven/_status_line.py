"""Which lines can begin an HTTP/1 response. Pure."""

import re

# One digit before and after the point of the version, three digits of status, and one
# space before each part; the reason may be missing.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}( [^\0\r\n]*)?\r?\n")
# A server that sends more of these before its response never gets to it.
MAX_INTERIM_RESPONSES = 16
VERSIONS = (b"1.0", b"1.1")


def is_status_line(line):
    """Whether a line, with its end, can begin a response."""
    return _STATUS_LINE.fullmatch(line) is not None


def is_final(status):
    """Whether a status can be that of an answer; no request asks for an upgrade."""
    return 200 <= status <= 599
