"""Limits and order of the control VM addresses that a process keeps."""

from tamarackhaven.fleet._addresses import MAX_ADDRESSES, KnownAddresses


def test_least_recently_received_addresses_are_dropped_first():
    # Guards against dialling every VM that was ever in the group at each search.
    known = KnownAddresses()
    known.add([("10.0.0.1", 7)])
    for number in range(MAX_ADDRESSES):
        known.add([("10.1.0.1", number), ("10.0.0.1", 7)])
    assert ("10.0.0.1", 7) in known
    assert ("10.1.0.1", 0) not in known
    assert len(list(known)) == MAX_ADDRESSES
