"""Days of control troubles: what is drawn, by a site of a few lines."""

import tomllib

from testtools import TestCase
from testtools.matchers import Equals

from benchmarks.control_days import closing_of, drawn_days, spread, ways, written

SITE = {
    "name": "meadow",
    "zones": [{"name": "a"}, {"name": "b"}],
    "config": {"invalid": ["cut_short"]},
    "troubles": [
        {"kind": kind} for kind in ("core_cut", "node_kill", "config_race", "bad_config", "hot_tenant")
    ],
    "day": [
        {"name": "x", "slot": "trouble", "floor": 0.4, "traffic": [{"per_s": 10.0, "mix": {"c-1": 2}}]},
        {"name": "y", "slot": "quiet", "floor": 0.9, "traffic": []},
    ],
}


class DrawnTest(TestCase):
    def test_only_control_troubles_that_the_site_offers_and_every_way_of_them(self):
        days = list(drawn_days(SITE, 12, 3, 0.25))
        struck = {(one["kind"], one["how"]) for day in days for one in day["faults"]}
        offered = {(way["kind"], way["how"]) for way in ways() if way["kind"] in ("core_cut", "node_kill")}
        self.assertThat(struck, Equals(offered))
        planned = {one["kind"] for day in days for one in day["plan"]}
        self.assertThat(planned, Equals({"config_race", "bad_config", "config_change"}))
        self.assertThat(len({closing_of(day) for day in days}), Equals(5))  # four, and none

    def test_a_day_is_drawn_again_from_its_seed_and_read_back_as_it_was_written(self):
        (day,) = drawn_days(SITE, 1, 3, 0.25)
        self.assertThat(list(drawn_days(SITE, 1, 3, 0.25)), Equals([day]))
        self.assertThat(list(drawn_days(SITE, 1, 4, 0.25)) == [day], Equals(False))
        self.assertThat(tomllib.loads(written(day)), Equals(day))
        self.assertThat((day["floor"], day["traffic"][0]["per_s"]), Equals((0.4, 2.5)))

    def test_spread(self):
        self.assertThat((spread([0.1, 0.2, 0.9]), spread([])), Equals(("0.200 (0.100 to 0.900)", "unknown")))
