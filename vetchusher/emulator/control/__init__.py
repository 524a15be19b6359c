"""The replicated control state in virtual time: network, disks, judge, searches; and as real processes."""
