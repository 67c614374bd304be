"""Proxies that report usage on virtual time, their faults, and the checker of their calls."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from lentilring.catalog.source import ProxyEntry
from lentilring.gateways.messages import RunStatement, StatementAnswer, StatementKind
from lentilring.placement import rank_members
from lentilring.sessions.calls import StatementCall
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry
from lentilring.usage.counts import UsageCounts, Windows
from lentilring.usage.duty import RANK_KEY
from lentilring.usage.record import UsageRecords
from lentilring.usage.reports import ReportResult, UsageReport
from lentilring.usage.service import UsageReporter

from .fakes import FakeNetwork
from .limit_fleet import Gate, GatedClock, GatedTransport

WINDOW_S, LATE_S, LEASE_S = 5.0, 10.0, 3.0
# The loop's time 0 is the beginning of this window.
FIRST_WINDOW = 353_445_120
PROBE_S = 1.0


class SuspensionClock(GatedClock):
    """Read the loop's time; the monotonic time excludes suspensions."""

    def boottime(self) -> float:
        return asyncio.get_running_loop().time()


class GatedLocalStore(LocalStore):
    gate: Gate
    pause: Callable[[], None]
    pauses_after_put = False

    async def get(self, *args: Any) -> Any:
        try:
            return await super().get(*args)
        finally:
            await self.gate.pass_through()

    async def put(self, *args: Any, **values: Any) -> Any:
        try:
            return await super().put(*args, **values)
        finally:
            if self.pauses_after_put:
                self.pauses_after_put = False
                self.pause()
            await self.gate.pass_through()


@dataclass(frozen=True, kw_only=True)
class Call:
    at: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]
    result: ReportResult
    is_answered: bool


class Platform:
    """Execute calls as the platform does; silent, it executes them `late_s` later, unanswered."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.is_silent, self.late_s, self.busy_calls = False, 3.0, 0
        self.late_calls = 0
        self.rejected_windows: set[int] = set()
        self.fence = 0

    def execute(
        self, report: UsageReport, holder: str, token: int, is_answered: bool
    ) -> ReportResult:
        result = ReportResult.ACCEPTED
        if token < self.fence:
            result = ReportResult.FENCED
        elif report.window - FIRST_WINDOW in self.rejected_windows:
            result = ReportResult.REJECTED
        elif self.busy_calls > 0:
            self.busy_calls -= 1
            result = ReportResult.BUSY
        else:
            self.fence = token
        call = Call(
            at=asyncio.get_running_loop().time(),
            holder=holder,
            token=token,
            window=report.window - FIRST_WINDOW,
            counts=dict(report.counts),
            result=result,
            is_answered=is_answered,
        )
        self.calls.append(call)
        return result

    def list_accepted(self) -> dict[int, Call]:
        """Return the first accepted call of each window."""
        accepted = [call for call in self.calls if call.result is ReportResult.ACCEPTED]
        return {call.window: call for call in reversed(accepted)}

    def find_faults(self) -> list[str]:
        """Return which rules the calls break."""
        faults = []
        holders: dict[int, str] = {}
        fenced: set[tuple[str, int]] = set()
        counts = {window: call.counts for window, call in self.list_accepted().items()}
        for call in self.calls:
            if holders.setdefault(call.token, call.holder) != call.holder:
                faults.append(f"token of two holders: {call}")
            # A holder does not learn of the refusal of an unanswered call.
            if call.is_answered and (call.holder, call.token) in fenced:
                faults.append(f"call after a refusal of its token: {call}")
            if call.is_answered and call.result is ReportResult.FENCED:
                fenced.add((call.holder, call.token))
            if counts.get(call.window, call.counts) != call.counts:
                faults.append(f"two counts of a window: {call}")
        # When the platform executes a call is not up to its holder.
        return faults if self.late_calls else faults + self._find_returns()

    def _find_returns(self) -> list[str]:
        """Return where a holder acts again within the lease, after another one in between.

        Calls that were refused for their token changed nothing; a process that is suspended between
        its check and its call cannot prevent them.
        """
        faults = []
        acts = [call for call in self.calls if call.result is not ReportResult.FENCED]
        for first, call in enumerate(acts):
            for last in acts[first + 1 :]:
                if last.holder == call.holder and last.at - call.at < LEASE_S:
                    between = [entry for entry in acts if call.at < entry.at < last.at]
                    if any(entry.holder != call.holder for entry in between):
                        faults.append(f"{call} and {last} with another holder in between")
        return faults


class PlatformClient:
    """Call the platform for one proxy; `is_paused_at_send` suspends it after its check."""

    is_paused_at_send = False

    def __init__(self, proxy: "Proxy") -> None:
        self._proxy, self._platform = proxy, proxy.fleet.platform

    async def send(self, report: UsageReport, *, holder: str, token: int) -> ReportResult:
        if self.is_paused_at_send:
            self.is_paused_at_send = False
            self._proxy.pause()
        await self._proxy.gate.pass_through()
        platform = self._platform
        if not platform.is_silent:
            await asyncio.sleep(0.01)
            result = platform.execute(report, holder, token, True)
            await self._proxy.gate.pass_through()
            return result
        platform.late_calls += 1
        loop = asyncio.get_running_loop()
        loop.call_later(platform.late_s, platform.execute, report, holder, token, False)
        await asyncio.sleep(1.5)
        await self._proxy.gate.pass_through()
        return ReportResult.UNKNOWN


class Proxy:
    """One process; it is also its own view of the fleet."""

    is_synchronized = True
    clock_error_s = 0.0

    def __init__(self, *, fleet: "UsageFleet", entry: ProxyEntry) -> None:
        self.fleet, self.local, self.gate = fleet, entry, Gate()
        self.suspects: set[str] = set()
        self.clock, self.store = SuspensionClock(), GatedLocalStore(table=fleet.table)
        self.transport = GatedTransport(network=fleet.network, vm=entry.vm, address=entry.address)
        self.clock.gate = self.store.gate = self.transport.gate = self.gate
        self.store.pause = self.pause
        self.platform = PlatformClient(self)
        self.telemetry = Telemetry()
        self._paused_at = 0.0
        windows = Windows(
            length_s=WINDOW_S,
            now=self.read_time,
        )
        self.counts = UsageCounts(windows=windows)
        self.service = UsageReporter(
            counts=self.counts,
            late_s=LATE_S,
            lease_s=LEASE_S,
            records=UsageRecords(
                store=self.store, vm=entry.vm, find_era=lambda: 1, clock=self.clock
            ),
            platform=self.platform,
            fleet=self,  # type: ignore[arg-type]
            transport=self.transport,
            clock=self.clock,
            telemetry=self.telemetry,
        )

    def read_time(self) -> float:
        """Return the seconds since the start of 1970 by this VM's clock."""
        return FIRST_WINDOW * WINDOW_S + self.clock.boottime() + self.clock_error_s

    def others(self) -> tuple[ProxyEntry, ...]:
        return tuple(entry for vm, entry in self.fleet.entries.items() if vm != self.local.vm)

    def rank(self, key: str) -> list[ProxyEntry]:
        working = [entry for entry in self.fleet.entries.values() if not entry.is_leaving]
        return rank_members(key, working)

    def is_suspect(self, vm: str) -> bool:
        return vm in self.suspects

    def mark_suspect(self, vm: str, detail: str) -> None:
        self.suspects.add(vm)
        asyncio.get_running_loop().call_later(PROBE_S, self._probe, vm)

    def _probe(self, vm: str) -> None:
        network, entry = self.fleet.network, self.fleet.entries.get(vm)
        is_reached = entry is not None and network.can_reach(self.local.address, entry.address)
        if entry is None or (is_reached and network.transports[entry.address].paused is None):
            self.suspects.discard(vm)
        else:
            asyncio.get_running_loop().call_later(PROBE_S, self._probe, vm)

    def serve(self, account: str, requests: int = 1) -> None:
        """Count requests of an account that a server ran."""
        request = RunStatement(
            request_id="r", server="s", account=account, work=StatementKind.READ, text="READ a"
        )
        for _ in range(requests):
            call = StatementCall(request_id="r", text="READ a", work=StatementKind.READ)
            self.counts.record(call, request, StatementAnswer(), age_s=0.0)

    def pause(self) -> None:
        """Suspend the process, as its VM is."""
        if self.gate.closed is None:
            self.gate.closed = self.transport.paused = asyncio.Event()
            self._paused_at = self.clock.boottime()

    def resume(self) -> None:
        assert self.gate.closed is not None
        event, self.gate.closed, self.transport.paused = self.gate.closed, None, None
        self.clock.offset_s -= self.clock.boottime() - self._paused_at
        event.set()

    def kill(self) -> None:
        self.gate.closed = asyncio.Event()
        self.transport.closed = True


class UsageFleet:
    """Run proxies in order of their rank: the first one is the reporter."""

    def __init__(self, *, proxies: int = 4) -> None:
        self.table, self.network, self.platform = ObjectTable(), FakeNetwork(), Platform()
        entries = [
            ProxyEntry(
                vm=f"vm-{number}",
                address=f"10.0.0.{number}:7000",
                failure_domain="casa-a",
                region="casa",
                incarnation=1,
                weight=1.0,
            )
            for number in range(proxies)
        ]
        entries = rank_members(RANK_KEY, entries)
        self.entries = {entry.vm: entry for entry in entries}
        self.proxies = [Proxy(fleet=self, entry=entry) for entry in entries]
        self.ended: list[Proxy] = []

    async def start(self) -> None:
        for proxy in self.proxies:
            await proxy.service.start()

    async def restart(self, index: int) -> Proxy:
        """Kill a process and start a new one on its VM."""
        old = self.proxies[index]
        old.kill()
        self.ended.append(old)
        entry = replace(old.local, incarnation=old.local.incarnation + 1)
        self.entries[entry.vm] = entry
        self.proxies[index] = Proxy(fleet=self, entry=entry)
        await self.proxies[index].service.start()
        return self.proxies[index]

    def serve_all(self, requests: int = 1) -> None:
        for proxy in self.proxies:
            proxy.serve("planner", requests)

    async def run_until(self, at: float) -> None:
        await asyncio.sleep(at - asyncio.get_running_loop().time())


async def play_random_faults(
    fleet: UsageFleet, source: Random, *, is_platform_silent: bool
) -> None:
    """Play faults at the first proxies of the rank and end all of them."""
    kinds = ["pause", "restart", "store", "record", "send", "lose", "cut"]
    if is_platform_silent:
        kinds.append("silent")
    for _ in range(30):
        await asyncio.sleep(source.uniform(0.1, 4.0))
        proxy, kind = source.choice(fleet.proxies[:3]), source.choice(kinds)
        fleet.serve_all()
        if proxy.gate.closed is not None:
            proxy.resume()
        elif kind == "pause":
            proxy.pause()
        elif kind == "restart":
            await fleet.restart(fleet.proxies.index(proxy))
        elif kind == "store":
            proxy.store.down = not proxy.store.down
        elif kind == "record":
            proxy.store.pauses_after_put = True
        elif kind == "send":
            proxy.platform.is_paused_at_send = True
        elif kind == "lose":
            proxy.store.lose_next_answers = 1
        elif kind == "silent":
            fleet.platform.is_silent = not fleet.platform.is_silent
        elif fleet.network.cut_links:
            fleet.network.heal()
        else:
            fleet.network.isolate(proxy.local.address)
    fleet.network.heal()
    fleet.platform.is_silent = False
    for proxy in fleet.proxies:
        proxy.store.down = False
        if proxy.gate.closed is not None:
            proxy.resume()
