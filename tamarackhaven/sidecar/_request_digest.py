"""Tells by its content whether two attempts ask for the same. Pure."""

import hashlib

import msgpack

# Unlike the digests by which two processes compare their state, these are compared with
# those of all other requests of a fleet.
DIGEST_BYTES = 12
# Of a larger body the first and the last part of half this size count, so that hashing
# it takes about a millisecond at most.
MAX_HASHED_BODY_BYTES = 1 << 20


def request_digest(request):
    """Return the digest of a ``CallerRequest``, bytes.

    It covers what the caller asks for: method, host, path with query, key and body. It
    leaves out the attempt's id and deadline, which differ from try to try, and who
    asks: the same request of another caller ends a target just as well.
    """
    body = request.body
    head = request.method, request.host, request.target, request.key, len(body)
    digest = hashlib.blake2b(msgpack.packb(head), digest_size=DIGEST_BYTES)
    if len(body) <= MAX_HASHED_BODY_BYTES:
        digest.update(body)
    else:
        digest.update(body[: MAX_HASHED_BODY_BYTES // 2])
        digest.update(body[-MAX_HASHED_BODY_BYTES // 2 :])
    return digest.digest()
