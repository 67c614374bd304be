"""The backend server stand-in's state machine, without a network.

Rules that the interface does not specify:

- A statement, fence, lead, follow or pull with a greater term raises the server's term. A server
  whose term was raised is no longer primary, discards open transactions and stops replicating
  until it is told to lead or follow under its new term.
- A read runs only with exactly the server's term, and only after the log was matched with the log
  of that term's primary. A returning primary has discarded entries, so it must not serve reads
  before it follows. Until then the answer is STALE_TERM.
- A transaction reads committed values under its own writes; its writes are evaluated again at
  commit, so that no concurrent addition is lost.
- COMMIT ends the transaction whatever its answer is; any answer but OK means that no write of the
  transaction was applied. After a term change a transaction accepts only ROLLBACK.
- A statement that was received runs even if its connection closes meanwhile.
"""

import asyncio
import math
from dataclasses import dataclass, replace
from functools import singledispatch

from ..clock import Clock, LoopClock
from ..database.backend import ConnectionRefused
from ..database.messages import (
    AwaitPosition,
    Fence,
    Follow,
    Lead,
    ReportStatus,
    Role,
    ServerStatus,
    StatementReply,
    StatementRequest,
)
from ..database.wire import ConnectionKind
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .entries import EntryLog
from .execution import StatementExecutor
from .journal import Journal
from .messages import LogEntry, PulledEntries, PullEntries
from .replication import Replication, ReplicationLink
from .sessions import DatabaseFaults, DatabaseSession, NoAnswer, Silence
from .storage import Appended, StateFile, TermBegun, Terms, Truncated

# Rounding can make an entry appear old enough in one comparison and too young in another; waiting
# at least this long keeps the pull from polling in a busy loop.
MIN_WAIT_S = 0.001

log = Log(source="standin.database")


@dataclass(kw_only=True)
class ServerSettings:
    """Hold a server's size and speed; all but `slots` may change at run time."""

    slots: int = 2
    connection_limit: int = 15
    connect_delay_s: float = 0.0
    statement_time_s: float = 0.0
    replication_lag_s: float = 0.0


class DatabaseServer:
    """Run statements, replicate the log and enforce terms."""

    def __init__(
        self,
        *,
        name: str,
        settings: ServerSettings | None = None,
        link: ReplicationLink | None = None,
        clock: Clock | None = None,
        telemetry: Telemetry | None = None,
        term: int = 1,
        role: Role = Role.REPLICA,
        primary_address: str = "",
        state: StateFile | None = None,
    ) -> None:
        self.name = name
        self.settings = settings or ServerSettings()
        self.clock = clock or LoopClock()
        self.telemetry = telemetry or Telemetry()
        self.faults = DatabaseFaults()
        self.journal = Journal()
        self.log = EntryLog()
        self.sessions: set[DatabaseSession] = set()
        self.term = term
        # The newest term in which this server is or was primary, 0 for none.
        self.led_term = term if role is Role.PRIMARY else 0
        # The last term whose primary's log is known to begin with this log.
        self.matched_term = term
        self.replication = Replication(server=self, link=link, primary_address=primary_address)
        # Counts stops; a statement that was running at a stop is not applied after a restart.
        self.stop_count = 0
        self._executor = StatementExecutor(server=self)
        self._changed = asyncio.Event()
        self._state = state
        self._restore()

    def _restore(self) -> None:
        """Load the stored terms and log; the constructor's terms apply only to a new file."""
        records = self._state.load() if self._state is not None else []
        for record in records:
            restore_record(record, self)
        if self._state is not None:
            self.log.recorder = self._state.write
        if not records:
            self.log.begin_term(self.term, 0)
            self.save_terms()

    def save_terms(self) -> None:
        """Store the terms before answering: a fence must hold across a restart."""
        if self._state is None:
            return
        self._state.write(
            Terms(
                term=self.term,
                led_term=self.led_term,
                matched_term=self.matched_term,
                primary_address=self.replication.primary_address,
                start_position=self.replication.start_position,
            )
        )

    @property
    def is_primary(self) -> bool:
        """Tell whether the server leads its current term."""
        return self.led_term == self.term

    @property
    def open_connections(self) -> int:
        """Return the number of connections that count towards the limit."""
        return sum(session.kind is not ConnectionKind.REPLICATION for session in self.sessions)

    async def start(self) -> None:
        """Start replication if a primary is known."""
        self.replication.start()

    async def stop(self) -> None:
        """Stop replicating and close all connections; the term and the log are kept."""
        self.stop_count += 1
        await self.replication.stop()
        self.drop_connections()

    # Connections

    async def open_session(self, *, client: str, kind: ConnectionKind) -> DatabaseSession:
        """Accept a connection; raise ConnectionRefused, or NoAnswer while silent."""
        if kind is not ConnectionKind.REPLICATION:
            self._check_connection_limit()
        session = DatabaseSession(client=client, kind=kind)
        self.sessions.add(session)
        session.on_close(lambda: self.sessions.discard(session))
        try:
            if kind is not ConnectionKind.REPLICATION:
                await self.clock.sleep(self.settings.connect_delay_s)
            self._check_answering(session)
        except BaseException:
            session.close()
            raise
        return session

    def drop_connections(self) -> None:
        """Close all connections."""
        for session in list(self.sessions):
            session.close()

    def silence(self, silence: Silence) -> None:
        """Stop answering on the open connections for good, or on all until reset."""
        self.faults.silence_all = silence is Silence.ALL
        if silence is Silence.EXISTING:
            for session in self.sessions:
                session.silent = True

    async def handle(self, session: DatabaseSession, request: object) -> object:
        """Answer a request of a connection; raise NoAnswer if no answer may be sent."""
        self._check_answering(session)
        if self.faults.delay_s > 0:
            await self.clock.sleep(self.faults.delay_s)
        reply = await answer_request(request, self, session)
        self._check_answering(session)
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            session.close()
            raise NoAnswer(server=self.name)
        return reply

    # Terms

    def observe_term(self, term: int) -> None:
        """Raise the server's term; end leadership, replication and transactions of lower terms."""
        if term <= self.term:
            return
        log.info("term_raised", server=self.name, old=self.term, new=term)
        if self.is_primary:
            self.replication.record_contact()
        self.term = term
        self.replication.forget_primary()
        self.save_terms()
        for session in self.sessions:
            if session.transaction is not None:
                session.transaction.aborted = True
        self.notify()

    def fence(self, request: Fence) -> ServerStatus:
        """Raise the term; refuse a lower one."""
        self.observe_term(request.term)
        return self.report_status(accepted=request.term == self.term)

    def lead(self, request: Lead) -> ServerStatus:
        """Become primary of a term; refuse a lower term, an incomplete log or a second primary."""
        self.observe_term(request.term)
        if request.term < self.term or self.replication.primary_address:
            return self._refuse_command("lead")
        if self.is_primary:
            return self.report_status()
        if self.log.position < request.start_position:
            return self._refuse_command("lead")
        self._truncate_log(self.log.find_divergence(request.term, request.start_position))
        self.led_term = self.matched_term = request.term
        self.log.begin_term(request.term, request.start_position)
        self.save_terms()
        log.info("became_primary", server=self.name, term=self.term, position=self.log.position)
        self.notify()
        return self.report_status()

    def follow(self, request: Follow) -> ServerStatus:
        """Replicate from a term's primary; drop entries of older terms past the term's start."""
        self.observe_term(request.term)
        if request.term < self.term or self.is_primary:
            return self._refuse_command("follow")
        self._truncate_log(self.log.find_divergence(request.term, request.start_position))
        self.replication.follow(request.primary_address, request.start_position)
        self.save_terms()
        self.notify()
        return self.report_status()

    def report_status(self, *, accepted: bool = True) -> ServerStatus:
        """Return the server's status."""
        return ServerStatus(
            server=self.name,
            term=self.term,
            role=Role.PRIMARY if self.is_primary else Role.REPLICA,
            position=self.log.position,
            log_terms=tuple(self.log.term_starts),
            primary_silence_s=0.0 if self.is_primary else self.replication.silence_s,
            open_connections=self.open_connections,
            accepted=accepted,
        )

    async def await_position(self, request: AwaitPosition) -> ServerStatus:
        """Wait for a position under a term.

        The answer's `position` is 0 while the log is not matched with that term's primary: a
        returning primary may have discarded entries at the position.
        """
        deadline = self.clock.monotonic() + request.wait_s
        while self.term <= request.term and not self._has_position(request):
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                break
            await self.wait_for_change(remaining)
        status = self.report_status(accepted=self.term <= request.term)
        if self.matched_term == request.term:
            return status
        return replace(status, position=0)

    # Replication

    async def answer_pull(self, request: PullEntries) -> PulledEntries:
        """Return entries to a replica of the same term; wait up to `wait_s` if there are none."""
        self.observe_term(request.term)
        deadline = self.clock.monotonic() + request.wait_s
        while request.term == self.term and self.is_primary:
            if self.log.position < request.position or (
                self.log.term_at(request.position) != request.last_term
            ):
                return self._answer_diverged_pull()
            entries = self.log.read_after(
                request.position,
                limit=request.limit,
                appended_by=self.clock.monotonic() - request.min_age_s,
            )
            remaining = deadline - self.clock.monotonic()
            if entries or remaining <= 0:
                return PulledEntries(
                    term=self.term,
                    accepted=True,
                    matched=True,
                    position=self.log.position,
                    entries=entries,
                )
            await self.wait_for_change(self._limit_wait(request, remaining))
        return PulledEntries(
            term=self.term, accepted=False, matched=False, position=self.log.position
        )

    def append(self, entry: LogEntry) -> int:
        """Add an entry to the log and return its position."""
        position = self.log.append(entry, now=self.clock.monotonic())
        self.notify()
        return position

    def notify(self) -> None:
        """Wake all tasks that wait for a change of term or position."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the term or position changes, at most `timeout_s` seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    async def execute(self, session: DatabaseSession, request: StatementRequest) -> StatementReply:
        """Run a statement of a connection."""
        return await self._executor.execute(session, request)

    # Checks

    def _check_connection_limit(self) -> None:
        if self.faults.refuse_connections:
            self.telemetry.count("standin_connections_refused", reason="fault")
            raise ConnectionRefused(address=self.name, detail="refused by a fault switch")
        if self.open_connections >= self.settings.connection_limit:
            self.telemetry.count("standin_connections_refused", reason="limit")
            raise ConnectionRefused(address=self.name, detail="connection limit")

    def _check_answering(self, session: DatabaseSession) -> None:
        if session.silent or self.faults.silence_all or session.closed.is_set():
            raise NoAnswer(server=self.name)

    def _refuse_command(self, command: str) -> ServerStatus:
        self.telemetry.count("standin_commands_refused", command=command)
        log.warning("command_refused", server=self.name, command=command, term=self.term)
        return self.report_status(accepted=False)

    def _has_position(self, request: AwaitPosition) -> bool:
        if self.term != request.term:
            return False
        matched = self.matched_term == request.term
        return request.position == 0 or (matched and self.log.position >= request.position)

    def _truncate_log(self, position: int) -> None:
        dropped = self.log.truncate(position)
        if dropped:
            self.telemetry.count("standin_entries_dropped", dropped)
            log.warning("log_truncated", server=self.name, position=position, dropped=dropped)

    def truncate_at_divergence(self, pulled: PulledEntries) -> None:
        """Drop the entries that the primary's log does not have."""
        self._truncate_log(self.log.find_common_position(pulled.log_terms, pulled.position))

    def _answer_diverged_pull(self) -> PulledEntries:
        return PulledEntries(
            term=self.term,
            accepted=True,
            matched=False,
            position=self.log.position,
            log_terms=tuple(self.log.term_starts),
        )

    def _limit_wait(self, request: PullEntries, remaining: float) -> float:
        """Return the time until the next delayed entry is old enough, at most `remaining`."""
        appended_at = self.log.appended_at(request.position + 1)
        if appended_at is None or request.limit == 0:
            return remaining
        age_left = appended_at + request.min_age_s - self.clock.monotonic()
        return min(remaining, max(MIN_WAIT_S, age_left))


@singledispatch
def restore_record(record: object, server: DatabaseServer) -> None:
    """Apply the change that a stored record describes."""


@restore_record.register
def _(record: Terms, server: DatabaseServer) -> None:
    server.term = record.term
    server.led_term = record.led_term
    server.matched_term = record.matched_term
    server.replication.primary_address = record.primary_address
    server.replication.start_position = record.start_position


@restore_record.register
def _(record: Appended, server: DatabaseServer) -> None:
    server.log.append(record.entry, now=-math.inf)


@restore_record.register
def _(record: Truncated, server: DatabaseServer) -> None:
    server.log.truncate(record.position)


@restore_record.register
def _(record: TermBegun, server: DatabaseServer) -> None:
    server.log.begin_term(record.start.term, record.start.position)


@singledispatch
async def answer_request(
    request: object, server: DatabaseServer, session: DatabaseSession
) -> object:
    """Answer one request; raise NoAnswer for a type without a handler."""
    raise NoAnswer(server=server.name)


@answer_request.register
async def _(request: StatementRequest, server: DatabaseServer, session: DatabaseSession) -> object:
    return await server.execute(session, request)


@answer_request.register
async def _(request: ReportStatus, server: DatabaseServer, session: DatabaseSession) -> object:
    return server.report_status()


@answer_request.register
async def _(request: Fence, server: DatabaseServer, session: DatabaseSession) -> object:
    return server.fence(request)


@answer_request.register
async def _(request: Lead, server: DatabaseServer, session: DatabaseSession) -> object:
    return server.lead(request)


@answer_request.register
async def _(request: Follow, server: DatabaseServer, session: DatabaseSession) -> object:
    return server.follow(request)


@answer_request.register
async def _(request: AwaitPosition, server: DatabaseServer, session: DatabaseSession) -> object:
    return await server.await_position(request)


@answer_request.register
async def _(request: PullEntries, server: DatabaseServer, session: DatabaseSession) -> object:
    return await server.answer_pull(request)
