"""Stacks of all threads on request, also while the event loop does not run."""

import faulthandler
import signal
import sys

STACK_SIGNAL = signal.SIGUSR1


def write_stacks_on_signal() -> None:
    """Write the stacks of all threads to standard output at each STACK_SIGNAL."""
    faulthandler.register(STACK_SIGNAL, file=sys.stdout, all_threads=True)
