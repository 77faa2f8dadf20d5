"""Filter that reads service, key and deadline from a raw HTTP request. No I/O.

The service is the first segment of the path. The key is the header
``Tamarackhaven-Key`` if present, else the second segment of the path. Callers whose
paths contain the key therefore need no header; all others add it.
"""

import re
from urllib.parse import unquote_to_bytes

from tamarackhaven import _request as names
from tamarackhaven._keys import hash_key
from tamarackhaven._request import Request
from tamarackhaven.errors import ErrorKind, TamarackhavenError

MAX_KEY_CHARS = 256
MAX_DEADLINE_MS = 600_000
_TOKEN = re.compile(r"[A-Za-z0-9._:@/+=-]{1,128}")
_INTEGER = re.compile(r"-?[0-9]{1,15}")
_DECIMAL_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")
_HOP_COUNT = re.compile(r"[0-9]")

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
        "content-length",
    }
)
_OWN_PREFIX = "tamarackhaven-"


def read_request_id(raw):
    """Return the caller's request id, or an empty string if it sent none.

    Raises
    ------
    TamarackhavenError
        BAD_HEADER.
    """
    return _parse_token(raw, names.REQUEST_ID_HEADER)


def identify(raw, request_id, decision_id=""):
    """Parse ``raw`` and return the identified request.

    Parameters
    ----------
    raw : RawRequest
        The request as it arrived.
    request_id : str
        The caller's id, or one that this daemon generated.
    decision_id : str
        This daemon's own id for this request.

    Raises
    ------
    TamarackhavenError
        MALFORMED_REQUEST, UNKNOWN_SERVICE, MISSING_KEY, BAD_HEADER, BAD_DEADLINE,
        DEADLINE_PAST or MISSING_IDEMPOTENCY_KEY.
    """
    service, path_key = _split_path(raw.target)
    key = _parse_key(raw, path_key)
    request = Request(
        request_id=request_id,
        service=service,
        key=key,
        key_hash=hash_key(service, key),
        method=raw.method,
        target=raw.target,
        headers=_headers_for_target(raw.headers),
        body=raw.body,
        caller=_parse_token(raw, names.CALLER_HEADER) or raw.peer_host,
        received_s=raw.received_s,
        deadline_s=_parse_deadline_s(raw),
        idempotency_key=_parse_token(raw, names.IDEMPOTENCY_HEADER),
        first_sent_s=_parse_first_sent_s(raw),
        hops=_parse_hops(raw),
        decision_id=decision_id,
    )
    _check_booking(request)
    return request


def _split_path(target):
    if not target.startswith("/"):
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, "The request target must start with '/'."
        )
    path = target.partition("?")[0]
    segments = path.split("/")[1:]
    service = _decode_segment(segments[0])
    if not service:
        raise TamarackhavenError(
            ErrorKind.UNKNOWN_SERVICE, "The path names no service."
        )
    return service, _decode_segment(segments[1]) if len(segments) > 1 else ""


def _decode_segment(text):
    try:
        return unquote_to_bytes(text).decode()
    except UnicodeDecodeError:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, "The path is not UTF-8."
        ) from None


def _header_value(raw, name):
    return raw.headers.get(name.lower(), "")


def _parse_token(raw, name):
    value = _header_value(raw, name)
    if value and not _TOKEN.fullmatch(value):
        raise TamarackhavenError(ErrorKind.BAD_HEADER, f"{name} has a bad value.")
    return value


def _parse_key(raw, path_key):
    # WSGI decodes header bytes as Latin-1; keys are UTF-8.
    try:
        header_key = _header_value(raw, names.KEY_HEADER).encode("latin-1").decode()
    except UnicodeError:
        raise TamarackhavenError(
            ErrorKind.BAD_HEADER, f"{names.KEY_HEADER} is not UTF-8."
        ) from None
    key = header_key or path_key
    if not key:
        raise TamarackhavenError(ErrorKind.MISSING_KEY)
    if len(key) > MAX_KEY_CHARS:
        raise TamarackhavenError(
            ErrorKind.BAD_HEADER, f"The key is longer than {MAX_KEY_CHARS} characters."
        )
    return key


def _parse_deadline_s(raw):
    value = _header_value(raw, names.DEADLINE_MS_HEADER)
    if not value:
        return None
    if not _INTEGER.fullmatch(value) or int(value) > MAX_DEADLINE_MS:
        raise TamarackhavenError(
            ErrorKind.BAD_DEADLINE,
            f"{names.DEADLINE_MS_HEADER} must be a whole number of milliseconds,"
            f" {MAX_DEADLINE_MS} or less.",
        )
    if int(value) <= 0:
        raise TamarackhavenError(ErrorKind.DEADLINE_PAST)
    return raw.received_s + int(value) / 1000


def _parse_first_sent_s(raw):
    value = _header_value(raw, names.FIRST_SENT_HEADER)
    if not value:
        return None
    if not _DECIMAL_SECONDS.fullmatch(value):
        raise TamarackhavenError(
            ErrorKind.BAD_HEADER,
            f"{names.FIRST_SENT_HEADER} must be seconds since 1970.",
        )
    return float(value)


def _parse_hops(raw):
    value = _header_value(raw, names.HOPS_HEADER)
    if not value:
        return 0
    if not _HOP_COUNT.fullmatch(value):
        raise TamarackhavenError(
            ErrorKind.BAD_HEADER, f"{names.HOPS_HEADER} must be one digit."
        )
    return int(value)


def _check_booking(request):
    """Refuse a booking without idempotency key or time of its first try.

    Without both, a retry of the booking looks like a new one and runs twice.
    """
    if not request.is_booking:
        return
    if not request.idempotency_key or request.first_sent_s is None:
        raise TamarackhavenError(ErrorKind.MISSING_IDEMPOTENCY_KEY)


def _headers_for_target(headers):
    """Return the headers that are forwarded to the target unchanged."""
    named_by_connection = {
        name.strip().lower() for name in headers.get("connection", "").split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _HOP_BY_HOP
        and name not in named_by_connection
        and not name.startswith(_OWN_PREFIX)
    )
