"""Replacement of primaries: the decisions, and whole takeovers against stand-in servers."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from lentilring.catalog.leadership import Leadership
from lentilring.catalog.model import ServerEntry, ServerRole, build_server_table
from lentilring.catalog.service import CatalogService
from lentilring.gateways.lease import LEASE_MARGIN_S, LEASE_S, LeadershipLease
from lentilring.gateways.server import ReplicationStatus
from lentilring.gateways.service import GatewayService
from lentilring.platform.store import Kind, StoredObject, VersionConflict
from lentilring.statements.model import Position
from lentilring.takeover.authority import NO_COMMITS, PromotionAuthority, PromotionIntent
from lentilring.takeover.reasons import (
    MAX_PROMOTION_S,
    MIN_PERSISTENCE_S,
    RANK_DELAY_S,
    PrimaryObservation,
    PrimaryWatch,
    PromotionWatch,
    ReplacementReason,
    ReplacementWatch,
    find_replacement_reason,
)
from lentilring.takeover.service import TakeoverService, _Takeover
from lentilring.takeover.succession import (
    Candidate,
    NoSafeSuccessor,
    Successor,
    choose_pause_term,
    choose_successor,
)
from lentilring.telemetry.metrics import Telemetry

from .prepared import run, run_prepared_platform, wait_until
from .virtual_time import SuspensibleClock


def build_entry(
    name: str, *, role: ServerRole = ServerRole.REPLICA, **others: object
) -> ServerEntry:
    values: dict[str, object] = {
        "id": name,
        "service": "rental",
        "address": "127.0.0.1:1",
        "failure_domain": "casa-a",
        "slots": 2,
        "is_draining": False,
        "role": role,
        "cold_remaining_s": 0.0,
        "started_ms": 1,
        "revision": 1,
        **others,
    }
    return ServerEntry(**values)  # type: ignore[arg-type]


def build_candidate(name: str, number: int, *, eligible: bool = True, term: int = 1) -> Candidate:
    position = Position(term=term, number=number)
    return Candidate(server=build_entry(name), received=position, is_eligible=eligible)


class SuccessionTest(TestCase):
    def test_furthest_replica_is_chosen(self) -> None:
        """Guards against the loss of a commit that only one replica has."""
        choice = choose_successor(
            [build_candidate("a", 5), build_candidate("b", 9)],
            replicas=["a", "b"],
            old_failure_domain="casa-a",
            min_position=NO_COMMITS,
        )
        assert isinstance(choice, Successor)
        self.assertEqual("b", choice.server.id)

    def test_greater_term_is_further_than_a_greater_number(self) -> None:
        """Guards against comparing numbers of different terms."""
        choice = choose_successor(
            [build_candidate("a", 50, term=1), build_candidate("b", 9, term=2)],
            replicas=["a", "b"],
            old_failure_domain="",
            min_position=NO_COMMITS,
        )
        assert isinstance(choice, Successor)
        self.assertEqual("b", choice.server.id)

    def test_missing_replica_prevents_the_choice(self) -> None:
        """Guards against promoting while the replica that acknowledged a commit may be silent."""
        choice = choose_successor(
            [build_candidate("a", 5)],
            replicas=["a", "b"],
            old_failure_domain="",
            min_position=NO_COMMITS,
        )
        self.assertIsInstance(choice, NoSafeSuccessor)

    def test_behind_replica_is_not_taken_for_an_ineligible_one(self) -> None:
        """Guards against losing commits to avoid an evacuated failure domain."""
        choice = choose_successor(
            [build_candidate("a", 5), build_candidate("b", 9, eligible=False)],
            replicas=["a", "b"],
            old_failure_domain="",
            min_position=NO_COMMITS,
        )
        self.assertIsInstance(choice, NoSafeSuccessor)

    def test_replica_without_the_commits_that_the_primary_began_with_is_not_chosen(self) -> None:
        """Guards against losing commits that only the old primary has had since its own promotion.

        A replica that received nothing replaced a primary that had just been promoted, and 17
        commits were lost (bricola-hq trouble-1, seed 519159464596).
        """
        choice = choose_successor(
            [build_candidate("deaf", 34)],
            replicas=["deaf"],
            old_failure_domain="",
            min_position=Position(term=1, number=49),
        )
        self.assertIsInstance(choice, NoSafeSuccessor)

    def test_server_of_an_open_promotion_is_preferred(self) -> None:
        """Guards against promoting a second server when an earlier promotion takes effect late."""
        choice = choose_successor(
            [build_candidate("a", 9), build_candidate("b", 9)],
            replicas=["a", "b"],
            old_failure_domain="",
            min_position=NO_COMMITS,
            intended="b",
        )
        assert isinstance(choice, Successor)
        self.assertEqual("b", choice.server.id)

    def test_replicas_hold_the_next_term_whatever_other_takeovers_hold(self) -> None:
        """Guards against a replica paused below a term that is above the next primary's.

        Such a replica receives nothing more. On khaima-ops-grown trouble-1, three takeovers in a
        row paused replicas below terms 3, 5 and 6, the primary that resulted had term 4, and one
        replica received nothing for the rest of the day.
        """
        statuses = [
            ReplicationStatus(
                role=ServerRole.REPLICA,
                term=term,
                received=Position(term=term, number=9),
                paused_below_term=pause_term,
            )
            for term, pause_term in ((1, 6), (3, 0))
        ]
        self.assertEqual(4, choose_pause_term(statuses, known_term=2))
        self.assertEqual(6, choose_pause_term(statuses, known_term=5))
        self.assertEqual(3, choose_pause_term([], known_term=2))


class PromotionWatchTest(TestCase):
    def test_promotion_of_another_proxy_is_left_to_it_for_a_while(self) -> None:
        """Guards against a second takeover that pauses the replicas of a new primary."""
        watch = PromotionWatch(local_vm="vm-a")
        other = PromotionIntent(version=7, server="i-1", is_open=True, vm="vm-b")
        self.assertTrue(watch.may_still_run("rental", other, now=10.0))
        self.assertTrue(watch.may_still_run("rental", other, now=10.0 + MAX_PROMOTION_S - 0.1))
        self.assertFalse(watch.may_still_run("rental", other, now=10.0 + MAX_PROMOTION_S + 0.1))
        newer = replace(other, version=9)
        self.assertTrue(watch.may_still_run("rental", newer, now=20.0))

    def test_settled_and_own_promotions_are_not_waited_for(self) -> None:
        """Guards against a takeover that waits for its own promotion or for a completed one."""
        watch = PromotionWatch(local_vm="vm-a")
        settled = PromotionIntent(version=7, server="i-1", is_open=False, vm="vm-b")
        own = PromotionIntent(version=8, server="i-1", is_open=True, vm="vm-a")
        self.assertFalse(watch.may_still_run("rental", settled, now=10.0))
        self.assertFalse(watch.may_still_run("rental", own, now=10.0))


class TroubleTest(TestCase):
    def observe(self, **values: object) -> PrimaryObservation:
        known: dict[str, object] = {
            "is_registered": True,
            "is_draining": False,
            "is_evacuated": False,
            "proof_age_s": 0.1,
            "commit_silence_s": 0.0,
            **values,
        }
        return PrimaryObservation(**known)  # type: ignore[arg-type]

    def test_reasons(self) -> None:
        """Guards against keeping a primary that should be replaced, and the reverse."""
        cases = {
            None: {},
            ReplacementReason.LEAVING: {"is_draining": True},
            ReplacementReason.EVACUATED: {"is_evacuated": True},
            ReplacementReason.MISSING: {"is_registered": False},
            ReplacementReason.SILENT: {"proof_age_s": 0.8},
            ReplacementReason.CANNOT_COMMIT: {"commit_silence_s": 1.7},
        }
        for expected, values in cases.items():
            self.assertEqual(expected, find_replacement_reason(self.observe(**values)))

    def test_later_supervisors_wait_longer_and_planned_trouble_is_due_at_once(self) -> None:
        """Guards against two supervisors that act together, and slow planned replacements."""
        watch = ReplacementWatch()
        watch.update(ReplacementReason.LEAVING, 10.0)
        self.assertTrue(watch.is_due(rank=0, was_proved=True, now=10.0))
        late = 10.0 + RANK_DELAY_S
        self.assertFalse(watch.is_due(rank=1, was_proved=True, now=late - 0.1))
        self.assertTrue(watch.is_due(rank=1, was_proved=True, now=late + 0.1))

    def test_short_silence_is_not_due(self) -> None:
        """Guards against replacing a primary after one missed proof, or just after a start."""
        watch = ReplacementWatch()
        watch.update(ReplacementReason.SILENT, 10.0)
        self.assertFalse(watch.is_due(rank=0, was_proved=True, now=10.0 + MIN_PERSISTENCE_S - 0.05))
        self.assertTrue(watch.is_due(rank=0, was_proved=True, now=10.0 + MIN_PERSISTENCE_S + 0.05))
        self.assertFalse(watch.is_due(rank=0, was_proved=False, now=11.0))
        watch.update(None, 10.6)
        watch.update(ReplacementReason.SILENT, 10.7)
        self.assertFalse(watch.is_due(rank=0, was_proved=True, now=10.8))

    def test_age_of_a_lead_counts_from_a_change_of_the_primary(self) -> None:
        """Guards against blaming a new primary, and against forgiving one at each start."""
        watch = PrimaryWatch()
        watch.update("rental", "a", 10.0)
        self.assertGreater(watch.find_age_s("rental", 10.0), 1000)
        watch.update("rental", "b", 20.0)
        watch.update("rental", "b", 21.0)
        self.assertEqual(1.5, watch.find_age_s("rental", 21.5))


class LeadershipTest(TestCase):
    def test_denied_primary_is_not_believed_until_it_registers_again(self) -> None:
        """Guards against sending writes to a server that denies being the primary."""
        leadership = Leadership()
        entry = build_entry("a", role=ServerRole.PRIMARY)
        table = build_server_table({"a": entry})
        self.assertEqual(entry, leadership.find_primary("rental", table))
        leadership.record_denial(entry)
        self.assertIsNone(leadership.find_primary("rental", table))
        newer = build_entry("a", role=ServerRole.PRIMARY, revision=2)
        self.assertEqual(newer, leadership.find_primary("rental", build_server_table({"a": newer})))

    def test_proof_of_an_older_term_does_not_return_the_lead(self) -> None:
        """Guards against believing the old primary again because of a late answer."""
        leadership = Leadership()
        table = build_server_table({"a": build_entry("a"), "b": build_entry("b")})
        leadership.record_leader("rental", "b", 2)
        leadership.record_leader("rental", "a", 1)
        primary = leadership.find_primary("rental", table)
        self.assertEqual("b", primary.id if primary else None)


class LeaseTest(TestCase):
    def status(self, role: ServerRole, term: int, pause_term: int = 0) -> ReplicationStatus:
        received = Position(term=term, number=1)
        return ReplicationStatus(
            role=role, term=term, received=received, paused_below_term=pause_term
        )

    def test_only_a_receiving_replica_proves_the_lead(self) -> None:
        """Guards against a partitioned primary that was replaced and does not know it."""
        primary, replica = ServerRole.PRIMARY, ServerRole.REPLICA
        own = self.status(primary, 3)
        cases = [
            (own, [self.status(replica, 3)], True),
            (own, [self.status(replica, 3, pause_term=4)], False),
            (own, [self.status(replica, 4)], False),
            (own, [self.status(primary, 4), self.status(replica, 3, pause_term=4)], False),
            (own, [], False),
            (None, [self.status(replica, 3)], False),
            (self.status(replica, 3), [self.status(replica, 3)], False),
        ]
        for own_status, others, expected in cases:
            lease = LeadershipLease()
            lease.record_statuses(own_status, others, has_replicas=True, asked_at=10.0)
            self.assertEqual(expected, lease.is_valid(10.1), (own_status, others))

    def test_one_replica_extends_only_a_proved_lead_of_the_same_term(self) -> None:
        """Guards against renewing a lease by a paused replica or by one of a later term."""
        replica = ServerRole.REPLICA
        unproved = LeadershipLease()
        self.assertFalse(unproved.renew(self.status(replica, 3), asked_at=10.0))
        lease = LeadershipLease()
        lease.record_statuses(
            self.status(ServerRole.PRIMARY, 3),
            [self.status(replica, 3)],
            has_replicas=True,
            asked_at=10.0,
        )
        for status in (
            None,
            self.status(replica, 4),
            self.status(replica, 3, pause_term=4),
            self.status(ServerRole.PRIMARY, 4),
        ):
            self.assertFalse(lease.renew(status, asked_at=20.0), status)
        self.assertFalse(lease.is_valid(20.0))
        self.assertTrue(lease.renew(self.status(replica, 3), asked_at=20.0))
        self.assertTrue(lease.is_valid(20.5))

    def test_lease_counts_from_the_question_and_ends(self) -> None:
        """Guards against a lease that is still valid after a takeover has waited for its end."""
        lease = LeadershipLease()
        replica = [self.status(ServerRole.REPLICA, 3)]
        lease.record_statuses(
            self.status(ServerRole.PRIMARY, 3), replica, has_replicas=True, asked_at=10.0
        )
        self.assertTrue(lease.is_valid(10.0 + LEASE_S - 2 * LEASE_MARGIN_S))
        self.assertFalse(lease.is_valid(10.0 + LEASE_S))


class MemoryStore:
    """Store objects in memory, with conditional updates."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0

    async def get(self, kind: str, name: str) -> StoredObject | None:
        return self.objects.get(name)

    async def put(self, kind, name, value, *, expected_version):  # type: ignore[no-untyped-def]
        current = self.objects.get(name)
        if (current.version if current else 0) != expected_version:
            raise VersionConflict(
                kind=kind, name=name, expected_version=expected_version, current=current
            )
        if current is None or current.value != value:
            self.revision += 1
            self.objects[name] = StoredObject(
                kind=kind, name=name, version=self.revision, revision=self.revision, value=value
            )
        return self.objects[name]


def build_authority(store: MemoryStore, vm: str) -> PromotionAuthority:
    return PromotionAuthority(store=store, vm=vm, find_era=lambda: 1)  # type: ignore[arg-type]


class AuthorityTest(TestCase):
    def test_tokens_rise_and_a_concurrent_claim_fails(self) -> None:
        """Guards against two proxies that promote with the same fencing token."""

        async def scenario() -> None:
            store, position = MemoryStore(), Position(term=1, number=9)
            first = build_authority(store, "vm-a")
            second = build_authority(store, "vm-b")
            seen_first, seen_second = await first.read("rental"), await second.read("rental")
            claimed = await first.claim("rental", "a", received=position, previous=seen_first)
            assert claimed is not None
            self.assertIsNone(
                await second.claim("rental", "b", received=position, previous=seen_second)
            )
            seen = await second.read("rental")
            self.assertTrue(seen.is_open)
            again = await second.claim("rental", "a", received=position, previous=seen)
            assert again is not None
            self.assertTrue(again.version > claimed.version)
            same = await second.claim("rental", "a", received=position, previous=again)
            assert same is not None
            self.assertTrue(same.version > again.version)
            await second.mark_completed("rental", previous=same)
            settled = await first.read("rental")
            self.assertFalse(settled.is_open)
            self.assertEqual(position, settled.received)
            self.assertEqual(Kind.PROMOTION, "promotion")

        asyncio.run(scenario())


class ResumeTest(TestCase):
    """Whether a takeover that gave up may let the replicas receive again."""

    knows_all = True

    def build(self, store: MemoryStore, clock: SuspensibleClock) -> TakeoverService:
        unused: Any = None
        fleet: Any = SimpleNamespace(local=SimpleNamespace(vm="vm-b"))
        catalog: Any = SimpleNamespace(store_era=1, knows_all_servers=lambda: self.knows_all)
        return TakeoverService(
            catalog=catalog,
            fleet=fleet,
            gateways=unused,
            sampler=unused,
            connector=unused,
            authority=build_authority(store, "vm-b"),
            promotion=unused,
            clock=clock,
            telemetry=Telemetry(),
        )

    async def decide(self, store: MemoryStore, control: Any, clock: SuspensibleClock) -> bool:
        service = self.build(store, clock)
        takeover = _Takeover(
            service="rental", reason=ReplacementReason.SILENT, old_primary=None, replicas=()
        )
        intent = await service._authority.read("rental")
        return await service._may_resume(takeover, control, intent)

    def test_replicas_stay_paused_if_another_proxy_claims_meanwhile(self) -> None:
        """Guards against the loss of an acknowledged commit.

        One supervisor gives up and asks the replicas for their status, which takes half a second if
        one is silent. Meanwhile another records its promotion and checks that the replicas are
        still paused. If the first one resumed them then, they would confirm commits of the old
        primary that the promoted server lacks.
        """

        async def scenario() -> None:
            store = MemoryStore()
            other = build_authority(store, "vm-a")

            async def read_all(servers: object) -> dict[str, ReplicationStatus]:
                seen = await other.read("rental")
                position = Position(term=1, number=9)
                assert await other.claim("rental", "a", received=position, previous=seen)
                return {}

            control = SimpleNamespace(read_all=read_all)
            self.assertFalse(await self.decide(store, control, SuspensibleClock()))

        asyncio.run(scenario())

    def test_a_takeover_that_began_before_the_replicas_resume_cannot_claim(self) -> None:
        """Guards against a claim between the decision to resume replicas and the resumption."""

        async def scenario() -> None:
            store = MemoryStore()
            other = build_authority(store, "vm-a")
            seen = await other.read("rental")
            control = SimpleNamespace(read_all=_read_nothing)
            self.assertTrue(await self.decide(store, control, SuspensibleClock()))
            position = Position(term=1, number=9)
            self.assertIsNone(await other.claim("rental", "a", received=position, previous=seen))

        asyncio.run(scenario())

    def test_replicas_stay_paused_while_the_store_may_have_lost_a_promotion(self) -> None:
        """Guards against a resumption before another proxy writes its promotion again."""

        async def scenario() -> None:
            self.knows_all = False
            control = SimpleNamespace(read_all=_read_nothing)
            self.assertFalse(await self.decide(MemoryStore(), control, SuspensibleClock()))

        asyncio.run(scenario())

    def test_a_process_that_was_suspended_after_its_decision_resumes_nothing(self) -> None:
        """Guards against a resumption after a later takeover has checked the replicas."""

        async def scenario() -> None:
            clock = SuspensibleClock()

            class SuspendingStore(MemoryStore):
                async def put(self, *values, **options):  # type: ignore[no-untyped-def]
                    clock.suspended_s += 3.0
                    return await super().put(*values, **options)

            control = SimpleNamespace(read_all=_read_nothing)
            self.assertFalse(await self.decide(SuspendingStore(), control, clock))

        asyncio.run(scenario())


async def _read_nothing(servers: object) -> dict[str, ReplicationStatus]:
    return {}


class TakeoverProcessTest(TestCase):
    def test_leaving_primary_is_replaced_and_writes_go_on(self) -> None:
        """Guards against sending work to a primary after its grace time for leaving."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                client = await prepared.proxies["vm-1"].open("booking")
                await client.query("WRITE a 1")
                prepared.register(prepared.group.servers[0], state="draining")
                await asyncio.sleep(0.3)
                answer = await client.query("WRITE a 2")
                self.assertTrue(answer[0].startswith("COMPLETE proof."), answer)
                await wait_until(lambda: prepared.group.term == 2, within_s=3)
                assert prepared.group.leader is not None
                self.assertNotEqual("i-rental-0", prepared.group.leader.id)
                answer = await client.query("WRITE a 3")
                self.assertTrue(answer[0].startswith("COMPLETE proof."), answer)
                tokens = [token for _, _, _, token in prepared.store.promotions]
                self.assertEqual(len(tokens), len(set(tokens)))

        run(scenario())

    def test_crashed_primary_is_replaced_without_losing_a_commit(self) -> None:
        """Guards against promoting a replica that lacks an acknowledged commit."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                servers = prepared.group.servers
                client = await prepared.proxies["vm-2"].open("booking")
                await client.query("WRITE a 1")
                # From here on, only one replica receives the acknowledged commits.
                servers[1].paused_term = 9
                await client.query("WRITE a 2")
                await client.query("WRITE a 3")
                servers[1].paused_term = 0
                await servers[0].stop()
                servers[0].faults.refuses_connections = True
                await wait_until(lambda: prepared.group.leader is servers[2], within_s=6)
                self.assertEqual((1, 3), servers[2].received)
                await asyncio.sleep(0.2)
                answer = await client.query("WRITE a 4")
                self.assertTrue(answer[0].startswith("COMPLETE proof."), answer)

        run(scenario())

    def test_replaced_primary_behind_a_partition_serves_no_reads(self) -> None:
        """Guards against reads from a primary that does not know that it was replaced.

        The registrations still name it as the primary, so every proxy believes that it is.
        """

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                servers = prepared.group.servers
                clients = [
                    await prepared.proxies["vm-0"].open(database)
                    for database in ("booking", "stock", "delivery")
                ]
                for client in clients:
                    self.assertIn("COMPLETE", (await client.query("READ a"))[1])
                prepared.promote_delay_s = 60
                servers[0].cut_off_term = 1
                servers[1].paused_term = servers[2].paused_term = 2
                await asyncio.sleep(LEASE_S)
                prepared.group.promote("i-rental-1")
                prepared.group.commit()
                # Reads that allow some staleness may still miss this commit for a while.
                answer = await clients[0].query("READ a", "after")
                self.assertNotIn("COMPLETE proof.i-rental-0.after", answer)
                await asyncio.sleep(1.5)
                count = len(prepared.group.runs)
                for client in clients:
                    await client.query("READ a")
                late = {entry.server for entry in prepared.group.runs[count:]}
                self.assertNotIn("i-rental-0", late)

        run(scenario())

    def test_new_process_waits_for_registrations_that_lapsed(self) -> None:
        """Guards against a promotion without a replica that is alive, but not registered.

        Registrations lapse while the store is away and are back within 2 s. A process that started
        meanwhile has not seen the replica, which may have the newest acknowledged commit.
        """

        async def scenario() -> None:
            async with run_prepared_platform(proxies=0) as platform:
                primary, lapsed = platform.group.servers[0], platform.group.servers[2]
                platform.store.remove("servers", lapsed.id)
                proxy = await platform.add_proxy("vm-0", "casa-a")
                await platform.wait_ready()
                gateways = proxy.kernel.find("gateways", GatewayService)
                await (await proxy.open("stock")).query("READ tent")
                await wait_until(
                    lambda: gateways.get_history("rental").find_newest() is not None, within_s=1.0
                )
                await primary.stop()
                primary.faults.refuses_connections = True
                await asyncio.sleep(1.7)
                self.assertEqual([], platform.store.promotions)
                platform.register(lapsed)
                await wait_until(lambda: bool(platform.store.promotions), within_s=8)
                self.assertIn(lapsed.id, proxy.catalog.servers.entries)

        run(scenario())

    def test_replica_that_registers_during_a_takeover_is_asked_before_the_promotion(self) -> None:
        """Guards against the loss of a commit that only a returned replica has acknowledged."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                primary, behind, returned = platform.group.servers
                catalog = platform.proxies["vm-0"].catalog
                platform.store.remove("servers", returned.id)
                await wait_until(lambda: returned.id not in catalog.servers.entries, within_s=5.0)
                behind.faults.receives_nothing = True
                client = await platform.proxies["vm-0"].open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[-2])
                primary.faults.silent = True
                await wait_until(lambda: behind.paused_term > 0, within_s=5.0)
                platform.register(returned)
                await wait_until(lambda: platform.group.term > 1, within_s=8.0)
                self.assertEqual([], platform.group.rolled_back)
                self.assertEqual(returned, platform.group.leader)

        run(scenario())

    def test_replica_whose_registration_lapsed_is_asked_if_it_answers(self) -> None:
        """Guards against the loss of a commit that only an unregistered replica has."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                primary, behind, unregistered = platform.group.servers
                catalog = platform.proxies["vm-0"].catalog
                platform.store.remove("servers", unregistered.id)
                await wait_until(
                    lambda: unregistered.id not in catalog.servers.entries, within_s=5.0
                )
                behind.faults.receives_nothing = True
                client = await platform.proxies["vm-0"].open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[-2])
                await primary.stop()
                await wait_until(lambda: platform.group.term > 1, within_s=8.0)
                self.assertEqual([], platform.group.rolled_back)
                self.assertEqual(unregistered, platform.group.leader)

        run(scenario())

    def test_promotion_without_an_answer_is_asked_for_again_with_its_token(self) -> None:
        """Guards against a service without a primary because the platform ignored one call."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                client = await prepared.proxies["vm-0"].open("booking")
                await client.query("WRITE a 1")
                prepared.store.faults.ignored_promotions = 2
                await prepared.group.servers[0].stop()
                await wait_until(lambda: prepared.group.term == 2, within_s=8)
                self.assertEqual(3, len(prepared.store.promotions))
                self.assertEqual(1, len({token for *_, token in prepared.store.promotions}))

        run(scenario())

    def test_silent_replica_prevents_a_promotion_until_it_answers(self) -> None:
        """Guards against a promotion while a replica that acknowledged a commit is silent."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                servers = prepared.group.servers
                client = await prepared.proxies["vm-0"].open("booking")
                await client.query("WRITE a 1")
                servers[2].faults.silent = True
                await servers[0].stop()
                await asyncio.sleep(3.0)
                self.assertEqual([], prepared.store.promotions)
                servers[2].faults.silent = False
                await wait_until(lambda: prepared.group.term == 2, within_s=6)

        run(scenario())

    def test_stand_in_that_steps_down_acknowledges_nothing_by_itself(self) -> None:
        """Guards against a stand-in that takes a former primary for a replica with the commit.

        The soak's seed 7 counted three such commits as lost.
        """

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                group = prepared.group
                client = await prepared.proxies["vm-0"].open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[0])
                for replica in group.servers[1:]:
                    replica.paused_term = group.term + 1
                commit = asyncio.ensure_future(client.query("WRITE a 2"))
                await wait_until(lambda: len(group.log) == 2, within_s=2)
                group.leader = None
                self.assertNotIn("COMPLETE", (await commit)[0])
                client.close()

        run(scenario())

    def test_takeover_leaves_no_replica_paused_when_only_the_copies_changed(self) -> None:
        """Guards against replicas that stay paused though nobody promotes a server."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                proxy = prepared.proxies["vm-0"]
                takeover = proxy.kernel.find("takeover", TakeoverService)
                authority = takeover._authority
                claim = authority.claim

                async def claim_late(service: str, *values: Any, **named: Any) -> Any:
                    """Claim after another proxy has recorded the copies."""
                    authority.claim = claim  # type: ignore[method-assign]
                    seen = await authority.read(service)
                    await authority.record_copies(service, seen.copies, previous=seen)
                    return await claim(service, *values, **named)

                await wait_until(lambda: authority.find_known("rental") is not None, within_s=8)
                authority.claim = claim_late  # type: ignore[method-assign]
                retried = takeover._retry_at
                prepared.register(prepared.group.servers[0], state="draining")
                await wait_until(lambda: "rental" in retried, within_s=8)
                self.assertEqual([0, 0, 0], [e.paused_term for e in prepared.group.servers])
                await wait_until(lambda: prepared.group.term == 2, within_s=8)

        run(scenario())

    def test_store_outage_postpones_the_promotion(self) -> None:
        """Guards against promotions without a fencing token."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                prepared.store.faults.down = True
                await prepared.group.servers[0].stop()
                await asyncio.sleep(2.5)
                self.assertEqual([], prepared.store.promotions)
                prepared.store.faults.down = False
                await wait_until(lambda: prepared.group.term == 2, within_s=6)

        run(scenario())

    def test_proxy_without_the_store_learns_of_the_new_primary(self) -> None:
        """Guards against a proxy that uses the old primary while it cannot reach the store.

        In an incident (khaima-ops inc-3ba6), two proxies began takeovers of a server that had been
        replaced 5 s before.
        """

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                proxy = prepared.proxies["vm-2"]
                catalog = proxy.kernel.find("catalog", CatalogService)
                await catalog.stop()
                prepared.register(prepared.group.servers[0], state="draining")

                def believed() -> str:
                    primary = catalog.find_primary("rental")
                    return "" if primary is None else primary.id

                await wait_until(lambda: prepared.group.term == 2, within_s=6)
                assert prepared.group.leader is not None
                leader = prepared.group.leader.id
                await wait_until(lambda: believed() == leader, within_s=3)

        run(scenario())

    def test_evacuated_primary_is_replaced_elsewhere(self) -> None:
        """Guards against sending work to a failure domain after its evacuation."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                prepared.store.put("evacuations", "casa-a", {})
                await wait_until(lambda: prepared.group.term == 2, within_s=4)
                client = await prepared.proxies["vm-0"].open("stock")
                for _ in range(5):
                    await client.query("READ a")
                late = {entry.server for entry in prepared.group.runs}
                self.assertNotIn("i-rental-0", late)

        run(scenario())
