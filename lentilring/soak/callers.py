"""Callers of a soak: each session uses a random proxy and records the answers it gets."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from ..catalog.model import Consistency
from ..standin.prepared.caller import CallerAnswer, CallerLost, StatementClient
from ..statements.model import NOT_RUN, Failure
from .history import CallerOutcome, History, RecordedAnswer, Request

OPEN_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 6.0
MAX_PAUSE_S = 0.15
ITEMS = 20
# Fractions of the operations, from 0 to 1.
WRITE_SHARE = 0.25
TRANSACTION_SHARE = 0.25
PREPARED_SHARE = 0.15
LEAVE_SHARE = 0.05
ROLLBACK_SHARE = 0.2
MAX_STATEMENTS = 4


@dataclass(frozen=True, kw_only=True)
class CallerRoute:
    """Describe a database and how stale its reads may be."""

    database: str
    consistency: Consistency
    max_staleness_s: float


@dataclass(frozen=True, kw_only=True)
class Credentials:
    """Hold one client account's key."""

    account: str
    key: str


@dataclass(kw_only=True)
class CallerCounts:
    """Count how operations ended."""

    done: int = 0
    refused: int = 0
    unknown: int = 0
    sessions_lost: int = 0


class Caller:
    """Run operations one after the other until `stop` is called."""

    def __init__(
        self,
        *,
        history: History,
        random: Random,
        choose_address: Callable[[], str],
        routes: tuple[CallerRoute, ...],
        credentials: Callable[[], Credentials],
    ) -> None:
        self._history, self._random = history, random
        self._choose_address, self._routes = choose_address, routes
        self._credentials = credentials
        self.counts = CallerCounts()
        self.last_done_at = 0.0
        self._stopping = False

    def stop(self) -> None:
        """Stop after the operation that is running."""
        self._stopping = True

    async def run(self) -> None:
        """Open sessions one after the other; use each until it fails or is closed at random."""
        while not self._stopping:
            route = self._random.choice(self._routes)
            credentials = self._credentials()
            try:
                session = await StatementClient.open(
                    self._choose_address(),
                    route.database,
                    credentials.key,
                    timeout_s=OPEN_TIMEOUT_S,
                )
            except CallerLost:
                self.counts.sessions_lost += 1
                await asyncio.sleep(0.1)
                continue
            session_run = _SessionRun(
                caller=self,
                history=self._history,
                random=self._random,
                session=session,
                route=route,
                credentials=credentials,
            )
            await session_run.run()
            session.close()

    @property
    def is_stopping(self) -> bool:
        """Tell whether no further operation may start."""
        return self._stopping


class _SessionRun:
    """Run random operations in one session."""

    def __init__(
        self,
        *,
        caller: Caller,
        history: History,
        random: Random,
        session: StatementClient,
        route: CallerRoute,
        credentials: Credentials,
    ) -> None:
        self._caller, self._session = caller, session
        self._route, self._credentials = route, credentials
        self._random, self._history = random, history
        self._number = self._history.next_number()
        self._values: dict[str, str] = {}
        self._shapes: dict[str, str] = {}
        self._is_withdrawn = False

    async def run(self) -> None:
        try:
            await self._set_up()
            while not (self._caller.is_stopping or self._is_withdrawn or self._session.is_ending()):
                if self._random.random() < LEAVE_SHARE:
                    return
                await self._run_operation()
                await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
        except CallerLost:
            self._caller.counts.sessions_lost += 1

    async def _set_up(self) -> None:
        if self._random.random() < 0.5:
            value = f"v{self._random.randrange(4)}"
            if (await self._send(f"SET place {value}")).failure is None:
                self._values["place"] = value
        for kind in ("READ", "WRITE"):
            shape = f"q{self._random.randrange(3)}{kind[0].lower()}"
            name = f"s{kind[0].lower()}"
            if (await self._send(f"PREPARE {name} {kind} {shape}")).failure is None:
                self._shapes[name] = shape

    async def _run_operation(self) -> None:
        kind = self._random.random()
        if kind < TRANSACTION_SHARE:
            outcome = await self._run_transaction()
        else:
            outcome = await self._run_single(writes=kind < TRANSACTION_SHARE + WRITE_SHARE)
        counts = self._caller.counts
        if outcome is CallerOutcome.DONE:
            counts.done += 1
            self._caller.last_done_at = asyncio.get_running_loop().time()
        elif outcome is CallerOutcome.NOT_RUN:
            counts.refused += 1
        else:
            counts.unknown += 1

    async def _run_single(self, *, writes: bool) -> CallerOutcome:
        request = self._build(writes=writes)
        try:
            answer = await self._ask(request)
        except CallerLost:
            self._record_answer(request, CallerOutcome.UNKNOWN, (request.id,) if writes else ())
            raise
        outcome = _classify_answer(answer)
        self._record_answer(request, outcome, (request.id,) if writes else ())
        self._is_withdrawn = answer.failure is Failure.UNAUTHORIZED
        return outcome

    async def _run_transaction(self) -> CallerOutcome:
        number, began_at = self._history.next_number(), asyncio.get_running_loop().time()
        opened = await self._send("BEGIN")
        if opened.failure is not None:
            return _classify_answer(opened)
        written: list[str] = []
        for _ in range(self._random.randrange(1, MAX_STATEMENTS)):
            writes = self._random.random() < 0.5
            request = replace(
                self._build(writes=writes), transaction=number, transaction_began_at=began_at
            )
            if writes:
                written.append(request.id)
            try:
                answer = await self._ask(request)
            except CallerLost:
                # A transaction whose COMMIT was not sent must not take effect.
                self._record_answer(request, CallerOutcome.NOT_RUN, tuple(written))
                raise
            if answer.failure is not None:
                self._record_answer(request, CallerOutcome.NOT_RUN, tuple(written))
                await self._send("ROLLBACK")
                return CallerOutcome.NOT_RUN
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S / 3))
        if self._random.random() < ROLLBACK_SHARE:
            self._record_answer(request, CallerOutcome.NOT_RUN, tuple(written))
            await self._send("ROLLBACK")
            return CallerOutcome.DONE
        return await self._commit(number, began_at, tuple(written))

    async def _commit(
        self, number: int, began_at: float, written: tuple[str, ...]
    ) -> CallerOutcome:
        request = replace(
            self._build(writes=False),
            text="COMMIT",
            shape="",
            transaction=number,
            transaction_began_at=began_at,
        )
        try:
            answer = await self._ask(request)
        except CallerLost:
            self._record_answer(request, CallerOutcome.UNKNOWN, written)
            raise
        outcome = _classify_answer(answer)
        self._record_answer(request, outcome, written)
        return outcome

    def _build(self, *, writes: bool) -> Request:
        number = self._history.next_number()
        item = f"i{self._random.randrange(ITEMS)}"
        name = "sw" if writes else "sr"
        arguments = f"{item} d{number}" if writes else item
        shape = self._shapes.get(name, "") if self._random.random() < PREPARED_SHARE else ""
        text = f"EXECUTE {name} {arguments}" if shape else f"READ {arguments}"
        if writes and not shape:
            text = f"WRITE {arguments}"
        return Request(
            id=f"q{number:08x}",
            session=self._number,
            text=text,
            account=self._credentials.account,
            key=self._credentials.key,
            consistency=self._route.consistency,
            max_staleness_s=self._route.max_staleness_s,
            values=tuple(sorted(self._values.items())),
            shape=shape,
            transaction=0,
            transaction_began_at=0.0,
            sent_at=asyncio.get_running_loop().time(),
        )

    async def _ask(self, request: Request) -> CallerAnswer:
        request = replace(request, sent_at=asyncio.get_running_loop().time())
        self._history.requests[request.id] = request
        return await self._session.query(request.id, request.text, timeout_s=ANSWER_TIMEOUT_S)

    async def _send(self, text: str) -> CallerAnswer:
        return await self._session.query(
            f"q{self._history.next_number():08x}", text, timeout_s=ANSWER_TIMEOUT_S
        )

    def _record_answer(
        self, request: Request, outcome: CallerOutcome, commits: tuple[str, ...]
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._history.answers.append(
            RecordedAnswer(request=request.id, outcome=outcome, commits=commits, at=now)
        )


def _classify_answer(answer: CallerAnswer) -> CallerOutcome:
    if answer.failure is None:
        return CallerOutcome.DONE
    refused = answer.failure in NOT_RUN or answer.failure is Failure.UNAUTHORIZED
    return CallerOutcome.NOT_RUN if refused else CallerOutcome.UNKNOWN
