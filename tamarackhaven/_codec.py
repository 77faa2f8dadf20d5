"""JSON text for the project's ``attrs`` records, by ``cattrs``.

A record in a union is written with the name of its class under ``type``.
"""

import attrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from tamarackhaven import _changes, _events, _model

_TAG = "type"


def _make():
    converter = make_converter(forbid_extra_keys=True)
    for union in (_model.Resource, _changes.Change, _events.Event):
        configure_tagged_union(union, converter, tag_name=_TAG)
    return converter


_CONVERTER = _make()


def dumps(value, kind):
    """Write ``value`` of type ``kind`` as UTF-8 JSON bytes, keys sorted.

    Sorted keys make equal records equal bytes, which golden files rely on.
    """
    return _CONVERTER.dumps(value, kind, sort_keys=True).encode()


def loads(data, kind):
    """Read JSON bytes as type ``kind``.

    Raises
    ------
    cattrs.ClassValidationError
        If the text is not a record of that type.
    """
    return _CONVERTER.loads(data, kind)


def to_plain(value):
    """Return an ``attrs`` record as plain dicts and lists, tagged with its class."""
    plain = _CONVERTER.unstructure(value)
    if attrs.has(type(value)):
        plain = {_TAG: type(value).__name__} | plain
    return plain


def from_plain(plain, kind):
    """Return plain dicts and lists as a record of type ``kind``."""
    return _CONVERTER.structure(plain, kind)
