"""From a key to its hash and its shard."""

import hashlib

_HASH_BYTES = 8


def hash_key(service, key):
    """Return the 64-bit hash of a key within its service.

    BLAKE2b spreads keys that differ in one digit, as consignment numbers do, and is
    the same in every process and release, unlike ``hash``.
    """
    digest = hashlib.blake2b(
        key.encode(), digest_size=_HASH_BYTES, person=service.encode()[:16]
    )
    return int.from_bytes(digest.digest(), "big")


def shard_of(key_hash, shard_count):
    """Return the shard of a hash, 0 to ``shard_count - 1``."""
    return key_hash % shard_count
