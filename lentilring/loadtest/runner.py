"""A load run: arrivals become requests, answers become lines of the log."""

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from ..telemetry.log import Log
from .arrivals import Arrival, schedule_arrivals
from .balancer import Balancer
from .client import Answer, Call, ProxyCaller, read_position
from .faults import ActionResult, do_action
from .journals import JournalReader
from .records import (
    AccountLimits,
    FaultMark,
    LogWriter,
    RequestKind,
    RequestOutcome,
    RequestRecord,
    RunHeader,
)
from .scenario import Account, Fault, Phase, Scenario

RETRY_PAUSE_S = 0.2
FINISH_TIMEOUT_S = 70.0

log = Log(source="loadtest")


@dataclass(kw_only=True, eq=False)
class CallerSession:
    """Hold one session of an account on one database: its larger token and its proxy."""

    name: str
    account: Account
    database: str
    token: str = ""
    proxy: str = ""

    def keep(self, token: str) -> None:
        """Keep the larger token."""
        if token and (read_position(token) or (0, 0)) >= (read_position(self.token) or (0, 0)):
            self.token = token


@dataclass(frozen=True, kw_only=True)
class Work:
    """Hold one request of a session before it is sent."""

    kind: RequestKind
    route: str
    statement: dict[str, Any] | None
    counter: str = ""
    idempotency_key: str = ""


@dataclass(frozen=True, kw_only=True)
class Times:
    """Hold a request's times in seconds since the start of the run."""

    scheduled: float
    sent: float
    answered: float


class LoadRun:
    """Play one scenario; `work` holds the process ids that faults refer to."""

    def __init__(
        self, *, scenario: Scenario, http: aiohttp.ClientSession, writer: LogWriter, work: Path
    ) -> None:
        self._scenario = scenario
        self._http = http
        self._writer = writer
        self._work = work
        self._random = random.Random(scenario.seed)
        self._balancer = Balancer(http=http, proxies=scenario.proxies, source=self._random)
        self._caller = ProxyCaller(http=http, balancer=self._balancer)
        self._journals = JournalReader(http=http, scenario=scenario, writer=writer)
        self._phases = {phase.name: phase for phase in scenario.phases}
        self._sessions = {account.name: self._open(account) for account in scenario.accounts}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_id = 0
        self._started = 0.0

    async def play(self) -> None:
        """Send everything, then wait for the answers and read the journals."""
        self._writer.write(build_header(self._scenario))
        background = [
            asyncio.ensure_future(self._balancer.poll_forever()),
            asyncio.ensure_future(self._journals.poll_forever()),
        ]
        self._started = time.monotonic()
        for fault in self._scenario.faults:
            self._spawn(self._cause(fault))
        for arrival in schedule_arrivals(self._scenario):
            pause = arrival.time - self._now()
            if pause > 0:
                await asyncio.sleep(pause)
            self._spawn(self._operate(arrival))
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FINISH_TIMEOUT_S)
        for task in background:
            task.cancel()
        await self._journals.read_all()

    def _now(self) -> float:
        return time.monotonic() - self._started

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task_failed", detail=repr(task.exception()))

    def _open(self, account: Account) -> list[CallerSession]:
        databases = self._scenario.databases
        return [
            CallerSession(
                name=f"{account.name}-{index}",
                account=account,
                database=databases[index % len(databases)],
            )
            for index in range(account.sessions)
        ]

    async def _cause(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self._now()))
        began = self._now()
        try:
            result = await do_action(fault.action, self._http, self._work)
        except (OSError, ValueError, aiohttp.ClientError) as error:
            result = ActionResult(output=f"failed: {error!r}")
        mark = FaultMark(
            began=began,
            ended=self._now(),
            name=fault.name,
            event=fault.event,
            target=fault.target,
            first_output=(
                result.first_output_at - self._started if result.first_output_at else None
            ),
            output=result.output,
        )
        self._writer.write(mark)
        log.info("fault", name=fault.name, target=fault.target, output=result.output)

    async def _operate(self, arrival: Arrival) -> None:
        session = self._random.choice(self._sessions[arrival.account])
        mix = self._scenario.mix
        names = ("read", "write", "repeatable_write", "transaction")
        weights = [getattr(mix, name) for name in names]
        name = self._random.choices(names, weights)[0]
        phase = self._phases[arrival.phase]
        if name == "transaction":
            await self._run_transaction(session, phase, arrival.time)
            return
        work = self._build(session, name)
        record = await self._send(session, phase, arrival.time, work)
        if work.kind is RequestKind.WRITE and record.outcome is RequestOutcome.OUTCOME_UNKNOWN:
            # The key makes this safe, and shows in the results whether the first attempt ran.
            await asyncio.sleep(RETRY_PAUSE_S)
            await self._send(session, phase, self._now(), work)

    def _build(self, session: CallerSession, name: str) -> Work:
        routes = self._scenario.routes
        counter = f"{session.name}-sum"
        if name == "read":
            statement = {"op": "get", "key": counter}
            return Work(
                kind=RequestKind.READ, route=routes.read, statement=statement, counter=counter
            )
        if name == "write":
            return Work(
                kind=RequestKind.WRITE,
                route=routes.write,
                statement={"op": "add", "key": counter, "amount": 1},
                counter=counter,
                idempotency_key=self._create_id("k"),
            )
        return Work(
            kind=RequestKind.REPEATABLE_WRITE,
            route=routes.repeatable_write,
            statement={"op": "put", "key": f"{session.name}-note", "value": self._create_id("v")},
        )

    async def _run_transaction(
        self, session: CallerSession, phase: Phase, scheduled: float
    ) -> None:
        begin = Work(kind=RequestKind.BEGIN, route="transactions", statement=None)
        begun = await self._send(session, phase, scheduled, begin)
        if begun.outcome is not RequestOutcome.COMPLETED:
            return
        base = f"transactions/{begun.result}"
        counter = f"{session.name}-moved"
        add = {"op": "add", "key": counter, "amount": 1}
        step = Work(kind=RequestKind.STATEMENT, route=base, statement=add)
        ran = await self._send(session, phase, self._now(), step)
        if ran.outcome is not RequestOutcome.COMPLETED:
            return
        commit = Work(
            kind=RequestKind.COMMIT,
            route=f"{base}/commit",
            statement=None,
            counter=counter,
            idempotency_key=self._create_id("c"),
        )
        await self._send(session, phase, self._now(), commit)

    async def _send(
        self, session: CallerSession, phase: Phase, scheduled: float, work: Work
    ) -> RequestRecord:
        session.proxy = self._balancer.choose(
            phase.proxies, current=session.proxy, move_share=self._scenario.move_share
        )
        call = Call(
            path=f"/v1/{self._scenario.service}/{session.database}/{work.route}",
            statement=work.statement,
            key=session.account.key,
            session=session.token,
            idempotency_key=work.idempotency_key,
            request_id=self._create_id("r"),
            deadline_ms=self._scenario.deadline_ms,
        )
        sent = self._now()
        answer = await self._caller.send(call, session.proxy, phase.proxies)
        session.keep(answer.session)
        times = Times(scheduled=scheduled, sent=sent, answered=self._now())
        record = build_record(session, phase, work, call, answer, times)
        self._writer.write(record)
        return record

    def _create_id(self, prefix: str) -> str:
        self._next_id += 1
        return f"{prefix}{self._scenario.seed}-{self._next_id}"


def build_header(scenario: Scenario) -> RunHeader:
    """Return the first record of a scenario's log."""
    return RunHeader(
        scenario=scenario.name,
        seed=scenario.seed,
        accounts={
            account.name: AccountLimits(rate_per_s=account.rate_per_s, burst=account.burst)
            for account in scenario.accounts
        },
        proxies={name: proxy.failure_domain for name, proxy in scenario.proxies.items()},
        backend_servers={
            name: server.failure_domain for name, server in scenario.backend_servers.items()
        },
        unmeasured_phases=tuple(phase.name for phase in scenario.phases if not phase.measured),
    )


def build_record(
    session: CallerSession, phase: Phase, work: Work, call: Call, answer: Answer, times: Times
) -> RequestRecord:
    """Return the record of an answered call."""
    return RequestRecord(
        scheduled=times.scheduled,
        sent=times.sent,
        answered=times.answered,
        phase=phase.name,
        proxy=answer.proxy,
        account=session.account.name,
        key_id=session.account.key_id,
        kind=work.kind,
        route=work.route if "/" not in work.route else "transactions",
        database=session.database,
        session=session.name,
        request_id=call.request_id,
        outcome=answer.outcome,
        idempotency_key=work.idempotency_key,
        counter=work.counter,
        reason=answer.reason,
        detail=answer.detail,
        served_by=answer.served_by,
        from_replica=answer.from_replica,
        replayed=answer.replayed,
        result=answer.result,
        position=read_position(answer.session) if answer.session else None,
    )
