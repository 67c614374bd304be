"""Faults of a soak: a seeded schedule of single, consecutive and overlapping faults."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from ..standin.prepared.servers import StandinServer
from ..telemetry.log import Log
from .deployment import GRACE_S, RESTART_S, ProxyProcess, SoakDeployment
from .history import History, Withdrawal
from .relay import LinkFault

MAX_GAP_S = 2.5
MAX_FAULT_S = 4.0
# Faults overlap, so that each kind also occurs together with others.
MAX_CONCURRENT_FAULTS = 2
LINK_FAULTS = (
    LinkFault.DELAY,
    LinkFault.CUT_REQUESTS,
    LinkFault.CUT_ANSWERS,
    LinkFault.SILENCE_OPEN,
    LinkFault.REFUSE,
)

# How long a store is away before it returns from an older copy, and until others write again.
MAX_RESTORE_S = 1.0
MAX_REWRITE_S = 0.5
MAX_COPY_AGE_S = 9.0
MAX_RESTORATION_GAP_S = 6.0

log = Log(source="soak")


@dataclass(frozen=True, kw_only=True)
class FaultKind:
    """Name a fault and the function that injects it, waits and ends it."""

    name: str
    inject: Callable[[float], Awaitable[None]]


class FaultPlayer:
    """Inject random faults for a time, then end all of them."""

    def __init__(
        self,
        *,
        deployment: SoakDeployment,
        history: History,
        random: Random,
        restorations: Random,
    ) -> None:
        self._deployment, self._history, self._random = deployment, history, random
        # Apart from the other faults, so that these stay the same for a seed.
        self._restorations = restorations
        self._affected: set[str] = set()
        self._kinds = (
            FaultKind(name="kill", inject=self._kill),
            FaultKind(name="kill_many", inject=self._kill_many),
            FaultKind(name="pause", inject=self._pause),
            FaultKind(name="stop", inject=self._stop),
            FaultKind(name="store_link", inject=self._disturb_store_link),
            FaultKind(name="store_down", inject=self._take_store_down),
            FaultKind(name="store_answers_lost", inject=self._lose_store_answers),
            FaultKind(name="store_history", inject=self._forget_history),
            FaultKind(name="server_link", inject=self._disturb_server_link),
            FaultKind(name="server_crash", inject=self._crash_server),
            FaultKind(name="server_leaves", inject=self._drain_server),
            FaultKind(name="server_answers_lost", inject=self._lose_server_answers),
            FaultKind(name="replication_stopped", inject=self._stop_replication),
            FaultKind(name="key_withdrawn", inject=self._withdraw_key),
            FaultKind(name="configuration", inject=self._change_configuration),
        )
        self.played: list[str] = []

    async def play(self, *, duration_s: float) -> None:
        """Inject faults for `duration_s` seconds, then wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        running: set[asyncio.Task[None]] = set()
        restoring = asyncio.ensure_future(self._restore_store_repeatedly(end))
        while loop.time() < end:
            await asyncio.sleep(self._random.uniform(0.1, MAX_GAP_S))
            running = {task for task in running if not task.done()}
            if len(running) < MAX_CONCURRENT_FAULTS:
                kind = self._random.choice(self._kinds)
                fault_s = self._random.uniform(0.3, MAX_FAULT_S)
                running.add(asyncio.ensure_future(self._inject(kind, fault_s)))
        await asyncio.gather(restoring, *running)

    async def _inject(self, kind: FaultKind, fault_s: float) -> None:
        log.info("fault_begun", kind=kind.name, duration_s=round(fault_s, 2))
        self.played.append(kind.name)
        await kind.inject(fault_s)
        log.info("fault_ended", kind=kind.name)

    def _choose_proxy(self) -> ProxyProcess | None:
        """Return a proxy that no fault has signalled and mark it; keep at least one untouched."""
        free = [proxy for proxy in self._deployment.proxies if proxy.vm not in self._affected]
        if len(free) < 2:
            return None
        proxy = self._random.choice(free)
        self._affected.add(proxy.vm)
        return proxy

    async def _kill(self, fault_s: float) -> None:
        proxy = self._choose_proxy()
        if proxy is not None:
            proxy.kill()
            await self._start_again(proxy)

    async def _kill_many(self, fault_s: float) -> None:
        proxies = [proxy for proxy in self._deployment.proxies if proxy.vm not in self._affected]
        self._affected |= {proxy.vm for proxy in proxies}
        for proxy in proxies:
            proxy.kill()
        await asyncio.gather(*(self._start_again(proxy) for proxy in proxies))

    async def _start_again(self, proxy: ProxyProcess) -> None:
        await asyncio.sleep(RESTART_S)
        proxy.start()
        self._affected.discard(proxy.vm)

    async def _pause(self, fault_s: float) -> None:
        proxy = self._choose_proxy()
        if proxy is not None:
            proxy.send(signal.SIGSTOP)
            await asyncio.sleep(fault_s)
            proxy.send(signal.SIGCONT)
            self._affected.discard(proxy.vm)

    async def _stop(self, fault_s: float) -> None:
        proxy = self._choose_proxy()
        if proxy is not None:
            proxy.send(signal.SIGTERM)
            await proxy.wait(within_s=GRACE_S)
            await self._start_again(proxy)

    async def _disturb_store_link(self, fault_s: float) -> None:
        link = self._random.choice(self._deployment.proxies).store_link
        link.begin(self._random.choice(LINK_FAULTS), delay_s=self._random.uniform(0.05, 0.4))
        await asyncio.sleep(fault_s)
        link.end()

    async def _take_store_down(self, fault_s: float) -> None:
        self._deployment.store.faults.down = True
        await asyncio.sleep(fault_s)
        self._deployment.store.faults.down = False

    async def _lose_store_answers(self, fault_s: float) -> None:
        self._deployment.store.faults.lose_answers += self._random.randrange(1, 4)
        await asyncio.sleep(fault_s)
        self._deployment.store.faults.lose_answers = 0

    async def _forget_history(self, fault_s: float) -> None:
        self._deployment.store.forget_history()

    async def _restore_store_repeatedly(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self._restorations.uniform(0.0, MAX_RESTORATION_GAP_S))
            age_s = self._restorations.uniform(0.3, MAX_COPY_AGE_S)
            await self._inject(FaultKind(name="store_restored", inject=self._restore_store), age_s)

    async def _restore_store(self, copy_age_s: float) -> None:
        """Let the store return from an older copy; operator and servers write again."""
        store, random = self._deployment.store, self._restorations
        older = store.make_copy()
        await asyncio.sleep(copy_age_s)
        store.faults.down = True
        await asyncio.sleep(random.uniform(0.0, MAX_RESTORE_S))
        store.restore(older)
        store.faults.down = False
        await asyncio.sleep(random.uniform(0.0, MAX_REWRITE_S))
        self._deployment.write_again()

    async def _disturb_server_link(self, fault_s: float) -> None:
        link = self._deployment.server_links[self._choose_server().id]
        if self._random.random() < 0.3:
            link.reset()
            return
        link.begin(self._random.choice(LINK_FAULTS), delay_s=self._random.uniform(0.02, 0.3))
        await asyncio.sleep(fault_s)
        link.end()

    async def _crash_server(self, fault_s: float) -> None:
        """Crash one server; only one at a time, as only two servers have an acknowledged commit."""
        group = self._deployment.group
        server = self._choose_server()
        if any(entry.faults.down or entry.faults.receives_nothing for entry in group.servers):
            return
        await server.stop()
        await asyncio.sleep(fault_s)
        await self._deployment.restart_server(server)

    async def _drain_server(self, fault_s: float) -> None:
        server = self._choose_server()
        if not server.faults.down:
            self._deployment.register(server, state="draining")
            await asyncio.sleep(fault_s)
            self._deployment.register(server)

    async def _lose_server_answers(self, fault_s: float) -> None:
        server = self._choose_server()
        server.faults.lose_answers += self._random.randrange(1, 6)
        await asyncio.sleep(fault_s)
        server.faults.lose_answers = 0

    async def _stop_replication(self, fault_s: float) -> None:
        group = self._deployment.group
        replicas = [entry for entry in group.servers if entry is not group.leader]
        replica = self._random.choice(replicas)
        if any(entry.faults.down or entry.faults.receives_nothing for entry in group.servers):
            return
        replica.faults.receives_nothing = True
        await asyncio.sleep(fault_s)
        replica.faults.receives_nothing = False
        group.catch_up(replica)

    async def _withdraw_key(self, fault_s: float) -> None:
        account = self._random.choice(sorted(self._deployment.keys))
        keys = self._deployment.keys[account]
        keys.append(f"{account}-key-{self._random.getrandbits(32):08x}")
        if len(keys) > 2:
            withdrawn = keys.pop(0)
            now = asyncio.get_running_loop().time()
            self._history.withdrawals.append(Withdrawal(key=withdrawn, at=now))
        self._deployment.put_configuration()

    async def _change_configuration(self, fault_s: float) -> None:
        for _ in range(self._random.randrange(1, 5)):
            self._deployment.put_configuration()
            await asyncio.sleep(fault_s / 8)

    def _choose_server(self) -> StandinServer:
        return self._random.choice(self._deployment.group.servers)
