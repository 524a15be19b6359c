"""The budget of exposures: how many requests an ingress may send to a new version before the verdict.

Each ingress may expose a fixed share of the requests that it sends to the service itself. Whichever ingresses
run, are partitioned or restart, the following holds over the sum of all ingresses, at every moment:

    exposed requests <= ratio x requests

No message is needed for it, and there is no grant that could be lost or spent twice. docs/design/rollouts.md
compares this with grants from a single owner.
"""

from __future__ import annotations

from dataclasses import dataclass

USABLE_SHARE_RATIO = (
    0.6  # used part of the allowed share; the rest covers requests in flight when a verdict comes
)


@dataclass(slots=True)
class ExposureBudget:
    """The budget of one roll-out at one ingress.

    :param ratio: allowed exposures per request
    :param requests: requests sent to the service since this ingress learned of the roll-out
    :param exposed: how many of these were sent to the new version
    """

    ratio: float
    requests: int = 0
    exposed: int = 0

    def on_request(self) -> None:
        """Count a request that is sent to the service."""
        self.requests += 1

    def may_expose(self) -> bool:
        """Return whether one more request may be sent to the new version."""
        return self.exposed + 1 <= self.ratio * self.requests

    def on_exposed(self) -> None:
        """Count a request that was sent to the new version."""
        self.exposed += 1
