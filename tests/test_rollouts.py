"""Roll-outs of new versions: orders, exposure, verdict, and both ends."""

from testtools import TestCase

from vetchusher.node.api_endpoints import CONTROL_ENDPOINTS


class Orders(TestCase):
    def test_the_operators_calls_are_taken(self):
        for method, path in (("POST", "/rollouts/initiate"), ("GET", "/rollouts/svc/retrieve")):
            taken = [e for e in CONTROL_ENDPOINTS if e.method == method and e.path.fullmatch(path)]
            self.assertEqual(1, len(taken), f"{method} {path}")
