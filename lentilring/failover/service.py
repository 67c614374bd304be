"""The service that knows every group's primary, confirms writes and replaces failed primaries."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Protocol

from ..clock import Clock
from ..configuration.models import DrainState, ServiceDefinition
from ..database.backend import BackendConnector
from ..kernel import Service
from ..outcomes import UncertaintyReason
from ..peers.transport import PeerTransport, Sender
from ..platform.store import Kind, Store, StoredObject
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .assignment import SupervisorTable
from .confirmation import Confirmer
from .controls import ControlConnections
from .group import Group, list_groups
from .messages import SuspectPrimary
from .promotion import ForcedPromotion, Promoter
from .record import GroupRecord, GroupRecordInvalid, parse_record
from .supervision import GroupSupervisor
from .vantage import Peer, VantagePoints, choose_vantage_points

ASSIGN_INTERVAL_S = 0.25
# Many requests fail at the same moment; one report to the supervisor in this time is enough.
SUSPICION_INTERVAL_S = 0.2
# Only members that answer gossip supervise, so that a failed supervisor is replaced as soon as it
# is suspected, before it counts as dead. Two supervisors of one group at a time are safe.
SUPERVISING_STATE = "live"

log = Log(source="failover")


class GroupConfiguration(Protocol):
    """Describe what failover uses of the configuration service."""

    def stored_object(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest known version of an object."""
        ...

    def subscribe(self, callback: Callable[[StoredObject], None]) -> None:
        """Call `callback` after each object that is applied."""
        ...

    def apply_local_changes(self, objects: Iterable[StoredObject]) -> None:
        """Apply the objects whose version is greater than the known one; announce them to peers."""
        ...

    def services(self) -> tuple[ServiceDefinition, ...]:
        """Return all services."""
        ...

    def failure_domain_state(self, name: str) -> DrainState:
        """Return whether a failure domain takes new work."""
        ...


class Members(Protocol):
    """Describe what failover uses of the membership service."""

    @property
    def local(self) -> Peer:
        """Return this process."""
        ...

    def members(self) -> Sequence[Peer]:
        """Return the usable members."""
        ...


class GroupService(Service):
    """Look up the record of any group, confirm writes, and supervise this process's groups.

    Rendezvous hashing assigns each group to one live member as its supervisor.
    """

    def __init__(
        self,
        *,
        configuration: GroupConfiguration,
        membership: Members,
        store: Store,
        backends: BackendConnector,
        transport: PeerTransport,
        clock: Clock,
        random: Random,
        telemetry: Telemetry,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._store = store
        self._backends = backends
        self._transport = transport
        self._clock = clock
        self._random = random
        self._telemetry = telemetry
        self._controls = ControlConnections(backends=backends, clock=clock, telemetry=telemetry)
        self._confirmer = Confirmer(controls=self._controls, clock=clock, telemetry=telemetry)
        self._vantage = VantagePoints(transport=transport, backends=backends)
        self._table: SupervisorTable[Peer] = SupervisorTable()
        self._supervisors: dict[str, tuple[GroupSupervisor, asyncio.Task[None]]] = {}
        self._groups: dict[str, Group] | None = None
        self._parsed_records: dict[str, tuple[int, GroupRecord | None]] = {}
        self._suspicion_sent_at: dict[str, float] = {}
        self._assigned_groups: dict[str, Group] | None = None
        self._assigned_members: frozenset[tuple[str, str, float]] = frozenset()
        self._task: asyncio.Task[None] | None = None
        configuration.subscribe(self._handle_object_change)
        transport.handle_datagram(SuspectPrimary, self._handle_suspicion)

    # Interface to other services

    def find_record(self, group: str) -> GroupRecord | None:
        """Return the newest known record of a group, or None if it has no valid one."""
        stored = self.stored_record(group)
        version = stored.version if stored else 0
        parsed = self._parsed_records.get(group)
        if parsed is None or parsed[0] != version:
            parsed = version, self._parse(group, stored)
            self._parsed_records[group] = parsed
        return parsed[1]

    def position_is_lost(self, group: str, *, term: int, position: int) -> bool:
        """Tell whether a position of a term lies past the start of a later term."""
        record = self.find_record(group)
        return record is not None and record.position_is_lost(term=term, position=position)

    async def confirm_write(
        self, group: str, *, term: int, position: int, needs_replica: bool, timeout_s: float
    ) -> UncertaintyReason | None:
        """Return None once a write that the primary has run is confirmed, or what is missing.

        Call it only after the write ran. It takes at most `timeout_s` seconds.
        """
        configured_group = self.find_group(group)
        if configured_group is None or self._is_superseded(group, term):
            return self._report_term_not_confirmed()
        result = await self._confirmer.confirm(
            configured_group,
            self.find_record(group),
            term=term,
            position=position,
            needs_replica=needs_replica,
            timeout_s=timeout_s,
        )
        return self._report_term_not_confirmed() if self._is_superseded(group, term) else result

    def suspect_primary(self, group: str) -> None:
        """Have the group's supervisor check the primary at once."""
        if group in self._supervisors:
            self._supervisors[group][0].request_check()
            return
        supervisor, record = self._table.find(group), self.find_record(group)
        now = self._clock.monotonic()
        too_soon = (
            now - self._suspicion_sent_at.get(group, -SUSPICION_INTERVAL_S) < SUSPICION_INTERVAL_S
        )
        if supervisor is None or record is None or too_soon:
            return
        self._suspicion_sent_at[group] = now
        self._transport.send_datagram(
            supervisor.address, SuspectPrimary(group=group, term=record.term)
        )

    def list_supervised(self) -> tuple[str, ...]:
        """Return the names of the groups that this process supervises."""
        return tuple(sorted(self._supervisors))

    async def promote_forced(self, group: Group) -> ForcedPromotion:
        """Promote with or without a majority, for an operator; raise one of PROMOTION_FAILURES."""
        return await self._make_promoter().promote_forced(group, self.stored_record(group.name))

    # Interface to supervisors

    def find_group(self, name: str) -> Group | None:
        """Return a group as configured, or None."""
        return self.groups().get(name)

    def groups(self) -> dict[str, Group]:
        """Return all groups by name."""
        if self._groups is None:
            configuration = self._configuration
            self._groups = list_groups(configuration.services(), configuration.failure_domain_state)
        return self._groups

    def stored_record(self, group: str) -> StoredObject | None:
        """Return the newest known version of a group's record as stored."""
        return self._configuration.stored_object(Kind.GROUP, group)

    def accept(self, stored: StoredObject) -> None:
        """Apply a record and announce it to peers."""
        self._configuration.apply_local_changes([stored])

    def vantage_points(self, group: str) -> Sequence[Peer]:
        """Return the members that may be asked to probe a group's primary."""
        return choose_vantage_points(group, self._membership.members(), self._membership.local)

    # Life cycle

    async def start(self) -> None:
        """Start supervising."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop supervising and close all control connections."""
        tasks = [task for _, task in self._supervisors.values()]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._supervisors.clear()
        self._confirmer.close()
        self._controls.close()

    async def _run(self) -> None:
        while True:
            await self._update_assignment()
            self._controls.close_idle()
            await self._clock.sleep(ASSIGN_INTERVAL_S)

    async def _update_assignment(self) -> None:
        """Choose supervisors again if the groups or the live members have changed.

        Only name, address and weight of a member count: other fields, such as the configuration
        revision, change often and do not affect the choice.
        """
        groups = self.groups()
        members = self._membership.members()
        live = [member for member in members if member.state == SUPERVISING_STATE]
        live_keys = frozenset((member.vm, member.address, member.weight) for member in live)
        if groups is self._assigned_groups and live_keys == self._assigned_members:
            return
        await self._table.update(sorted(groups), live)
        self._start_and_stop_supervisors()
        self._assigned_groups, self._assigned_members = groups, live_keys

    def _start_and_stop_supervisors(self) -> None:
        local = self._membership.local.vm
        assigned = {
            group
            for group in self.groups()
            if (member := self._table.find(group)) is not None and member.vm == local
        }
        for group in self._supervisors.keys() - assigned:
            self._supervisors.pop(group)[1].cancel()
        for group in assigned - self._supervisors.keys():
            supervisor = self._make_supervisor(group)
            self._supervisors[group] = supervisor, asyncio.create_task(supervisor.run())

    def _make_supervisor(self, group: str) -> GroupSupervisor:
        return GroupSupervisor(
            name=group,
            groups=self,
            promoter=self._make_promoter(),
            controls=self._controls,
            backends=self._backends,
            vantage=self._vantage,
            clock=self._clock,
            random=self._random,
            telemetry=self._telemetry,
        )

    def _make_promoter(self) -> Promoter:
        return Promoter(
            store=self._store,
            controls=self._controls,
            clock=self._clock,
            random=self._random,
            proposer=self._membership.local.vm,
            telemetry=self._telemetry,
            publish=self.accept,
        )

    def _handle_object_change(self, stored: StoredObject) -> None:
        if stored.kind in (Kind.SERVICE, Kind.FAILURE_DOMAIN):
            self._groups = None

    def _handle_suspicion(self, sender: Sender, message: SuspectPrimary) -> None:
        record = self.find_record(message.group)
        if message.group in self._supervisors and record and record.term == message.term:
            self._supervisors[message.group][0].request_check()

    def _is_superseded(self, group: str, term: int) -> bool:
        record = self.find_record(group)
        return record is not None and record.is_open and record.term > term

    def _report_term_not_confirmed(self) -> UncertaintyReason:
        self._telemetry.count("writes_unconfirmed", reason=UncertaintyReason.TERM_NOT_CONFIRMED)
        return UncertaintyReason.TERM_NOT_CONFIRMED

    def _parse(self, group: str, stored: StoredObject | None) -> GroupRecord | None:
        try:
            return parse_record(stored)
        except GroupRecordInvalid as error:
            log.error("group_record_invalid", group=group, error=error)
            return None
