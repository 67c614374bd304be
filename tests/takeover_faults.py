"""Faults between the steps of takeovers, as a seed orders them."""

import asyncio
from collections.abc import Callable

from lentilring.catalog.model import ServerRole
from lentilring.catalog.source import RecordKind

from .takeover_proxies import MANIFEST, ModelProxy, PeerNetwork, track_tasks
from .takeover_world import DOMAINS, ModelServer, World

# Registrations are taken for complete after 2.5 s, and the copies are recorded then.
SETTLED_S = 3.5
PLAY_S = 9.0
MAX_LATER_FAULTS = 3
# A takeover ends within this time, unless it has to wait.
TAKEOVER_S = 3.0
# After the first failure of a primary, another one may follow.
MIN_RECOVERY_S = 2.0
# A primary is back before it is replaced, or long after.
PRIMARY_DARK_S = ((1.0, 2.5), (0.5, 7.0))
# Share of the steps of takeovers before which something fails, one of these for each seed.
FAULT_SHARES = (0.02, 0.05, 0.2)
# A call for a promotion cannot be taken back, so more may fail while it runs.
CALL_WEIGHT = 4.0
MAX_FAULTS = 8
REPLICA_DOWN_S = (0.05, 0.6)
MAX_SERVERS = 5
CRASH_WEIGHT = 6
ADDED_WEIGHT = 4
# A seed plays a few kinds of faults, so that these meet each other more often.
MIN_KINDS, MAX_KINDS = 1, 4
MAX_EARLY_FAULTS = 2
# Share of the seeds in which one replica alone has the newest commits as the primary fails.
DEAF_SHARE = 0.6
# Before the primary fails.
EARLY_S = 1.5

# Other steps, such as those of writers, are too many to fail before.
TAKEOVER_STEPS = (
    "get promotion",
    "put promotion",
    "answer to put promotion",
    "pause",
    "resume",
    "step down",
    "promote",
    "answer to promote",
    "list servers",
)


class TakeoverScene:
    """Play a service whose primary fails, with other faults between the steps of takeovers."""

    def __init__(
        self,
        *,
        seed: int,
        registers_late: bool = False,
        adds_servers: bool = False,
    ) -> None:
        self.world = World(seed=seed, registers_late=registers_late)
        self._random = self.world.random
        self._network = PeerNetwork(world=self.world)
        self.proxies: list[ModelProxy] = []
        self._running: asyncio.Task[None] | None = None
        self._incarnations = 0
        self._faults = 0
        self._fault_share = self._random.choice(FAULT_SHARES)
        kinds: list[Callable[[], None]] = [
            *[self._crash_replica] * CRASH_WEIGHT,
            self._crash_primary,
            self._darken_server,
            self._deafen_replica,
            self._cut_from_store,
            self._silence_watch,
            self._drain_primary,
            self._restart_behind_cut,
            self._partition,
            self._restart_proxy,
            self._restart_all_proxies,
            self._freeze_proxy,
            self._delay_promotion,
            self._lose_promotion_answer,
        ]
        if adds_servers:
            kinds += [self._add_server] * ADDED_WEIGHT
        self._kinds = self._random.sample(kinds, self._random.randint(MIN_KINDS, MAX_KINDS))

    async def play(self) -> None:
        """Play for PLAY_S after the first failure of the primary."""
        self.start()
        await asyncio.sleep(SETTLED_S)
        if self._random.random() < DEAF_SHARE:
            self._deafen_replica()
        for _ in range(self._random.randint(0, MAX_EARLY_FAULTS)):
            self._later(self._random.choice(self._kinds), after_s=(0.0, EARLY_S))
        await asyncio.sleep(EARLY_S)
        self.world.on_step = self._consider_fault
        self._fail_primary()
        for _ in range(self._random.randint(0, MAX_LATER_FAULTS)):
            self._later(self._random.choice(self._kinds), after_s=(0.0, TAKEOVER_S))
        self._later(self._fail_primary, after_s=(MIN_RECOVERY_S, PLAY_S))
        await asyncio.sleep(PLAY_S)
        self.stop()

    def start(self) -> None:
        """Start the servers and proxies."""
        track_tasks(asyncio.get_running_loop())
        self.world.store.put_record(RecordKind.MANIFEST, "manifest", MANIFEST)
        self._running = asyncio.ensure_future(self.world.run())
        for number in range(len(DOMAINS)):
            self.proxies.append(self._start_proxy(number))

    def stop(self) -> None:
        """End the proxies and the servers."""
        for proxy in self.proxies:
            proxy.kill()
        if self._running is not None:
            self._running.cancel()

    def _fail_primary(self) -> None:
        self._random.choice([self._crash_primary, self._darken_primary, self._partition])()

    def _start_proxy(self, number: int) -> ModelProxy:
        self._incarnations += 1
        proxy = ModelProxy(
            world=self.world,
            network=self._network,
            number=number,
            incarnation=self._incarnations,
        )
        proxy.start()
        return proxy

    def _consider_fault(self, party: str, step: str) -> None:
        """Perhaps let something fail before a step of a takeover."""
        if not step.startswith(TAKEOVER_STEPS):
            return
        self.world.note(f"{party} {step}")
        share = self._fault_share * (CALL_WEIGHT if step.startswith("promote") else 1.0)
        if self._faults < MAX_FAULTS and self._random.random() < share:
            self._faults += 1
            self._random.choice(self._kinds)()

    def _later(self, action: Callable[[], None], *, after_s: tuple[float, float]) -> None:
        asyncio.get_running_loop().call_later(self._random.uniform(*after_s), action)

    def _choose(self, *, primary: bool) -> ModelServer | None:
        servers = [
            server
            for server in self.world.servers.values()
            if server.is_up and (server.role is ServerRole.PRIMARY) == primary
        ]
        return self._random.choice(servers) if servers else None

    def _crash_replica(self) -> None:
        if server := self._choose(primary=False):
            self.world.crash(server, for_s=self._random.uniform(*REPLICA_DOWN_S))

    def _crash_primary(self) -> None:
        if server := self._choose(primary=True):
            self.world.crash(server, for_s=self._random.uniform(0.1, 7.0))

    def _darken_primary(self) -> None:
        if server := self._choose(primary=True):
            self._darken(server.id, after_s=self._random.choice(PRIMARY_DARK_S))

    def _darken_server(self) -> None:
        self._darken(self._random.choice(list(self.world.servers)), after_s=(0.2, 3.0))

    def _freeze_proxy(self) -> None:
        self._darken(self._random.choice(self.proxies).vm, after_s=(0.2, 3.0))

    def _darken(self, party: str, *, after_s: tuple[float, float]) -> None:
        self._keep_in(self.world.dark, party, fault="dark", after_s=after_s)

    def _keep_in(
        self, group: set[str], party: str, *, fault: str, after_s: tuple[float, float]
    ) -> None:
        """Let a fault hold for one party, until a random time."""
        self.world.note(f"{fault} {party}")
        group.add(party)

        def end() -> None:
            self.world.note(f"end of {fault} {party}")
            group.discard(party)

        self._later(end, after_s=after_s)

    def _deafen_replica(self) -> None:
        if server := self._choose(primary=False):
            chosen = server
            self.world.note(f"deaf {chosen.id}")
            chosen.receives = False

            def hear() -> None:
                self.world.note(f"hears {chosen.id}")
                chosen.receives = True

            self._later(hear, after_s=(1.0, 9.0))

    def _cut_from_store(self) -> None:
        self._cut_off_store(self._random.choice(self._list_parties()))

    def _restart_behind_cut(self) -> None:
        """Let a replica that cannot register start again, so that its entry is an old one."""
        if server := self._choose(primary=False):
            self._cut_off_store(server.id)
            self.world.crash(server, for_s=self._random.uniform(*REPLICA_DOWN_S))

    def _list_parties(self) -> list[str]:
        return [*self.world.servers, *(proxy.vm for proxy in self.proxies)]

    def _cut_off_store(self, party: str) -> None:
        self._keep_in(self.world.without_store, party, fault="no store", after_s=(0.5, 9.0))

    def _silence_watch(self) -> None:
        vm = self._random.choice(self.proxies).vm
        self._keep_in(self.world.silent_watches, vm, fault="silent watches", after_s=(1.0, 9.0))

    def _drain_primary(self) -> None:
        if server := self._choose(primary=True):
            self.world.note(f"drain {server.id}")
            server.is_draining = True

    def _partition(self) -> None:
        if self.world.far:
            return
        self.world.far = set(self._random.sample(self._list_parties(), self._random.randint(1, 3)))
        self.world.note(f"cut off {','.join(sorted(self.world.far))}")

        def heal() -> None:
            self.world.note("healed")
            self.world.far = set()

        self._later(heal, after_s=(0.5, 5.0))

    def _restart_proxy(self) -> None:
        number = self._random.randrange(len(self.proxies))
        self.world.note(f"restart vm-{number}")
        self.proxies[number].kill()
        self.proxies[number] = self._start_proxy(number)

    def _restart_all_proxies(self) -> None:
        for number in range(len(self.proxies)):
            self.world.note(f"restart vm-{number}")
            self.proxies[number].kill()
            self.proxies[number] = self._start_proxy(number)

    def _add_server(self) -> None:
        if len(self.world.servers) < MAX_SERVERS:
            self.world.add_server()

    def _delay_promotion(self) -> None:
        self._random.choice(self.proxies).promotion.delay_s = self._random.uniform(0.5, 3.0)

    def _lose_promotion_answer(self) -> None:
        self._random.choice(self.proxies).promotion.loses_answer = True
