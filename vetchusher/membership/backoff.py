"""When to retry after a call to service discovery has failed.

All ingresses of a cluster call discovery at the same moments: at a start, and when a list changes.  Where one
service answers them one after another, a fixed pause would bring them all back at once until no call is
answered in time any more and no list ever arrives.  So pauses are drawn at random below a bound that doubles.
"""

from __future__ import annotations

import random

RECONNECT_US = 150_000  # after a broken connection: the next call within 200 ms continues the watch
# The first bound after a refusal is so much for each ingress of the cluster, as all of them call at once.
FIRST_BOUND_PER_INGRESS_US = 250_000
# The last bound for each ingress: a cluster then requests about two lists a second.
LAST_BOUND_PER_INGRESS_US = 1_000_000
# Where an older list serves until then, first calls are spread over this much time for each ingress of the
# cluster, at most `MAX_BOUND_US`: a larger cluster asks over a longer time.
INITIAL_SPREAD_PER_INGRESS_US = 500_000
MIN_BOUND_US, MAX_BOUND_US = 200_000, 40_000_000  # limits of every bound


class Backoff:
    """Randomised exponential back-off over the failures since the last usable answer."""

    def __init__(self, rng: random.Random, ingresses: int) -> None:
        """Create the back-off of one ingress.

        :param ingresses: size of the cluster
        """
        self.rng = rng
        self.ingresses = ingresses
        self.first_bound_us = max(MIN_BOUND_US, FIRST_BOUND_PER_INGRESS_US * ingresses)
        self.last_bound_us = min(MAX_BOUND_US, max(5 * MIN_BOUND_US, LAST_BOUND_PER_INGRESS_US * ingresses))
        self.failures = 0

    def reset(self) -> None:
        """Start over after a usable answer."""
        self.failures = 0

    def initial_delay_us(self) -> int:
        """Return the time (us) to wait before the first call, where an older list serves until then.

        A service that queues calls also works on those that were given up.  Forty calls at once keep its
        queue so full that each call is given up before it is served, and nearly none is ever answered again.
        """
        return int(min(MAX_BOUND_US, INITIAL_SPREAD_PER_INGRESS_US * self.ingresses) * self.rng.random())

    def next_delay_us(self, refused: bool) -> int:
        """Count a failure and return the time (us) until the next call.

        :param refused: whether the source said that it could not answer, rather than answered nothing or
            something unreadable
        """
        self.failures += 1
        if self.failures == 1 and not refused:
            return RECONNECT_US
        bound = min(self.last_bound_us, self.first_bound_us << min(16, self.failures - 1))
        # At least a tenth of the bound: a pause near 0 would not relieve the service.
        return int(bound * self.rng.uniform(0.1, 1.0))
