"""Filter: from an error kind to the HTTP answer. No input or output."""

import json
import math

from tamarackhaven import _request as names
from tamarackhaven._request import HttpAnswer
from tamarackhaven.errors import ANSWER_BY_KIND, Repeat

# A kind that says "later" without a time still needs one, or callers return at once
# and together.
DEFAULT_RETRY_AFTER_S = 1.0


def answer_error(error, request_id="", ran=None, decision_id=""):
    """Return the answer for an error.

    Parameters
    ----------
    error : TamarackhavenError
        What went wrong.
    request_id : str
        Empty if the request was not read so far.
    ran : Ran or None
        Overrides what the table says.
    decision_id : str
        Also on the log lines of this refusal.

    Returns
    -------
    HttpAnswer
        With a JSON body: code, name, sentence, detail, ran, request_id and, if the
        request may be repeated later, retry_after_s.
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
        # HTTP's own header knows whole seconds only. Told alone, callers whose times
        # were spread over a part of a second come back together.
        headers.append((names.RETRY_AFTER_HEADER, str(math.ceil(retry_after_s))))
        retry_after_ms = math.ceil(1000 * retry_after_s)
        headers.append((names.RETRY_AFTER_MS_HEADER, str(retry_after_ms)))
    if decision_id:
        headers.append((names.DECISION_HEADER, decision_id))
    if request_id:
        headers.append((names.REQUEST_ID_HEADER, request_id))
    body = json.dumps(content, sort_keys=True).encode() + b"\n"
    return HttpAnswer(row.http_status, tuple(headers), body)
