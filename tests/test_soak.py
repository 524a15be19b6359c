"""Real processes under signals: while they start, and in short runs of the soak, whose seeds are fixed."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from testtools import TestCase

from vetchusher.emulator.system.soak import Shape, Soak

ENDS_WITHIN_S = 60.0


class SignalsDuringTheStart(TestCase):
    def ended_by(self, number):
        """The exit code of a process that gets a signal while it reads its settings, which are empty."""
        with tempfile.TemporaryDirectory() as folder:
            settings = os.path.join(folder, "node.toml")
            os.mkfifo(settings)
            process = subprocess.Popen(
                [sys.executable, "-m", "vetchusher.node", "run"],
                env=os.environ | {"VETCHUSHER_CONFIG": settings},
                stderr=subprocess.PIPE,
            )
            try:
                with open(settings, "wb"):  # opened once the process has come to read it
                    process.send_signal(number)
                _, said = process.communicate(timeout=ENDS_WITHIN_S)
            finally:
                process.kill()
            return process.returncode, b"internal_ports" in said or b"settings" in said

    def test_a_hang_up_during_the_start_does_not_end_a_process(self):
        self.assertEqual((2, True), self.ended_by(signal.SIGHUP))  # it went on, and found its settings empty

    def test_a_process_that_is_to_end_during_its_start_ends_in_order(self):
        self.assertEqual((0, False), self.ended_by(signal.SIGTERM))


class SignalsAtTheEnd(TestCase):
    def test_a_process_that_has_shut_down_ends_with_its_own_code_whatever_signal_comes(self):
        script = "import os; from vetchusher.node.process import block_signals; block_signals(); "
        for number in (signal.SIGHUP, signal.SIGTERM):
            ended = subprocess.run(
                [sys.executable, "-c", f"{script} os.kill(os.getpid(), {int(number)}); raise SystemExit(7)"],
                timeout=ENDS_WITHIN_S,
                check=False,
            )
            self.assertEqual(7, ended.returncode)


class ShortSoak(TestCase):
    def test_seeds(self):
        for seed in (101, 102):
            with tempfile.TemporaryDirectory() as folder:
                soak = Soak(seed, Shape(core=3, edge=4), length_s=8.0)
                self.assertEqual([], asyncio.run(soak.run(pathlib.Path(folder))), f"seed {seed}")
                self.assertGreater(len(soak.requests), 100)
                self.assertGreater(soak.faults["term"], 0)
