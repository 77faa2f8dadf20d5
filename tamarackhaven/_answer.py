"""Filter that builds the HTTP answer for an error kind. No I/O."""

import json
import math

from tamarackhaven import _request as names
from tamarackhaven._request import HttpAnswer
from tamarackhaven.errors import ANSWER_BY_KIND, Repeat

# Used for errors that may be retried later but name no time. Without it all callers
# would retry immediately and at the same moment.
DEFAULT_RETRY_AFTER_S = 1.0


def answer_error(error, request_id="", ran=None, decision_id=""):
    """Return the answer for an error.

    Parameters
    ----------
    error : TamarackhavenError
        The error to answer.
    request_id : str
        Empty if the request id has not been read yet.
    ran : Ran or None
        Overrides the value of the error table.
    decision_id : str
        Id under which this refusal is logged.

    Returns
    -------
    HttpAnswer
        With a JSON body: code, name, sentence, detail, ran, repeat, request_id and, if
        the request may be retried later, retry_after_s in seconds.
    """
    row = ANSWER_BY_KIND[error.kind]
    ran = (ran or row.ran).value
    content = {
        "code": error.kind.value,
        "name": error.kind.name,
        "sentence": row.sentence,
        "detail": error.detail,
        "ran": ran,
        "repeat": row.repeat.value,
        "request_id": request_id,
    }
    headers = [
        ("Content-Type", "application/json"),
        (names.ERROR_HEADER, error.kind.value),
        (names.RAN_HEADER, ran),
    ]
    if row.repeat is Repeat.LATER:
        retry_after_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
        content["retry_after_s"] = round(retry_after_s, 3)
        # Retry-After has whole seconds only. With it alone, callers whose times were
        # spread over a fraction of a second would all retry at the same moment.
        headers.append((names.RETRY_AFTER_HEADER, str(math.ceil(retry_after_s))))
        retry_after_ms = math.ceil(1000 * retry_after_s)
        headers.append((names.RETRY_AFTER_MS_HEADER, str(retry_after_ms)))
    if decision_id:
        headers.append((names.DECISION_HEADER, decision_id))
    if request_id:
        headers.append((names.REQUEST_ID_HEADER, request_id))
    body = json.dumps(content, sort_keys=True).encode() + b"\n"
    return HttpAnswer(row.http_status, tuple(headers), body)
