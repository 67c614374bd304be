"""Renewals of a primary's lease that concurrent statements share."""

import asyncio
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from lentilring.catalog.model import ServerEntry, ServerRole
from lentilring.gateways.lease import LEASE_S
from lentilring.gateways.renewal import LeaseRenewal
from lentilring.gateways.server import ReplicationStatus
from lentilring.statements.model import Position
from lentilring.telemetry.metrics import Telemetry

from .test_takeover import build_entry
from .virtual_time import SuspensibleClock, run_virtual

STATUS_S = 0.02
PRIMARY = build_entry("p", role=ServerRole.PRIMARY)
REPLICA = build_entry("r")
# More than any caller needs to get an answer.
MAX_CLOCK_READINGS = 1000


class CountingClock(SuspensibleClock):
    """Raise AssertionError after many readings, as a loop that never ends cannot be timed out."""

    def __init__(self) -> None:
        super().__init__()
        self._readings = 0

    def boottime(self) -> float:
        self._readings += 1
        assert self._readings < MAX_CLOCK_READINGS, "the clock is read again and again"
        return super().boottime()


class StatusSession:
    """Answer status calls; those that wait get their answers when `release` is called."""

    is_closed = False

    def __init__(self, server: ServerEntry) -> None:
        self._role = server.role
        self.held: list[asyncio.Event] = []
        self.holds = False

    async def read_status(self, *, timeout_s: float) -> ReplicationStatus:
        if self.holds:
            self.held.append(asyncio.Event())
            await self.held[-1].wait()
        else:
            await asyncio.sleep(STATUS_S)
        return ReplicationStatus(role=self._role, term=1, received=Position(term=1, number=1))

    def close(self) -> None:
        self.is_closed = True


class RenewalBench:
    """Hold the renewals of a primary with one replica, which answers as the test wants."""

    def __init__(self) -> None:
        self.clock = CountingClock()
        self.sessions = {entry.id: StatusSession(entry) for entry in (PRIMARY, REPLICA)}
        catalog: Any = SimpleNamespace(
            servers=SimpleNamespace(by_service={PRIMARY.service: (PRIMARY, REPLICA)}),
            list_accounts=lambda: (),
        )
        self.renewal = LeaseRenewal(
            catalog=catalog,
            connector=self,  # type: ignore[arg-type]
            is_counted=self._is_counted,
            clock=self.clock,
            telemetry=Telemetry(),
        )

    async def connect(self, server: ServerEntry, *, account: str, timeout_s: float) -> Any:
        return self.sessions[server.id]

    async def _is_counted(self, replica: ServerEntry, primary: str, since: float) -> bool:
        return True

    async def begin_held_renewal(self) -> asyncio.Event:
        """Begin a renewal whose status call waits; return the event that answers it."""
        replica = self.sessions[REPLICA.id]
        replica.holds = True
        await asyncio.sleep(LEASE_S)
        assert not self.renewal.has_lease(PRIMARY)
        while not replica.held:
            await asyncio.sleep(STATUS_S)
        replica.holds = False
        return replica.held[0]


class LeaseRenewalTest(TestCase):
    def test_statement_that_meets_a_renewal_in_the_pass_in_which_it_ends_is_answered(self) -> None:
        """Guards against a process that hangs, as it awaits an ended renewal again (review/15)."""

        async def scenario() -> None:
            bench = RenewalBench()
            self.assertTrue(await bench.renewal.ensure_lease(PRIMARY))
            answered = await bench.begin_held_renewal()

            await asyncio.sleep(STATUS_S)
            answered.set()
            # Later than the beginning of the renewal, as the opening of a new connection is.
            now = bench.clock.monotonic()
            while not bench.renewal.get_lease(PRIMARY.id).is_valid(now):
                await asyncio.sleep(0)
            self.assertTrue(await bench.renewal.ensure_lease(PRIMARY, since=now))

        run_virtual(scenario())

    def test_renewal_that_began_too_early_is_followed_by_another(self) -> None:
        """Guards against a proof from before the time that a caller asks about."""

        async def scenario() -> None:
            bench = RenewalBench()
            self.assertTrue(await bench.renewal.ensure_lease(PRIMARY))
            answered = await bench.begin_held_renewal()
            since = bench.clock.boottime()
            asking = asyncio.ensure_future(bench.renewal.ensure_lease(PRIMARY, since=since))
            await asyncio.sleep(STATUS_S)
            answered.set()
            self.assertTrue(await asking)
            self.assertTrue(bench.renewal.has_lease(PRIMARY, since=since))

        run_virtual(scenario())

    def test_lease_that_ends_during_its_renewals_is_answered(self) -> None:
        """Guards against a statement without an answer in a process that stands still again."""

        async def scenario() -> None:
            bench = RenewalBench()

            async def read_status_slowly(*, timeout_s: float) -> ReplicationStatus:
                bench.clock.suspended_s += 2 * LEASE_S
                return ReplicationStatus(
                    role=ServerRole.REPLICA, term=1, received=Position(term=1, number=1)
                )

            bench.sessions[REPLICA.id].read_status = read_status_slowly  # type: ignore[method-assign]
            self.assertFalse(await bench.renewal.ensure_lease(PRIMARY))

        run_virtual(scenario())
