"""Planned stops in series that overlap, and the check that they cut no statement."""

import asyncio
import itertools
import re
import signal
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ..standin.prepared.caller import CallerLost, StatementClient
from .deployment import ProxyProcess, SoakDeployment, build_deployment

DATABASES = ("booking", "stock", "delivery")
CALLERS_PER_PROXY = 16
SLOTS = 2
# Work of a statement at a server, in seconds; a few take much longer.
MEDIAN_WORK_S = 0.025
WORK_SPREAD = 0.8
SLOW_SHARE = 0.03
SLOW_WORK_S = 0.6
# A caller's pause between two statements, in seconds, and its share of single operations.
MAX_PAUSE_S = 0.4
SINGLE_SHARE = 0.4
MAX_STATEMENTS = 12
# Share of the operations after which a caller resets its connection.
RESET_SHARE = 0.03
OPEN_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 10.0
# Times of the operator, in seconds.
MAX_OVERLAP_S = 1.0
MAX_STOP_PAUSE_S = 3.0
CHANGE_INTERVAL_S = 0.7
# A signal that comes before the program handles it ends a process that has read nothing.
EXPECTED_EXIT_CODES = (0, -signal.SIGTERM, -signal.SIGINT, -signal.SIGHUP, -signal.SIGKILL)
# A processor that runs only a part of each period, as under a usage limit.
PROCESSOR_PERIOD_S = 0.1
# A stop counts until this long after the grace period.
AFTER_GRACE_S = 1.0
# The part of the grace period in which a server may still work on an older statement.
LAST_PART = 1 / 6
EXCUSED_SENT_S = 3.0


@dataclass(kw_only=True)
class SentStatement:
    """Hold one statement of a caller; times are on the event loop's clock."""

    id: str
    text: str
    vm: str
    in_transaction: bool
    sent_at: float
    ended_at: float = 0.0
    is_answered: bool = False


@dataclass(kw_only=True)
class PlannedStop:
    """Hold one stop of a proxy's process; `was_killed` if it outlived the grace period."""

    vm: str
    began_at: float
    ended_at: float = 0.0
    was_killed: bool = False
    exit_code: int = 0

    @property
    def has_failed(self) -> bool:
        """Tell whether the process ended by an error of its own."""
        return self.exit_code not in EXPECTED_EXIT_CODES


@dataclass(frozen=True, kw_only=True)
class CutStatement:
    """Describe a statement that a planned stop left without an answer."""

    statement: SentStatement
    stop: PlannedStop
    ran: bool
    was_read: bool

    def describe(self) -> str:
        """Return one line with the times since the stop began."""
        statement, began_at = self.statement, self.stop.began_at
        kind = "transaction" if statement.in_transaction else "single"
        passed_on = "passed on" if self.ran else "read" if self.was_read else "not known to be read"
        end = "killed" if self.stop.was_killed else "ended"
        return (
            f"{statement.id} {statement.text.split(' ')[0]} ({kind}) at {statement.vm}, "
            f"{passed_on}; after SIGTERM: sent {statement.sent_at - began_at:.3f} s, "
            f"closed {statement.ended_at - began_at:.3f} s, "
            f"process {end} {self.stop.ended_at - began_at:.3f} s"
        )


@dataclass(kw_only=True)
class StopResult:
    """Hold the counts of one run and the statements that stops cut."""

    seed: int
    stops: list[PlannedStop]
    sent: int
    answered: int
    refused: Counter[str]
    cut: list[CutStatement]
    # Statements that a closed connection met on their way, as far as the proxies' logs tell.
    missed: list[CutStatement]

    @property
    def longest_s(self) -> float:
        """Return the longest time from SIGTERM to the end of a process."""
        return max((stop.ended_at - stop.began_at for stop in self.stops), default=0.0)

    @property
    def failed(self) -> int:
        """Return the number of processes that ended by an error of their own."""
        return sum(stop.has_failed for stop in self.stops)

    @property
    def killed(self) -> int:
        """Return the number of processes that outlived their grace period."""
        return sum(stop.was_killed for stop in self.stops)


@dataclass(kw_only=True)
class StopSeries:
    """Play stops on a deployment while its callers run."""

    deployment: SoakDeployment
    random: Random
    changes_settings: bool
    # Part of the time in which each proxy's process may run, from 0 to 1.
    processor_share: float
    sent: list[SentStatement] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    is_over: bool = False

    async def play(self, *, duration_s: float) -> None:
        """Run callers and stops for `duration_s` seconds, and let all callers end."""
        callers = [
            asyncio.ensure_future(self._run_caller(number))
            for number in range(CALLERS_PER_PROXY * len(self.deployment.proxies))
        ]
        others = [asyncio.ensure_future(self._change_settings())]
        if self.processor_share < 1:
            others += [
                asyncio.ensure_future(self._limit_processor(proxy))
                for proxy in self.deployment.proxies
            ]
        await asyncio.sleep(1.0)
        ends_at = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < ends_at:
            await self._stop_some()
            await asyncio.sleep(self.random.uniform(0.0, MAX_STOP_PAUSE_S))
        self.is_over = True
        for task in others:
            task.cancel()
        await asyncio.gather(*callers)

    async def _stop_some(self) -> None:
        """Stop some proxies, not all, up to MAX_OVERLAP_S apart; start each again at its end."""
        proxies = self.random.sample(
            self.deployment.proxies, self.random.randint(1, len(self.deployment.proxies) - 1)
        )
        stopping = []
        for proxy in proxies:
            stopping.append(asyncio.ensure_future(self._stop(proxy)))
            await asyncio.sleep(self.random.uniform(0.0, MAX_OVERLAP_S))
        await asyncio.gather(*stopping)

    async def _stop(self, proxy: ProxyProcess) -> None:
        loop = asyncio.get_running_loop()
        stop = PlannedStop(vm=proxy.vm, began_at=loop.time())
        self.stops.append(stop)
        proxy.send(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            proxy.send(self.random.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))
        kill_at = stop.began_at + self.deployment.grace_s
        while proxy.is_running and loop.time() < kill_at:
            await asyncio.sleep(0.01)
        stop.was_killed = proxy.is_running
        proxy.kill()
        stop.ended_at = loop.time()
        assert proxy.process is not None
        stop.exit_code = proxy.process.returncode
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        proxy.start()

    async def _change_settings(self) -> None:
        while self.changes_settings:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            self.deployment.put_configuration()
            self.random.choice(self.deployment.proxies).send(signal.SIGHUP)

    async def _limit_processor(self, proxy: ProxyProcess) -> None:
        """Suspend a process for a part of each period."""
        try:
            while True:
                proxy.send(signal.SIGSTOP)
                await asyncio.sleep(PROCESSOR_PERIOD_S * (1 - self.processor_share))
                proxy.send(signal.SIGCONT)
                await asyncio.sleep(PROCESSOR_PERIOD_S * self.processor_share)
        finally:
            proxy.send(signal.SIGCONT)

    async def _run_caller(self, number: int) -> None:
        """Open sessions one after the other, and use each until it closes."""
        random = Random(self.random.getrandbits(64))
        ids = (f"c{number}s{step}" for step in itertools.count())
        while not self.is_over:
            proxy = random.choice(self.deployment.proxies)
            try:
                client = await StatementClient.open(
                    proxy.session_address,
                    random.choice(DATABASES),
                    "planner-key-1",
                    timeout_s=OPEN_TIMEOUT_S,
                )
            except CallerLost:
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.is_over and random.random() >= RESET_SHARE:
                    for text, in_transaction in _choose_operation(random):
                        if not await self._send(client, next(ids), text, proxy.vm, in_transaction):
                            break
                        await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
            except CallerLost:
                continue
            finally:
                client.close()

    async def _send(
        self, client: StatementClient, request: str, text: str, vm: str, in_transaction: bool
    ) -> bool:
        """Send one statement; return False if the operation can't go on. Raise CallerLost."""
        loop = asyncio.get_running_loop()
        if client.is_ending():
            raise CallerLost(detail="ended between two operations")
        statement = SentStatement(
            id=request, text=text, vm=vm, in_transaction=in_transaction, sent_at=loop.time()
        )
        self.sent.append(statement)
        try:
            answer = await client.query(request, text, timeout_s=ANSWER_TIMEOUT_S)
            statement.is_answered = True
        finally:
            statement.ended_at = loop.time()
        if answer.failure is None:
            return True
        self.refused[answer.failure] += 1
        if answer.state == "E":
            await self._send(client, f"{request}r", "ROLLBACK", vm, True)
        return False


def _choose_operation(random: Random) -> list[tuple[str, bool]]:
    item = f"i{random.randrange(20)}"
    work = [random.choice([f"READ {item}", f"WRITE {item} d"]) for _ in range(MAX_STATEMENTS - 2)]
    if random.random() < SINGLE_SHARE:
        return [(work[0], False)]
    count = random.randint(1, len(work))
    return [(text, True) for text in ["BEGIN", *work[:count], "COMMIT"]]


def find_unanswered(
    sent: Iterable[SentStatement],
    stops: Iterable[PlannedStop],
    arrivals: dict[str, tuple[float, float]],
    logged: frozenset[str],
    *,
    grace_s: float,
) -> list[CutStatement]:
    """Return the statements that stops of their caller's own proxy left without an answer.

    `arrivals` holds when each statement reached a server and when the server had finished,
    `logged` the statements that a proxy's log names.
    """
    by_vm: dict[str, list[PlannedStop]] = {}
    for stop in stops:
        by_vm.setdefault(stop.vm, []).append(stop)
    unanswered = []
    for statement in sent:
        if statement.is_answered or not statement.ended_at:
            continue
        for stop in by_vm.get(statement.vm, ()):
            ends_at = stop.began_at + grace_s + AFTER_GRACE_S
            if not stop.began_at <= statement.ended_at <= ends_at:
                continue
            arrival = arrivals.get(statement.id)
            if not _is_excused(statement, stop, arrival, grace_s):
                entry = CutStatement(
                    statement=statement,
                    stop=stop,
                    ran=arrival is not None,
                    was_read=statement.id in logged,
                )
                unanswered.append(entry)
    return unanswered


def read_logged_requests(folder: Path) -> frozenset[str]:
    """Return the ids of all requests that the logs of the proxies in a folder name."""
    logs = "".join(path.read_text(errors="replace") for path in folder.glob("*.log"))
    return frozenset(re.findall(r"\brequest=(\S+)", logs))


def _is_excused(
    statement: SentStatement,
    stop: PlannedStop,
    arrival: tuple[float, float] | None,
    grace_s: float,
) -> bool:
    """Tell whether a server still worked on an old statement late in the grace period."""
    if arrival is None or statement.sent_at > stop.began_at + EXCUSED_SENT_S:
        return False
    return arrival[1] > stop.began_at + grace_s * (1 - LAST_PART)


def _choose_work_s(random: Random) -> float:
    if random.random() < SLOW_SHARE:
        return random.uniform(0.2, SLOW_WORK_S)
    return random.lognormvariate(0.0, WORK_SPREAD) * MEDIAN_WORK_S


async def run_stop_series(
    *,
    seed: int,
    duration_s: float,
    vms: int,
    grace_s: float,
    folder: Path,
    processor_share: float = 1.0,
    program_folder: Path | None = None,
    host_prefix: str = "",
) -> StopResult:
    """Play one series; `program_folder` is the checkout whose program runs, this one by default."""
    random = Random(seed)
    deployment = build_deployment(
        folder, host_prefix=host_prefix or f"127.{230 + seed % 20}.{seed // 20 % 250}"
    )
    deployment.grace_s, deployment.program_folder = grace_s, program_folder
    deployment.group.limit_work(slots=SLOTS, choose_work_s=lambda: _choose_work_s(random))
    series = StopSeries(
        deployment=deployment,
        random=random,
        changes_settings=random.random() < 0.5,
        processor_share=processor_share,
    )
    try:
        await deployment.start(vms=vms)
        await series.play(duration_s=duration_s)
    finally:
        await deployment.stop()
    unanswered = find_unanswered(
        series.sent,
        series.stops,
        deployment.group.arrivals,
        read_logged_requests(folder),
        grace_s=grace_s,
    )
    return StopResult(
        seed=seed,
        stops=series.stops,
        sent=len(series.sent),
        answered=sum(statement.is_answered for statement in series.sent),
        refused=series.refused,
        cut=[entry for entry in unanswered if entry.ran or entry.was_read],
        missed=[entry for entry in unanswered if not entry.ran and not entry.was_read],
    )
