"""Links of a proxy of the model to the store, the platform and the servers, with lost answers."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

from lentilring.catalog.model import ServerEntry, ServerRole
from lentilring.catalog.source import ProxyEntry, RecordKind, Records
from lentilring.gateways.server import (
    ReplicationStatus,
    ServerLost,
    ServerReply,
    ServerUnreachable,
)
from lentilring.platform.store import StoredObject, StoreUnavailable
from lentilring.statements.model import (
    Done,
    Failed,
    Failure,
    Position,
    PreparedStatement,
    TransactionState,
)
from lentilring.takeover.authority import PromotionResult

from .takeover_world import LINK_POLL_S, STORE, ModelServer, World

STORE_TIMEOUT_S = 1.0

T = TypeVar("T")


class StoreLink:
    """Read and write the store from one process; a change may take effect without an answer."""

    def __init__(self, *, world: World, vm: str) -> None:
        self._world, self._vm = world, vm

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        return await self._call(f"list {kind}", lambda: self._world.store.list_records(kind))

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        records = await self._world.store.watch_records(kind, after_revision, wait_s)
        while self._vm in self._world.silent_watches:
            await asyncio.sleep(LINK_POLL_S)
        return await self._call(f"watch {kind}", lambda: records)

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        return 1

    async def deregister(self, vm: str, *, revision: int) -> None:
        return None

    async def get(self, kind: str, name: str) -> StoredObject | None:
        return await self._call(f"get {kind}", lambda: self._world.store.get(kind, name))

    async def put(self, kind: str, name: str, value: Any, *, expected_version: int) -> StoredObject:
        return await self._call(
            f"put {kind} {value}",
            lambda: self._world.store.put(kind, name, value, expected_version),
        )

    async def _call(self, step: str, run: Callable[[], T]) -> T:
        await self._world.take_step(self._vm, step)
        if not self._world.reaches(self._vm, STORE):
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable(operation=step, detail="timed out")
        result = run()
        await self._world.take_step(self._vm, f"answer to {step}")
        if not self._world.reaches(STORE, self._vm):
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable(operation=step, detail="the answer was lost")
        return result


class PromotionLink:
    """Ask the platform from one process; a call may be late, and its answer lost."""

    def __init__(self, *, world: World, vm: str) -> None:
        self._world, self._vm = world, vm
        # Set by the faults: the delay of the next call, and whether its answer is lost.
        self.delay_s, self.loses_answer = 0.0, False

    async def promote(
        self, *, service: str, server: str, holder: str, token: int
    ) -> PromotionResult:
        delay_s, loses_answer = self.delay_s, self.loses_answer
        self.delay_s, self.loses_answer = 0.0, False
        world = self._world
        await world.take_step(self._vm, f"promote {server}")
        if not world.reaches(self._vm, STORE):
            await asyncio.sleep(STORE_TIMEOUT_S)
            return PromotionResult.UNKNOWN

        started_ms = world.servers[server].started_ms

        async def execute() -> PromotionResult:
            await asyncio.sleep(delay_s)
            return await world.promote(server, token, started_ms=started_ms)

        # A call goes on after its caller has ended.
        executed = world.keep_running(execute())
        done, _ = await asyncio.wait({executed}, timeout=2 * STORE_TIMEOUT_S)
        await world.take_step(self._vm, f"answer to promote {server}")
        if not done or loses_answer or not world.reaches(STORE, self._vm):
            return PromotionResult.UNKNOWN
        return executed.result()


class ModelConnector:
    """Open sessions from one process."""

    def __init__(self, *, world: World, vm: str) -> None:
        self._world, self._vm = world, vm

    async def connect(
        self, server: ServerEntry, *, account: str, timeout_s: float
    ) -> "ModelSession":
        target = self._world.servers[server.id]
        try:
            async with asyncio.timeout(timeout_s):
                await self._world.pass_link(self._vm, target.id)
                if not target.is_up:
                    raise ServerUnreachable(server=server.id, detail="refused", is_down=True)
                session = ModelSession(world=self._world, vm=self._vm, server=target)
                await self._world.pass_link(target.id, self._vm)
                return session
        except TimeoutError as error:
            raise ServerUnreachable(server=server.id, detail="timed out") from error


class ModelSession:
    """Run one request at a time on a server; it may arrive after its caller has given up."""

    def __init__(self, *, world: World, vm: str, server: ModelServer) -> None:
        self._world, self._vm, self._server = world, vm, server
        self._started_ms = server.started_ms
        self._is_closed = False
        self.position: Position | None = server.received

    @property
    def is_closed(self) -> bool:
        is_reset = not self._has_process() and self._world.reaches(self._server.id, self._vm)
        return self._is_closed or is_reset

    def close(self) -> None:
        self._is_closed = True

    def _has_process(self) -> bool:
        return self._server.is_up and self._server.started_ms == self._started_ms

    async def run(
        self, request_id: str, text: str, *, after: Position | None, timeout_s: float
    ) -> ServerReply:
        return await self._call(f"run {text}", lambda: self._write(text), timeout_s)

    async def begin(
        self, *, read_only: bool, after: Position | None, timeout_s: float
    ) -> ServerReply:
        return await self._call("begin", self._begin, timeout_s)

    async def roll_back(self, *, timeout_s: float) -> ServerReply:
        return await self._call("roll back", self._end, timeout_s)

    async def reset(self, *, timeout_s: float) -> ServerReply:
        return await self._call("reset", self._end, timeout_s)

    async def set_value(self, name: str, value: str, *, timeout_s: float) -> ServerReply:
        raise NotImplementedError

    async def prepare(self, prepared: PreparedStatement, *, timeout_s: float) -> ServerReply:
        raise NotImplementedError

    async def read_status(self, *, timeout_s: float) -> ReplicationStatus | Failure:
        return await self._call("status", self._describe, timeout_s)

    async def pause(self, *, term: int, timeout_s: float) -> ReplicationStatus | Failure:
        return await self._call(f"pause {term}", lambda: self._pause(term), timeout_s)

    async def step_down(self, *, term: int, timeout_s: float) -> ReplicationStatus | Failure:
        return await self._call(f"step down {term}", lambda: self._step_down(term), timeout_s)

    async def resume(self, *, timeout_s: float) -> ReplicationStatus | Failure:
        return await self._call("resume", lambda: self._pause(0), timeout_s)

    async def _begin(self) -> ServerReply:
        if self._server.role is not ServerRole.PRIMARY:
            return self._reply(Failed(failure=Failure.NOT_PRIMARY))
        return self._reply(Done(position=self._server.received), TransactionState.OPEN)

    async def _end(self) -> ServerReply:
        return self._reply(Done(position=self._server.received))

    async def _write(self, write: str) -> ServerReply:
        if self._server.role is not ServerRole.PRIMARY:
            return self._reply(Failed(failure=Failure.NOT_PRIMARY))
        if not await self._world.commit(self._server, write):
            raise ServerLost(server=self._server.id, detail="it lost the lead")
        return self._reply(Done(position=self._server.received))

    async def _describe(self) -> ReplicationStatus:
        return self._server.describe()

    async def _pause(self, term: int) -> ReplicationStatus:
        if self._server.role is ServerRole.REPLICA:
            self._server.paused_below_term = term
        return self._server.describe()

    async def _step_down(self, term: int) -> ReplicationStatus:
        if self._server.role is ServerRole.PRIMARY and self._server.term < term:
            self._server.role = ServerRole.REPLICA
            self._server.paused_below_term = term
        return self._server.describe()

    def _reply(
        self, outcome: Done | Failed, state: TransactionState = TransactionState.IDLE
    ) -> ServerReply:
        self.position = self._server.received
        return ServerReply(outcome=outcome, state=state)

    async def _call(self, step: str, run: Callable[[], Any], timeout_s: float) -> Any:
        if self.is_closed:
            raise ServerUnreachable(server=self._server.id, detail="closed")
        await self._world.take_step(self._vm, f"{step} at {self._server.id}")
        answer = self._world.keep_running(self._deliver(run))
        try:
            done, _ = await asyncio.wait({answer}, timeout=timeout_s)
        except BaseException:
            self.close()
            raise
        if not done:
            self.close()
            raise ServerLost(server=self._server.id, detail="timed out", timed_out=True)
        try:
            return answer.result()
        except ServerLost:
            self.close()
            raise

    async def _deliver(self, run: Callable[[], Any]) -> Any:
        try:
            await self._world.pass_link(self._vm, self._server.id)
            self._check_process()
            answer = await run()
            self._check_process()
            await self._world.pass_link(self._server.id, self._vm)
        except TimeoutError as error:
            raise ServerLost(server=self._server.id, detail="dropped") from error
        return answer

    def _check_process(self) -> None:
        if not self._has_process():
            raise ServerLost(server=self._server.id, detail="reset")
