"""Maps keys to hashes and hashes to shards."""

import hashlib

_HASH_BYTES = 8


def hash_key(service, key):
    """Return the 64-bit hash of a key within its service.

    BLAKE2b distributes keys that differ in only one digit, as consignment numbers do,
    evenly. Unlike ``hash``, it gives the same result in every process and release.
    """
    digest = hashlib.blake2b(
        key.encode(), digest_size=_HASH_BYTES, person=service.encode()[:16]
    )
    return int.from_bytes(digest.digest(), "big")


def shard_of(key_hash, shard_count):
    """Return the shard of a key's hash, from 0 to ``shard_count - 1``."""
    return key_hash % shard_count
