"""Digests by which two processes tell whether they have the same records. Pure.

The digest of a set is the sum of its records' digests: the order of the records doesn't
matter, and a record that stays the same needn't be encoded again.
"""

import hashlib

import msgpack

# Metrics are floating-point numbers, which hold integers of this size exactly.
DIGEST_BYTES = 6
_MODULUS = 1 << (8 * DIGEST_BYTES)


def record_digest(*fields):
    """Return the digest of one record, from field values that MessagePack can encode.

    Numbers of equal value but different type have different digests.
    """
    data = msgpack.packb(fields)
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def set_digest(digests):
    """Return the digest of a set of records from the digests of its records."""
    return sum(digests) % _MODULUS


def digest_text(digest):
    """Return a digest as it appears in logs: hexadecimal, of fixed length."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"
