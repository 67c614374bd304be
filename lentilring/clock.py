"""The time source of all services."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Measure and wait for time, in seconds of a monotonic clock."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        ...


class SystemClock:
    """Read the operating system's monotonic clock."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)


class LoopClock:
    """Read the running event loop's time, which tests replace with virtual time."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds of loop time."""
        await asyncio.sleep(seconds)


class SuspensionClock(Clock, Protocol):
    """Also measure time that includes VM suspensions."""

    def boottime(self) -> float:
        """Return the seconds since the VM booted, suspensions included."""
        ...


class BootClock(SystemClock):
    """Read the operating system's monotonic and boot clocks."""

    def boottime(self) -> float:
        """Return the seconds since the VM booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
