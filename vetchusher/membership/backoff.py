"""When to ask again after a call to discovery has failed.

Danger: every ingress of a cluster asks at the same moments, at a start and when a list changes.  Where one
service answers all of them in turn, a fixed pause brings the same crowd back together until no call is
answered in time any more, and no list arrives for good.  So pauses are drawn at random below a bound
that doubles.
"""

from __future__ import annotations

import random

GO_ON_US = 150_000  # after a broken connection: the next call within 200 ms goes on with the watch
EACH_FIRST_US = 250_000  # the first bound after a refusal, for each ingress of the cluster: all ask at once
EACH_MOST_US = 1_000_000  # the last bound, for each: a cluster then asks for about two lists a second
EACH_TURN_US = 500_000  # for each, the time over which first calls are spread where lists must be asked for
LEAST_US, MOST_US = 200_000, 40_000_000  # no bound is below the one or above the other


class Backoff:
    """The failures since the last good answer."""

    def __init__(self, rng: random.Random, ingresses: int) -> None:
        self.rng = rng
        self.ingresses = ingresses
        self.first = max(LEAST_US, EACH_FIRST_US * ingresses)
        self.most = min(MOST_US, max(5 * LEAST_US, EACH_MOST_US * ingresses))
        self.failed = 0

    def reset(self) -> None:
        self.failed = 0

    def turn(self) -> int:
        """Microseconds to wait before the first call, where an older list serves until then.

        Danger: a service that lets calls wait in turn works on those given up as well; forty at once keep its
        line so full that a call is given up before its turn comes, and nearly none is answered again.
        """
        return int(min(MOST_US, EACH_TURN_US * self.ingresses) * self.rng.random())

    def pause(self, refused: bool) -> int:
        """Microseconds until the next call.

        :param refused: the source said that it could not answer, rather than nothing or something
        unreadable
        """
        self.failed += 1
        if self.failed == 1 and not refused:
            return GO_ON_US
        bound = min(self.most, self.first << min(16, self.failed - 1))
        # At least a part of it: a pause of nothing is no pause.
        return int(bound * self.rng.uniform(0.1, 1.0))
