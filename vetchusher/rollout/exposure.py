"""The budget of exposures: how many requests an ingress may send to a version that is not trusted yet.

Each ingress may expose a fixed share of the requests that it sends to the service itself.  So, whichever
ingresses are there, cut off or restarted:

    exposed, summed <= ratio x requests, summed

at every moment and without any message; there is no grant that could be lost or spent twice.
docs/design/rollouts.md weighs it against grants of one owner.
"""

from __future__ import annotations

from dataclasses import dataclass

MARGIN_RATIO = 0.6  # of the share that the rule allows: the rest is for what is on its way as a verdict comes


@dataclass(slots=True)
class ExposureBudget:
    """The budget of one roll-out at one ingress.

    :param ratio: exposures for each request
    :param requests: sent to the service since the roll-out was heard of
    :param exposed: of these, sent to the new version
    """

    ratio: float
    requests: int = 0
    exposed: int = 0

    def on_request(self) -> None:
        """Count a request that goes to the service."""
        self.requests += 1

    def may_expose(self) -> bool:
        """Return whether one more request may go to the new version."""
        return self.exposed + 1 <= self.ratio * self.requests

    def on_exposed(self) -> None:
        """Count a request that was sent to the new version."""
        self.exposed += 1
