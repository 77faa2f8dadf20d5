"""The way of one request through a fleet, from the logs of its processes. Pure."""

import attrs
import orjson

# Lines of other subjects that may explain a request stand this close to its own, in
# seconds: a move of keys or a change of the leader takes about as long.
NEAR_S = 2.0
_SHOWN_ELSEWHERE = frozenset(("at", "vm", "sentence", "part", "request_id"))


@attrs.frozen(order=True)
class Line:
    """One line of a log.

    Parameters
    ----------
    at_s : float
        Unix seconds by the clock of the VM that wrote it; clocks differ a little.
    vm, sentence, request_id : str
        As written; ``request_id`` is empty for lines of other subjects.
    fields : dict
        What decided.
    """

    at_s: float
    vm: str
    sentence: str
    request_id: str = ""
    fields: dict = attrs.field(factory=dict, order=False)

    @property
    def text(self):
        """The line for people."""
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at_s:.3f} {self.vm:24} {self.sentence}  {pairs}".rstrip()


def read_lines(texts):
    """Return the ``Line`` of each text that is one; others are passed over.

    Parameters
    ----------
    texts : iterable of str
        Lines of logs; what a platform puts before the JSON is cut off.
    """
    return [line for line in map(_read, texts) if line is not None]


def _read(text):
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
        {key: fields[key] for key in fields if key not in _SHOWN_ELSEWHERE},
    )


def trace(lines, request_id, with_near=False):
    """Return the lines of a request in order.

    Parameters
    ----------
    lines : iterable of Line
        Of all processes.
    request_id : str
        The attempt id that the caller sent.
    with_near : bool
        Whether to return also lines of other subjects, no request's own, that were
        written within ``NEAR_S`` seconds of the request.
    """
    lines = list(lines)
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    if with_near:
        first = min(line.at_s for line in own) - NEAR_S
        last = max(line.at_s for line in own) + NEAR_S
        own += [
            line for line in lines if not line.request_id and first <= line.at_s <= last
        ]
    return sorted(own)
