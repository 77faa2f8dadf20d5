"""What the parsers of both sides of HTTP share, and the heads that they reject."""

from tamarackhaven.errors import ErrorKind, TamarackhavenError

HEAD_END = b"\r\n\r\n"
# A block of bytes can hold thousands of tiny chunks. Other connections get their turn
# after so many parts.
MAX_EVENTS_PER_TURN = 64
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")


def find_header(headers, name):
    """Return the first value of the header ``name`` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def head_length(buffer, limit):
    """Return the bytes of the head at the start of ``buffer``, None if incomplete.

    Raises
    ------
    TamarackhavenError
        HEADERS_TOO_LARGE if the head has more than ``limit`` bytes, or
        MALFORMED_REQUEST for a head that a lenient parser would accept: bare line
        feeds, folded headers, other versions of the protocol.
    """
    end = buffer.find(HEAD_END)
    head = buffer if end < 0 else buffer[:end]
    # Request smuggling: some parsers end a line at a bare line feed and some don't, so
    # a request could be hidden inside another one. Neither of the two is forwarded.
    if head.count(b"\n") != head.count(b"\r\n"):
        raise _malformed("bare line feed in the head")
    if end < 0:
        if len(buffer) > limit:
            raise TamarackhavenError(
                ErrorKind.HEADERS_TOO_LARGE, f"head exceeds {limit} bytes"
            )
        return None
    if end > limit:
        raise TamarackhavenError(
            ErrorKind.HEADERS_TOO_LARGE, f"head exceeds {limit} bytes"
        )
    if b"\r\n " in head or b"\r\n\t" in head:
        raise _malformed("folded header")
    if head.split(b"\r\n", 1)[0].rsplit(b" ", 1)[-1] not in _VERSIONS:
        raise _malformed("protocol version is neither HTTP/1.0 nor HTTP/1.1")
    return end + len(HEAD_END)


def check_framing(headers):
    """Reject a request with an ambiguous body length or several ``Host`` headers.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    TamarackhavenError
        MALFORMED_REQUEST.
    """
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _malformed("both Content-Length and Transfer-Encoding are present")
    if names.count(b"host") > 1:
        raise _malformed("more than one Host header")


def _malformed(detail):
    return TamarackhavenError(ErrorKind.MALFORMED_REQUEST, detail)
