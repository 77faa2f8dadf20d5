"""Messages between processes as MessagePack, each tagged with its class's name.

Records are written as lists of their fields, in order: bytes between availability
zones are paid for, and names of fields were two thirds of them. All processes of a
fleet run the same release; a new field goes to the end and has a default.
"""

import msgpack
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from tamarackhaven.errors import ErrorKind, TamarackhavenError


class Codec:
    """Packs and unpacks a closed list of ``attrs`` classes.

    Parameters
    ----------
    kinds : iterable of type
        The classes; both ends must know the same ones.
    """

    def __init__(self, kinds):
        self._converter = make_converter(
            unstruct_strat=UnstructureStrategy.AS_TUPLE, detailed_validation=False
        )
        self._kind_by_name = {kind.__name__: kind for kind in kinds}

    def pack(self, message):
        """Return the bytes of a message."""
        plain = self._converter.unstructure(message)
        return msgpack.packb([type(message).__name__, plain])

    def unpack(self, data):
        """Return the message that ``data`` holds.

        Raises
        ------
        TamarackhavenError
            MALFORMED_REQUEST for anything else.
        """
        try:
            name, plain = msgpack.unpackb(data, strict_map_key=False)
            return self._converter.structure(plain, self._kind_by_name[name])
        except Exception as error:
            # The library raises many kinds for bytes of another program.
            raise TamarackhavenError(
                ErrorKind.MALFORMED_REQUEST, f"not a message: {error!r}"
            ) from error
