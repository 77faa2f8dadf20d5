"""JSON encoding of the project's ``attrs`` records with ``cattrs``.

A record in a union is written with its class name under the key ``type``.
"""

import attrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from tamarackhaven import _changes, _events, _model

_TYPE_KEY = "type"


def _make_converter():
    converter = make_converter(forbid_extra_keys=True)
    for union in (_model.Resource, _changes.Change, _events.Event):
        configure_tagged_union(union, converter, tag_name=_TYPE_KEY)
    return converter


_CONVERTER = _make_converter()


def dumps(value, kind):
    """Return ``value`` of type ``kind`` as UTF-8 JSON bytes with sorted keys.

    With sorted keys equal records have equal bytes, which golden files rely on.
    """
    return _CONVERTER.dumps(value, kind, sort_keys=True).encode()


def loads(data, kind):
    """Return the value of type ``kind`` in JSON bytes.

    Raises
    ------
    cattrs.ClassValidationError
        If the JSON value isn't a record of that type.
    """
    return _CONVERTER.loads(data, kind)


def to_plain(value):
    """Return an ``attrs`` record as dicts and lists, tagged with its class name."""
    plain = _CONVERTER.unstructure(value)
    if attrs.has(type(value)):
        plain = {_TYPE_KEY: type(value).__name__} | plain
    return plain


def from_plain(plain, kind):
    """Return the record of type ``kind`` in plain dicts and lists.

    Raises
    ------
    cattrs.ClassValidationError
        If ``plain`` isn't a record of that type.
    """
    return _CONVERTER.structure(plain, kind)
