"""Limits and order of the control VM addresses that a process keeps."""

from tamarackhaven.fleet._addresses import MAX_ADDRESSES, HeardAddresses


def test_least_recently_received_addresses_are_dropped_first():
    # Guards against dialling every VM that was ever in the group at each search.
    heard = HeardAddresses()
    heard.add([("10.0.0.1", 7)])
    for number in range(MAX_ADDRESSES):
        heard.add([("10.1.0.1", number), ("10.0.0.1", 7)])
    assert ("10.0.0.1", 7) in heard
    assert ("10.1.0.1", 0) not in heard
    assert len(list(heard)) == MAX_ADDRESSES
