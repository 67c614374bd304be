"""Stacks that a process writes on request."""

import subprocess
import sys
from threading import Timer

from testtools import TestCase

from lentilring.telemetry.stacks import STACK_SIGNAL

HANGING_PROGRAM = """
import asyncio
from lentilring.telemetry.stacks import write_stacks_on_signal

async def never_give_control_back():
    print("hanging", flush=True)
    while True:
        pass

write_stacks_on_signal()
asyncio.run(never_give_control_back())
"""
WITHIN_S = 20.0


class StackTest(TestCase):
    def test_process_whose_event_loop_stands_still_shows_where(self) -> None:
        """Guards against a process that hangs and cannot tell where (review/15)."""
        with subprocess.Popen(
            [sys.executable, "-c", HANGING_PROGRAM], stdout=subprocess.PIPE, text=True
        ) as process:
            assert process.stdout is not None
            self.assertEqual("hanging\n", process.stdout.readline())
            process.send_signal(STACK_SIGNAL)
            deadline = Timer(WITHIN_S, process.kill)
            deadline.start()
            self.assertTrue(any("never_give_control_back" in line for line in process.stdout))
            deadline.cancel()
            self.assertIsNone(process.poll())
            process.kill()
