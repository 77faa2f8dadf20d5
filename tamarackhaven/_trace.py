"""Collects the log lines of one request from the logs of a fleet, without I/O."""

import attrs
import orjson

# Lines without a request id that were written this close to a request's lines may
# explain it: moving keys or a change of the leader takes about as long.
NEARBY_WINDOW_S = 2.0
_NAMED_FIELDS = frozenset(("at", "vm", "sentence", "part", "request_id"))


@attrs.frozen(order=True)
class Line:
    """One parsed log line.

    Parameters
    ----------
    at_s : float
        Unix time in seconds by the clock of the VM that wrote the line. Clocks of VMs
        differ slightly.
    vm, sentence, request_id : str
        As written; ``request_id`` is empty for lines that are not about a request.
    fields : dict
        All other fields of the line.
    """

    at_s: float
    vm: str
    sentence: str
    request_id: str = ""
    fields: dict = attrs.field(factory=dict, order=False)

    @property
    def text(self):
        """The line in human-readable form."""
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at_s:.3f} {self.vm:24} {self.sentence}  {pairs}".rstrip()


def read_lines(texts):
    """Parse log lines; texts that aren't log lines are skipped.

    Parameters
    ----------
    texts : iterable of str
        Raw lines of logs. Text before the JSON object, such as a prefix added by the
        platform, is ignored.

    Returns
    -------
    list of Line
        In the order of ``texts``.
    """
    return [line for line in map(_parse_line, texts) if line is not None]


def _parse_line(text):
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or not {"at", "vm", "sentence"} <= fields.keys():
        return None
    return Line(
        float(fields["at"]),
        str(fields["vm"]),
        str(fields["sentence"]),
        str(fields.get("request_id", "")),
        {key: fields[key] for key in fields if key not in _NAMED_FIELDS},
    )


def trace(lines, request_id, include_nearby=False):
    """Return the lines of a request in order of time.

    Parameters
    ----------
    lines : iterable of Line
        Lines of all processes.
    request_id : str
        The attempt id that the caller sent.
    include_nearby : bool
        Whether to include lines without a request id that were written within
        ``NEARBY_WINDOW_S`` seconds of the request's lines.
    """
    lines = list(lines)
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        return []
    if include_nearby:
        first = min(line.at_s for line in request_lines) - NEARBY_WINDOW_S
        last = max(line.at_s for line in request_lines) + NEARBY_WINDOW_S
        request_lines += [
            line for line in lines if not line.request_id and first <= line.at_s <= last
        ]
    return sorted(request_lines)
