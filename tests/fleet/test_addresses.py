"""Which addresses of control VMs a process remembers."""

from tamarackhaven.fleet._addresses import MAX_ADDRESSES, HeardAddresses


def test_control_vms_long_gone_are_forgotten_before_those_heard_of_again():
    # Guards against: every VM that ever stood in the group is dialled at each search.
    heard = HeardAddresses()
    heard.add([("10.0.0.1", 7)])
    for number in range(MAX_ADDRESSES):
        heard.add([("10.1.0.1", number), ("10.0.0.1", 7)])
    assert ("10.0.0.1", 7) in heard
    assert ("10.1.0.1", 0) not in heard
    assert len(list(heard)) == MAX_ADDRESSES
