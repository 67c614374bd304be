"""A fleet of limit services on virtual time, its faults, and the checker of its admissions."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from lentilring.configuration.models import ClientAccount, LimitSettings
from lentilring.limits.service import LimitService
from lentilring.outcomes import NotRun
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry

from .fakes import AdjustableClock, FakeNetwork, FakeTransport

DETECTION_S = 1.0  # until gossip drops a member that does not answer


@dataclass(frozen=True, kw_only=True)
class LimitMember:
    vm: str
    address: str
    failure_domain: str
    region: str
    incarnation: int = 1
    weight: float = 1.0


def make_account(name: str, rate: float, burst: float) -> ClientAccount:
    return ClientAccount(
        name=name,
        rate_per_s=rate,
        burst=burst,
        max_staleness_s=None,
        services=(),
        open_routes=(),
        key_hashes=(),
    )


def find_excess(uses: list[tuple[float, float]], *, rate: float, burst: float) -> float:
    """Return by how much the worst window exceeds burst + rate * w; uses are (time, amount).

    A window from the first to the last use of a run is the worst one for that run. With
    prefix(j) = sum - rate * time, all pairs are checked in one pass by the least start so far.
    """
    worst, total, least = float("-inf"), 0.0, float("inf")
    for time, amount in sorted(uses):
        least = min(least, total - rate * time)
        total += amount
        worst = max(worst, total - rate * time - least - burst)
    return worst


class Gate:
    """Hold back everything that a paused process would do next."""

    def __init__(self) -> None:
        self.closed: asyncio.Event | None = None

    async def pass_through(self) -> None:
        while self.closed is not None:
            await self.closed.wait()


class GatedClock(AdjustableClock):
    gate: Gate

    async def sleep(self, seconds: float) -> None:
        await super().sleep(seconds)
        await self.gate.pass_through()


class GatedStore(LocalStore):
    gate: Gate

    async def _reach(self, operation: str) -> None:
        await super()._reach(operation)
        await self.gate.pass_through()

    async def put(self, *args: Any, **values: Any) -> Any:
        try:
            return await super().put(*args, **values)
        finally:
            await self.gate.pass_through()


class GatedTransport(FakeTransport):
    gate: Gate

    async def call(self, address: str, request: object, *, timeout_s: float) -> object:
        try:
            return await super().call(address, request, timeout_s=timeout_s)
        finally:
            await self.gate.pass_through()


class Proxy:
    """One process with its own clock, store client and transport."""

    def __init__(self, *, fleet: "Fleet", member: LimitMember, clock_rate: float) -> None:
        self.fleet, self.member, self.gate = fleet, member, Gate()
        clock = GatedClock(offset_s=100.0 * member.incarnation, rate=clock_rate)
        self.store = GatedStore(table=fleet.table)
        self.transport = GatedTransport(
            network=fleet.network,
            vm=member.vm,
            address=member.address,
            incarnation=member.incarnation,
        )
        clock.gate = self.store.gate = self.transport.gate = self.gate
        self.telemetry = Telemetry()
        self.accounts, self.shares = dict(fleet.accounts), fleet.shares
        self.service = LimitService(
            clock=clock,
            random=Random(f"{fleet.seed}-{member.vm}-{member.incarnation}"),
            store=self.store,
            transport=self.transport,
            telemetry=self.telemetry,
            membership=self,
            find_account=lambda name: self.accounts.get(name),
            limit_settings=lambda: LimitSettings(shares=self.shares),
            list_accounts=lambda: tuple(self.accounts.values()),
            lease_duration_s=fleet.lease_duration_s,
            lease_margin_s=fleet.lease_margin_s,
            clock_tolerance=fleet.clock_tolerance,
        )

    @property
    def local(self) -> LimitMember:
        return self.member

    def members(self) -> tuple[LimitMember, ...]:
        return self.fleet.members

    def process_has_ended(self, vm: str, incarnation: int) -> bool:
        return self.fleet.early_takeover and (
            vm not in self.fleet.vm_list or incarnation < self.fleet.vm_list[vm]
        )

    def kill(self) -> None:
        """End the process: nothing of it runs again."""
        self.gate.closed = asyncio.Event()
        self.transport.closed = True
        self.fleet.call_later(DETECTION_S, self.fleet.drop_member, self.member)

    def pause(self) -> None:
        self.gate.closed = self.transport.paused = asyncio.Event()
        self.fleet.call_later(DETECTION_S, self.fleet.drop_member, self.member)

    def resume(self) -> None:
        event, self.gate.closed, self.transport.paused = self.gate.closed, None, None
        assert event is not None
        event.set()
        self.fleet.call_later(DETECTION_S, self.fleet.add_member, self.member)

    @property
    def running(self) -> bool:
        return self.gate.closed is None


class Fleet:
    def __init__(
        self,
        *,
        accounts: list[ClientAccount],
        proxies: int = 9,
        shares: int = 8,
        seed: int = 1,
        lease_duration_s: float = 1800.0,
        lease_margin_s: float = 20.0,
        early_takeover: bool = True,
        clock_tolerance: float = 0.0005,
        clock_rates: tuple[float, ...] = (1.0,),
    ) -> None:
        self.accounts = {account.name: account for account in accounts}
        self.shares, self.seed, self.early_takeover = shares, seed, early_takeover
        self.lease_duration_s, self.lease_margin_s = lease_duration_s, lease_margin_s
        self.clock_tolerance = clock_tolerance
        self.random = Random(seed)
        self.table, self.network = ObjectTable(), FakeNetwork()
        self.members: tuple[LimitMember, ...] = ()
        self.vm_list: dict[str, int] = {}
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[tuple[float, NotRun]]] = defaultdict(list)
        self.arrivals: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.proxies: list[Proxy] = []
        self.ended: list[Proxy] = []  # kept, or the garbage collector would end their tasks
        for number in range(proxies):
            member = LimitMember(
                vm=f"vm{number}",
                address=f"10.0.0.{number}:7000",
                failure_domain=f"fd{number % 3}",
                region="r0",
            )
            rate = clock_rates[number % len(clock_rates)]
            self.proxies.append(self.add_proxy(member, clock_rate=rate))

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def add_proxy(self, member: LimitMember, *, clock_rate: float = 1.0) -> Proxy:
        self.vm_list[member.vm] = member.incarnation
        self.add_member(member)
        return Proxy(fleet=self, member=member, clock_rate=clock_rate)

    def add_member(self, member: LimitMember) -> None:
        if self.vm_list.get(member.vm) == member.incarnation:
            others = tuple(entry for entry in self.members if entry.vm != member.vm)
            self.members = (*others, member)

    def drop_member(self, member: LimitMember) -> None:
        proxy = next(entry for entry in self.proxies if entry.member.vm == member.vm)
        if proxy.member == member and not proxy.running:
            self.members = tuple(entry for entry in self.members if entry != member)

    def remove_from_vm_list(self, member: LimitMember) -> None:
        if self.vm_list.get(member.vm) == member.incarnation:
            del self.vm_list[member.vm]

    def call_later(self, seconds: float, callback: Any, *args: Any) -> None:
        asyncio.get_running_loop().call_later(seconds, callback, *args)

    async def start(self, *, settle_s: float = 30.0) -> None:
        for proxy in self.proxies:
            await proxy.service.start()
        await asyncio.sleep(settle_s)

    async def restart(self, index: int) -> Proxy:
        """Start a new process on the VM of one that was killed."""
        old = self.proxies[index].member
        proxy = self.add_proxy(replace(old, incarnation=old.incarnation + 1))
        self.ended.append(self.proxies[index])
        self.proxies[index] = proxy
        await proxy.service.start()
        return proxy

    def find_holder(self, share: int) -> Proxy:
        return next(entry for entry in self.proxies if share in entry.service.lender.tenures)

    def find_busiest_holder(self) -> Proxy:
        return max(self.proxies, key=lambda entry: len(entry.service.lender.tenures))

    def configure(self, *, account: ClientAccount | None = None, shares: int = 0) -> None:
        """Change the configuration, which reaches the proxies one after the other within 2 s."""
        if account is not None:
            self.accounts[account.name] = account
        self.shares = shares or self.shares
        for number, proxy in enumerate(self.proxies):
            self.call_later(2.0 * number / len(self.proxies), self._apply, proxy)

    def _apply(self, proxy: Proxy) -> None:
        proxy.accounts, proxy.shares = dict(self.accounts), self.shares

    async def request(self, proxy: Proxy, name: str, *, timeout_s: float = 1.0) -> NotRun | None:
        """Send one request to a proxy and log how it ends."""
        arrived = self.now
        outcome = await proxy.service.acquire(proxy.accounts[name], timeout_s=timeout_s)
        if outcome is None:
            self.admitted[name].append(self.now)
        else:
            self.refused[name].append((self.now, outcome))
        self.arrivals[name].append((arrived, outcome is None))
        return outcome

    async def load(
        self, name: str, *, rate: float, seconds: float, weights: list[float] | None = None
    ) -> None:
        """Send Poisson arrivals of an account to running proxies; weights spread them."""
        random = Random(f"{self.seed}-{name}")
        end = self.now + seconds
        weights = weights or [1.0] * len(self.proxies)
        while True:
            await asyncio.sleep(random.expovariate(rate))
            if self.now >= end:
                return
            # The balancer knows that a process ended only once connections to it fail.
            proxy = random.choices(self.proxies, weights)[0]
            if not proxy.running:
                proxy = random.choice([entry for entry in self.proxies if entry.running])
            task = asyncio.ensure_future(self.request(proxy, name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        await asyncio.sleep(2)

    def find_excess(self, *, burst: float = 0.0, after: float = 0.0) -> float:
        """Return the worst excess over all accounts and windows from a time on, in tokens."""
        return max(
            find_excess(
                [(time, 1.0) for time in times if time >= after],
                rate=self.accounts[name].rate_per_s,
                burst=burst or self.accounts[name].burst,
            )
            for name, times in self.admitted.items()
        )

    def count_refused(self) -> int:
        return sum(len(entries) for entries in self.refused.values())

    def count_admitted(self) -> int:
        return sum(len(entries) for entries in self.admitted.values())

    def count_calls(self, purpose: str) -> int:
        return sum(entry.telemetry.read("limit_calls", purpose=purpose) for entry in self.proxies)
