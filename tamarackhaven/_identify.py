"""Filter: from a raw HTTP request to an identified one. No input or output.

The service is the first segment of the path. The key is the header
``Tamarackhaven-Key`` if it is there, else the second segment of the path. So a caller
whose paths already hold the key needs no header, and one whose paths don't adds one.
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
_WHOLE = re.compile(r"-?[0-9]{1,15}")
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")
_HOPS = re.compile(r"[0-9]")

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
    """Return the request id that the caller states, or an empty text.

    Raises
    ------
    TamarackhavenError
        BAD_HEADER.
    """
    return _token(raw, names.REQUEST_ID_HEADER)


def identify(raw, request_id, decision_id=""):
    """Return the request that ``raw`` states.

    Parameters
    ----------
    raw : RawRequest
        The request as it arrived.
    request_id : str
        Its id, stated or made.
    decision_id : str
        This daemon's own id of this arrival.

    Raises
    ------
    TamarackhavenError
        MALFORMED_REQUEST, UNKNOWN_SERVICE, MISSING_KEY, BAD_HEADER, BAD_DEADLINE,
        DEADLINE_PAST or MISSING_IDEMPOTENCY_KEY.
    """
    service, path_key = _split(raw.target)
    key = _key(raw, path_key)
    request = Request(
        request_id=request_id,
        service=service,
        key=key,
        key_hash=hash_key(service, key),
        method=raw.method,
        target=raw.target,
        headers=_passed_on(raw.headers),
        body=raw.body,
        caller=_token(raw, names.CALLER_HEADER) or raw.peer_host,
        received_s=raw.received_s,
        deadline_s=_deadline(raw),
        idempotency_key=_token(raw, names.IDEMPOTENCY_HEADER),
        first_sent_s=_first_sent(raw),
        hops=_hops(raw),
        decision_id=decision_id,
    )
    _check_booking(request)
    return request


def _split(target):
    if not target.startswith("/"):
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, "The request target must start with '/'."
        )
    path = target.partition("?")[0]
    segments = path.split("/")[1:]
    service = _segment(segments[0])
    if not service:
        raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, "The path names none.")
    return service, _segment(segments[1]) if len(segments) > 1 else ""


def _segment(text):
    try:
        return unquote_to_bytes(text).decode()
    except UnicodeDecodeError:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, "The path is not UTF-8."
        ) from None


def _value(raw, name):
    return raw.headers.get(name.lower(), "")


def _token(raw, name):
    value = _value(raw, name)
    if value and not _TOKEN.fullmatch(value):
        raise TamarackhavenError(ErrorKind.BAD_HEADER, f"{name} has a bad value.")
    return value


def _key(raw, path_key):
    # WSGI hands header bytes over as Latin-1; keys are UTF-8.
    try:
        header_key = _value(raw, names.KEY_HEADER).encode("latin-1").decode()
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


def _deadline(raw):
    value = _value(raw, names.DEADLINE_MS_HEADER)
    if not value:
        return None
    if not _WHOLE.fullmatch(value) or int(value) > MAX_DEADLINE_MS:
        raise TamarackhavenError(
            ErrorKind.BAD_DEADLINE,
            f"{names.DEADLINE_MS_HEADER} must be a whole number of milliseconds,"
            f" {MAX_DEADLINE_MS} or less.",
        )
    if int(value) <= 0:
        raise TamarackhavenError(ErrorKind.DEADLINE_PAST)
    return raw.received_s + int(value) / 1000


def _first_sent(raw):
    value = _value(raw, names.FIRST_SENT_HEADER)
    if not value:
        return None
    if not _SECONDS.fullmatch(value):
        raise TamarackhavenError(
            ErrorKind.BAD_HEADER,
            f"{names.FIRST_SENT_HEADER} must be seconds since 1970.",
        )
    return float(value)


def _hops(raw):
    value = _value(raw, names.HOPS_HEADER)
    if not value:
        return 0
    if not _HOPS.fullmatch(value):
        raise TamarackhavenError(
            ErrorKind.BAD_HEADER, f"{names.HOPS_HEADER} must be one digit."
        )
    return int(value)


def _check_booking(request):
    """Refuse a booking that could not be recognised when it is sent again.

    Without both, a repeated booking looks like a new one and runs twice.
    """
    if not request.is_booking:
        return
    if not request.idempotency_key or request.first_sent_s is None:
        raise TamarackhavenError(ErrorKind.MISSING_IDEMPOTENCY_KEY)


def _passed_on(headers):
    """Return the headers that go on to the target as they are."""
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
