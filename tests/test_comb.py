"""The control state: stories drawn as text, a random search, planted faults that must be found, and the store."""

from __future__ import annotations

from dataclasses import replace

from vetchusher.comb import Timing
from vetchusher.emulator.comb_stories import Story
from vetchusher.emulator.comb_world import Scene
from vetchusher.emulator.tier_world import MS

FIVE = Scene(seeds=5)
STORIES = {
    "takeover": (
        """
        s     | 1 east | 2 east | 3 west | operator
        0     |        |        |        | r5, evacuate north
        ack   | off    |        |        | reads r5
        ack   |        |        |        | r6
        ack+1 | on     |        |        |
        ack+4 | idle   |        |        | reads r6
        """,
        Scene(),
    ),
    "the new primary missed the last write": (
        """
        s     | 1 east | 2 east    | 3 west | operator
        0     |        | no writes |        | r5
        ack   | off    |           |        |
        ack+3 |        | writes    |        | reads r5
        """,
        Scene(),
    ),
    "power lost everywhere at the acknowledgement": (
        """
        s       | 1 east | 2 east | 3 west | operator
        0       |        |        |        | r5
        ack     | off    | off    | off    |
        ack+0.5 | on     | on     |        |
        ack+5   |        |        | on     | reads r5
        """,
        Scene(disk_us=400 * MS),
    ),
    "disks that refuse": (
        """
        s       | 1 east | 2 east       | 3 west       | operator
        0       |        | disk refuses | disk refuses | r5
        4       |        | disk well    | disk well    |
        ack     | off    | off          | off          |
        ack+0.5 |        | on           | on           |
        ack+5   | on     |              |              | reads r5
        """,
        Scene(),
    ),
    "a zone's disks lost at the acknowledgement, the other zone without power": (
        """
        s       | 1 east    | 2 east    | 3 west | operator
        0       |           |           |        | r5
        ack     | disk lost | disk lost | off    |
        ack+0.5 | on        | on        |        |
        ack+3   |           |           | on     | reads r5
        """,
        Scene(most_us=150 * MS),
    ),
    "a lost zone returns after a write without it": (
        """
        s     | 1 east | 2 east | 3 west | operator
        0     |        |        | off    |
        3     |        |        |        | r5
        ack+1 |        |        | on     |
        ack+4 | off    |        |        | reads r5
        """,
        Scene(),
    ),
    "two disks lost, and the one copy left comes back late": (
        """
        s       | 1 east    | 2 east    | 3 east | 4 west | 5 west | operator
        0       |           |           | cut    | cut    |        |
        3       |           |           |        |        |        | r5
        ack     | disk lost | disk lost | off    | off    | off    |
        ack+0.5 | on        | on        | on, joined | on, joined | |
        ack+8   |           |           |        |        | on     | reads r5
        """,
        FIVE,
    ),
    "primary cut off, its clock slow": (
        """
        s   | 1 east | 2 east | 3 west | operator
        0   |        |        |        | r5
        1   | cut    |        |        |
        4   | idle   |        |        | r6
        ack | joined |        |        |
        """,
        Scene(rates=(0.955, 1.045, 1.045), most_us=MS, disk_us=MS, timing=Timing(pause_us=MS)),
    ),
    "primary that hears but is not heard": (
        """
        s     | 1 east | 2 east | 3 west | operator
        0     | mute   |        |        |
        4     | idle   |        |        | r6
        ack+2 | joined |        |        | reads r6
        """,
        Scene(),
    ),
    "primary that is heard but does not hear": (
        """
        s     | 1 east | 2 east | 3 west | operator
        0     | deaf   |        |        |
        5     | idle   |        |        | r6
        ack+2 | joined |        |        | reads r6
        """,
        Scene(),
    ),
    "primary stopped with answers waiting": (
        """
        s    | 1 east       | 2 east | 3 west | operator
        0    |              |        |        | r5
        1    | stops        |        |        |
        2.4  | goes on, cut |        |        |
        6    | joined       |        |        | r6
        """,
        Scene(most_us=200 * MS),
    ),
    "primary stopped for long with an order waiting": (
        """
        s     | 1 east          | 2 east | 3 west | operator
        0     | stops           |        |        | r5 at 1
        0.1   | cut             |        |        |
        3     |                 |        |        | r6
        6     | joined, goes on |        |        |
        ack+2 | idle            |        |        | reads r6
        """,
        Scene(),
    ),
    "a voter restarts inside the lease that it gave": (
        """
        s    | 1 east | 2 east | 3 west | operator
        0    | x2     |        |        |
        3    | leads  |        | off    |
        3.05 |        |        | on, x1 |
        8    | joined |        |        | r5
        """,
        Scene(),
    ),
    "the primary's disk hangs": (
        """
        s     | 1 east     | 2 east | 3 west | operator
        0     | disk hangs |        |        | r5
        ack+0 | leads      |        |        | r6
        ack   | off        |        |        | reads r6
        """,
        Scene(),
    ),
    "a primary with more than the others reads out": (
        """
        s     | 1 east | 2 east    | 3 west | operator
        0     |        | no writes | cut    |
        2     |        |           |        | r5 at 1 once
        3     | off    | off       |        |
        3.1   | on     | on        |        | reads r5 at 1
        8     |        | writes    |        |
        ack   | off    | writes    | joined |
        ack+4 |        |           |        | reads r5
        """,
        Scene(),
    ),
    "the primary's disk hangs, and its power goes": (
        """
        s       | 1 east     | 2 east | 3 west | operator
        0       | disk hangs |        | cut    |
        1.5     |            |        |        | r5
        4       | disk well  |        |        |
        ack     | off        | off    | joined |
        ack+0.1 | on, disk well |     |        |
        ack+6   |            | on     |        | reads r5
        """,
        Scene(),
    ),
    "a copy told of before its disk was lost": (
        """
        s     | 1 east | 2 east    | 3 east    | 4 east    | 5 east    | operator
        0     |        |           | no writes | no writes | no writes | r5 at 1
        0.3   | x2     | disk lost |           |           |           |
        0.4   |        | on        |           |           |           |
        3     |        |           | writes    |           |           |
        5     |        |           |           | writes    |           |
        ack   | off    |           | off       |           |           |
        ack+4 |        |           |           |           | writes    | reads r5
        """,
        FIVE,
    ),
    "asked while its word still counted": (
        """
        s     | 1 east | 2 east    | 3 east    | 4 east    | 5 east    | operator
        0     |        |           | no writes | no writes | no writes | r5 at 1
        0.1   | x2     | disk lost |           |           |           |
        0.15  |        | on        |           |           |           |
        0.4   |        |           | writes    |           |           |
        ack   | off    |           | off       | writes    | writes    |
        ack+6 |        |           | on        |           |           | reads r5
        """,
        FIVE,
    ),
    "two machines join at once": (
        """
        s     | 1 east | 2 east    | 3 west    | 4 west | 5 west | operator
        0     |        | no writes | no writes | on     | on     |
        2     |        |           |           |        |        | r5
        6     |        | writes    | writes    |        |        |
        ack   | off    |           |           | off    | off    |
        ack+4 | on     |           |           | on     | on     | reads r5
        """,
        Scene(),
    ),
    "one that got no writes": (
        """
        s     | 1 east | 2 east    | 3 west | operator
        0     |        | no writes |        | r5
        ack+6 |        | writes    |        |
        """,
        Scene(),
    ),
}
