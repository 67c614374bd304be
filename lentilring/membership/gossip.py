"""SWIM-style failure detection and dissemination.

Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
membership protocol", 2002.
"""

import asyncio
import math
from collections.abc import Coroutine
from random import Random

from ..clock import Clock
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .member import UNKNOWN_INCARNATION, Member, MemberState
from .messages import Gossip, IndirectProbe, Probe, ProbeAnswer, SyncReply, SyncRequest
from .sizes import MAX_PAYLOAD_BYTES
from .status import StatusTable
from .table import MemberTable, estimate_member_size

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
INDIRECT_TIMEOUT_S = 0.5
INDIRECT_PROBES = 3
# A suspicion lasts this long for each factor of ten in members, so that a refutation can reach
# all members before the suspect is declared dead.
SUSPICION_S = 4.0
# Interval between datagrams to one random member: three members every 250 ms.
GOSSIP_INTERVAL_S = 0.25 / 3
SYNC_INTERVAL_S = 10.0
SYNC_TIMEOUT_S = 1.0
# Minimum time between table exchanges caused by unknown senders, so that many of them at once, as
# after a partition, cause a single exchange.
MIN_SCHEDULED_SYNC_INTERVAL_S = 1.0
# Interval between table exchanges with a dead member that is not known to be removed, so that
# partitions heal.
RECONNECT_INTERVAL_S = 5.0
JITTER = 0.2
# A delay greater than this means that the local process was paused, so time-outs that expired
# meanwhile say nothing about other members.
STALL_S = 0.5
LEAVE_FANOUT = 8
# A node sends the suspicions that it raised again to up to this many suspects, because all
# datagrams that spread a suspicion may have been lost.
MAX_REPEATED_SUSPICIONS = 8

log = Log(source="membership")


class GossipProtocol:
    """Probe members, declare unresponsive ones suspect and then dead, and spread changes."""

    def __init__(
        self,
        *,
        table: MemberTable,
        statuses: StatusTable,
        clock: Clock,
        random: Random,
        transport: PeerTransport,
        telemetry: Telemetry,
    ) -> None:
        self.table = table
        self.statuses = statuses
        self._clock = clock
        self._random = random
        self._transport = transport
        self._telemetry = telemetry
        self._sequence = 0
        self._pending_answers: dict[int, tuple[set[str], asyncio.Event]] = {}
        self._suspected_at: dict[str, tuple[int, float]] = {}
        self._own_suspects: set[str] = set()
        self._probe_order: list[str] = []
        self._syncing: set[str] = set()
        self._last_scheduled_sync_at = -math.inf
        self._tasks: set[asyncio.Task[None]] = set()
        self._peers: tuple[Member, ...] | None = None
        table.subscribe(self._handle_change)
        transport.handle_datagram(Probe, self._handle_probe)
        transport.handle_datagram(IndirectProbe, self._handle_indirect_probe)
        transport.handle_datagram(ProbeAnswer, self._handle_answer)
        transport.handle_datagram(Gossip, self._handle_gossip)
        transport.handle(SyncRequest, self._handle_sync)

    def start(self) -> None:
        """Start probing and gossip."""
        for coroutine in (
            self._run_probes(),
            self._run_gossip(),
            self._run_syncs(),
            self._run_reconnects(),
        ):
            self._spawn(coroutine)

    def stop(self) -> None:
        """Cancel all background tasks."""
        for task in self._tasks:
            task.cancel()

    def peers(self) -> tuple[Member, ...]:
        """Return the other members that are not dead."""
        if self._peers is None:
            records = self.table.records.values()
            local = self.table.local.vm
            self._peers = tuple(
                entry for entry in records if entry.is_running and entry.vm != local
            )
        return self._peers

    def choose_peers(self, count: int) -> list[Member]:
        """Return up to `count` random peers."""
        peers = self.peers()
        return self._random.sample(peers, min(count, len(peers)))

    def announce_leaving(self) -> None:
        """Tell several members immediately that the local member is leaving."""
        self.table.announce_leaving()
        for peer in self.choose_peers(LEAVE_FANOUT):
            self._transport.send_datagram(peer.address, Gossip(updates=(self.table.local,)))

    async def sync(self, address: str) -> bool:
        """Exchange tables with the process at an address; tell whether the exchange succeeded."""
        if address in self._syncing:
            return False
        self._syncing.add(address)
        try:
            reply = await self._exchange(address, members=())
            if reply.members_differ:
                await self._exchange(address, members=tuple(self.table.records.values()))
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._telemetry.count("membership_sync_failures", reason=type(error).__name__)
            return False
        finally:
            self._syncing.discard(address)
        return True

    async def _exchange(self, address: str, *, members: tuple[Member, ...]) -> SyncReply:
        request = SyncRequest(
            members_digest=self.table.digest(),
            statuses_digest=self.statuses.digest(),
            members=members,
        )
        reply = await self._transport.call(address, request, timeout_s=SYNC_TIMEOUT_S)
        if not isinstance(reply, SyncReply):
            raise PeerRejected(address=address, detail=type(reply).__name__)
        self.table.merge_table(reply.members, spread=True)
        self.statuses.merge_groups(reply.statuses)
        return reply

    async def _handle_sync(self, sender: Sender, request: SyncRequest) -> SyncReply:
        self.table.merge_table(request.members, spread=True)
        differ = request.members_digest != self.table.digest()
        send_members = differ and request.members
        statuses_differ = request.statuses_digest != self.statuses.digest()
        return SyncReply(
            members_differ=differ,
            members=tuple(self.table.records.values()) if send_members else (),
            statuses=self.statuses.groups() if statuses_differ else (),
        )

    def _merge(self, claims: tuple[Member, ...]) -> None:
        for claim in claims:
            self.table.merge(claim)

    def _handle_change(self, previous: Member | None, record: Member) -> None:
        self._peers = None
        if record.state is MemberState.SUSPECT:
            self._start_suspicion(record)
        elif record.vm in self._suspected_at and record.state is not MemberState.LEAVING:
            del self._suspected_at[record.vm]
        contacted = record.incarnation != UNKNOWN_INCARNATION
        if contacted and (previous is None or previous.state is not record.state):
            log.info(
                "member_changed",
                vm=record.vm,
                incarnation=record.incarnation,
                refutation=record.refutation,
                state=record.state,
                previous=previous.state if previous else "unknown",
            )
            self._telemetry.count("membership_changes", state=record.state)
        if (
            record.vm == self.table.local.vm
            and previous
            and record.refutation > previous.refutation
        ):
            self._telemetry.count("membership_refutations")

    def _start_suspicion(self, record: Member) -> None:
        known = self._suspected_at.get(record.vm)
        if known is None or known[0] != record.refutation:
            self._suspected_at[record.vm] = (record.refutation, self._clock.monotonic())

    async def _run_probes(self) -> None:
        while True:
            started = self._clock.monotonic()
            self._probe_next()
            self._repeat_suspicions()
            await self._clock.sleep(PROBE_INTERVAL_S)
            elapsed = self._clock.monotonic() - started
            if elapsed > PROBE_INTERVAL_S + STALL_S:
                self._extend_suspicions(elapsed - PROBE_INTERVAL_S)
            self._expire_suspicions()

    def _extend_suspicions(self, stalled_s: float) -> None:
        """Extend all suspicions by the time in which refutations could not be received."""
        self._telemetry.count("membership_stalls")
        log.warning("process_was_paused", stalled_s=round(stalled_s, 3))
        self._suspected_at = {
            vm: (refutation, since + stalled_s)
            for vm, (refutation, since) in self._suspected_at.items()
        }

    def _expire_suspicions(self) -> None:
        limit_s = SUSPICION_S * max(1.0, math.log10(len(self.table.records)))
        now = self._clock.monotonic()
        for vm, (refutation, since) in list(self._suspected_at.items()):
            record = self.table.records.get(vm)
            if record is None or record.refutation != refutation:
                del self._suspected_at[vm]
            elif now - since >= limit_s:
                del self._suspected_at[vm]
                self.table.claim_state(record, MemberState.DEAD)

    def _probe_next(self) -> None:
        while self._probe_order:
            record = self.table.records.get(self._probe_order.pop())
            if record is not None and record.is_running:
                self._spawn(self._probe(record))
                return
        self._probe_order = [peer.vm for peer in self.peers()]
        self._random.shuffle(self._probe_order)
        if self._probe_order:
            self._probe_next()

    async def _probe(self, target: Member) -> None:
        started = self._clock.monotonic()
        if await self._ping(target.vm, target.address):
            self._clear_leaving_suspicion(target)
            return
        if await self._ping_indirectly(target):
            self._telemetry.count("membership_indirect_answers")
            self._clear_leaving_suspicion(target)
            return
        limit_s = PROBE_TIMEOUT_S + INDIRECT_TIMEOUT_S + STALL_S
        if self._clock.monotonic() - started > limit_s:
            self._telemetry.count("membership_probes_discarded")
            return
        self._telemetry.count("membership_probes_failed")
        current = self.table.records.get(target.vm)
        if current is None or current.precedence != target.precedence:
            return
        if current.state is MemberState.LIVE:
            self.suspect(current)
        elif current.state is MemberState.LEAVING:
            # A suspect gets new work and a leaving member must not, so it keeps the state leaving.
            self._start_suspicion(current)

    def suspect(self, member: Member) -> None:
        """Claim that a member is suspect; it is declared dead unless it refutes this in time."""
        self._own_suspects.add(member.vm)
        self.table.claim_state(member, MemberState.SUSPECT)

    def _repeat_suspicions(self) -> None:
        records = self.table.records
        self._own_suspects = {
            vm
            for vm in self._own_suspects
            if vm in records and records[vm].state is MemberState.SUSPECT
        }
        count = min(MAX_REPEATED_SUSPICIONS, len(self._own_suspects))
        for vm in self._random.sample(sorted(self._own_suspects), count):
            self._spawn(self._ping_quietly(records[vm]))

    async def _ping_quietly(self, target: Member) -> None:
        await self._ping(target.vm, target.address)

    def _clear_leaving_suspicion(self, target: Member) -> None:
        """End the suspicion of a leaving member that answered; only the local node knows it."""
        if target.state is MemberState.LEAVING:
            self._suspected_at.pop(target.vm, None)

    async def _ping(self, vm: str, address: str) -> bool:
        sequence = self._next_sequence()
        probe = Probe(
            sequence=sequence, target_vm=vm, updates=self._find_suspect(vm) + self._updates()
        )
        self._transport.send_datagram(address, probe)
        return await self._await_answer(sequence, {vm}, PROBE_TIMEOUT_S)

    async def _ping_indirectly(self, target: Member) -> bool:
        helpers = [peer for peer in self.choose_peers(INDIRECT_PROBES + 1) if peer.vm != target.vm]
        sequence = self._next_sequence()
        request = IndirectProbe(
            sequence=sequence, target_vm=target.vm, target_address=target.address
        )
        for helper in helpers[:INDIRECT_PROBES]:
            self._transport.send_datagram(helper.address, request)
        return await self._await_answer(
            sequence, {helper.vm for helper in helpers}, INDIRECT_TIMEOUT_S
        )

    async def _await_answer(self, sequence: int, vms: set[str], timeout_s: float) -> bool:
        answered = asyncio.Event()
        self._pending_answers[sequence] = (vms, answered)
        try:
            async with asyncio.timeout(timeout_s):
                await answered.wait()
        except TimeoutError:
            return False
        finally:
            del self._pending_answers[sequence]
        return True

    def _handle_probe(self, sender: Sender, probe: Probe) -> None:
        self._handle_updates(sender, probe.updates)
        if probe.target_vm != self.table.local.vm:
            self._telemetry.count("membership_probes_misdirected")
            return
        answer = ProbeAnswer(sequence=probe.sequence, updates=self._updates())
        self._transport.send_datagram(sender.address, answer)

    def _handle_indirect_probe(self, sender: Sender, request: IndirectProbe) -> None:
        self._handle_updates(sender, request.updates)
        self._spawn(self._probe_for(sender, request))

    async def _probe_for(self, sender: Sender, request: IndirectProbe) -> None:
        if await self._ping(request.target_vm, request.target_address):
            answer = ProbeAnswer(sequence=request.sequence, updates=self._updates())
            self._transport.send_datagram(sender.address, answer)

    def _handle_answer(self, sender: Sender, answer: ProbeAnswer) -> None:
        self._handle_updates(sender, answer.updates)
        vms, answered = self._pending_answers.get(answer.sequence, (set(), None))
        if answered is None or sender.vm not in vms:
            self._telemetry.count("membership_answers_late")
            return
        answered.set()

    def _handle_gossip(self, sender: Sender, gossip: Gossip) -> None:
        self._handle_updates(sender, gossip.updates)
        self.statuses.merge_groups(gossip.statuses)

    def _handle_updates(self, sender: Sender, updates: tuple[Member, ...]) -> None:
        """Merge a sender's updates and react to a sender that is unknown, dead or suspect here.

        Exchange tables with an unknown or dead one; send a suspect its record, so that it refutes.
        """
        self._merge(updates)
        if sender.vm == self.table.local.vm:
            return
        record = self.table.records.get(sender.vm)
        unknown = record is None or record.incarnation < sender.incarnation
        if unknown or (record is not None and _is_wrongly_declared_dead(record, sender)):
            self._schedule_sync(sender.address)
        elif claim := self._find_suspect(sender.vm):
            self._transport.send_datagram(sender.address, Gossip(updates=claim))

    def _schedule_sync(self, address: str) -> None:
        now = self._clock.monotonic()
        if now - self._last_scheduled_sync_at >= MIN_SCHEDULED_SYNC_INTERVAL_S:
            self._last_scheduled_sync_at = now
            self._spawn(self._sync_quietly(address))

    async def _sync_quietly(self, address: str) -> None:
        await self.sync(address)

    async def _run_gossip(self) -> None:
        while True:
            await self._clock.sleep(self._jitter(GOSSIP_INTERVAL_S))
            if self.table or self.statuses:
                self._gossip_once()

    def _gossip_once(self) -> None:
        for peer in self.choose_peers(1):
            parts = 2 if self.statuses else 1
            updates = self.table.select_updates(budget=MAX_PAYLOAD_BYTES // parts)
            used = sum(estimate_member_size(entry) for entry in updates)
            statuses = self.statuses.select_groups(
                budget=MAX_PAYLOAD_BYTES - used, members=len(self.table.records)
            )
            self._transport.send_datagram(peer.address, Gossip(updates=updates, statuses=statuses))

    async def _run_syncs(self) -> None:
        while True:
            await self._clock.sleep(self._jitter(SYNC_INTERVAL_S))
            for peer in self.choose_peers(1):
                await self.sync(peer.address)

    async def _run_reconnects(self) -> None:
        while True:
            await self._clock.sleep(self._jitter(RECONNECT_INTERVAL_S))
            lost = self.lost_members()
            if lost:
                await self.sync(self._random.choice(lost).address)

    def lost_members(self) -> list[Member]:
        """Return the dead members that are not known to be removed from the platform's list."""
        records = self.table.records.values()
        return [entry for entry in records if not entry.is_running and not entry.is_removed]

    def _find_suspect(self, vm: str) -> tuple[Member, ...]:
        """Return the record of a member that is suspect, for it to refute; empty for others."""
        record = self.table.records.get(vm)
        return (record,) if record and record.state is MemberState.SUSPECT else ()

    def _updates(self) -> tuple[Member, ...]:
        return self.table.select_updates(budget=MAX_PAYLOAD_BYTES // 2)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(1 - JITTER, 1 + JITTER)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._telemetry.count("membership_task_failures")
            log.error("task_failed", error=repr(error))


def _is_wrongly_declared_dead(record: Member, sender: Sender) -> bool:
    return not record.is_running and record.incarnation == sender.incarnation
