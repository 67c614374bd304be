"""Confirmation of writes: shared requests, refusals, lagging replicas and time-outs."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import testtools

from lentilring.clock import LoopClock
from lentilring.database.messages import Role, ServerStatus, TermStart
from lentilring.failover.confirmation import Confirmer, WriteCheck
from lentilring.failover.controls import ControlConnections
from lentilring.failover.group import Group, GroupServer
from lentilring.failover.record import GroupRecord, GroupState, format_record
from lentilring.outcomes import UncertaintyReason
from lentilring.telemetry.metrics import Telemetry

from .fakes_failover import GROUP, NAMES, Cluster
from .virtual_time import run_virtual

TERM_MISSING = UncertaintyReason.TERM_NOT_CONFIRMED
REPLICA_MISSING = UncertaintyReason.REPLICA_NOT_CONFIRMED


def make_group(size: int) -> Group:
    servers = tuple(
        GroupServer(name=f"s{n}", address=f"s{n}", failure_domain="casa-a") for n in range(size)
    )
    return Group(name=GROUP, servers=servers)


def make_record(term: int = 2) -> GroupRecord:
    starts = (TermStart(term=1, position=0), TermStart(term=2, position=10))
    return GroupRecord(
        group=GROUP, term=term, primary="s0", state=GroupState.OPEN, term_starts=starts
    )


def make_status(
    position: int, *log_terms: tuple[int, int], term: int = 2, accepted: bool = True
) -> ServerStatus:
    return ServerStatus(
        server="s1",
        term=term,
        role=Role.REPLICA,
        position=position,
        log_terms=tuple(TermStart(term=term, position=start) for term, start in log_terms),
        primary_silence_s=0.0,
        open_connections=0,
        accepted=accepted,
    )


# The log of a replica that follows the primary of term 2.
TERM_2_LOG = ((1, 0), (2, 10))


@dataclass(kw_only=True)
class ScriptedBackends:
    """Pass every position request to the test, which answers it."""

    requests: list[tuple[str, int, "asyncio.Future[ServerStatus]"]] = field(default_factory=list)

    async def connect_control(self, address: str, *, timeout_s: float) -> "ScriptedControl":
        return ScriptedControl(address=address, requests=self.requests)


@dataclass(kw_only=True)
class ScriptedControl:
    address: str
    requests: list[tuple[str, int, "asyncio.Future[ServerStatus]"]]

    async def await_position(self, *, term: int, position: int, timeout_s: float) -> ServerStatus:
        answer: asyncio.Future[ServerStatus] = asyncio.get_running_loop().create_future()
        self.requests.append((self.address, position, answer))
        return await answer

    def close(self) -> None:
        pass


class SharedRequestTest(testtools.TestCase):
    def run_scripted(
        self, check: Callable[[ScriptedBackends, Callable[..., Any]], Awaitable[None]]
    ) -> None:
        async def body() -> None:
            backends, telemetry, clock = ScriptedBackends(), Telemetry(), LoopClock()
            controls = ControlConnections(
                backends=backends,  # type: ignore[arg-type]
                clock=clock,
                telemetry=telemetry,
            )
            confirmer = Confirmer(controls=controls, clock=clock, telemetry=telemetry)

            def confirm(position: int, *, needs_replica: bool = False) -> Any:
                return asyncio.ensure_future(
                    confirmer.confirm(
                        make_group(3),
                        make_record(),
                        term=2,
                        position=position,
                        needs_replica=needs_replica,
                        timeout_s=0.2,
                    )
                )

            await check(backends, confirm)

        run_virtual(body())

    def test_request_sent_before_a_write_ran_does_not_count(self) -> None:
        """Guards against confirming a write by an answer to a request sent before it ran."""
        for needs_replica in (False, True):

            async def check(
                backends: ScriptedBackends, confirm: Callable[..., Any], needs: bool = needs_replica
            ) -> None:
                first = confirm(20, needs_replica=needs)
                await asyncio.sleep(0.01)
                second = confirm(21, needs_replica=needs)
                await asyncio.sleep(0.01)
                self.assertEqual(["s1", "s2"], [address for address, _, _ in backends.requests])
                for _, _, answer in backends.requests:
                    answer.set_result(make_status(30, *TERM_2_LOG))
                self.assertIsNone(await first)
                await asyncio.sleep(0.01)
                self.assertFalse(second.done())
                # Both replicas are fenced for term 3 before they answer the second write's request.
                for _, _, answer in backends.requests[2:]:
                    answer.set_result(make_status(30, *TERM_2_LOG, term=3, accepted=False))
                self.assertEqual(TERM_MISSING, await second)

            self.run_scripted(check)

    def test_waiting_writes_share_requests(self) -> None:
        """Guards against one request per write, which would overload the replicas."""

        async def check(backends: ScriptedBackends, confirm: Callable[..., Any]) -> None:
            writes = [confirm(20, needs_replica=True)]
            await asyncio.sleep(0.01)
            writes += [confirm(position, needs_replica=True) for position in range(21, 71)]
            await asyncio.sleep(0.01)
            for _, _, answer in backends.requests[:2]:
                answer.set_result(make_status(20, *TERM_2_LOG))
            await asyncio.sleep(0.03)
            self.assertEqual([20, 20, 70, 70], [position for _, position, _ in backends.requests])
            backends.requests[2][2].set_result(make_status(70, *TERM_2_LOG))
            self.assertEqual({None}, set(await asyncio.gather(*writes)))

        self.run_scripted(check)

    def test_refusal_by_all_replicas_ends_the_wait(self) -> None:
        """Guards against a write that waits for its time-out although its term has ended."""

        async def check(backends: ScriptedBackends, confirm: Callable[..., Any]) -> None:
            write = confirm(20)
            await asyncio.sleep(0.01)
            for _, _, answer in backends.requests:
                answer.set_result(make_status(30, *TERM_2_LOG, term=3, accepted=False))
            await asyncio.sleep(0.01)
            self.assertEqual(TERM_MISSING, write.result())

        self.run_scripted(check)

    def test_silence_ends_at_the_time_out(self) -> None:
        """Guards against a write that waits for ever when no replica answers."""

        async def check(backends: ScriptedBackends, confirm: Callable[..., Any]) -> None:
            async with asyncio.timeout(5.0):
                results = await asyncio.gather(confirm(20), confirm(20, needs_replica=True))
            self.assertEqual([TERM_MISSING, TERM_MISSING], results)
            self.assertAlmostEqual(0.2, asyncio.get_running_loop().time())

        self.run_scripted(check)


class WriteCheckTest(testtools.TestCase):
    def make_check(self, size: int = 3, **options: Any) -> WriteCheck:
        """Return the check of a write at position 12 of term 2 that its primary has run."""
        check = WriteCheck(
            group=make_group(size),
            term=2,
            position=12,
            needs_replica=True,
            term_starts=make_record().term_starts,
            **options,
        )
        check.term_confirmed_by.add("s0")
        check.stored_by.add("s0")
        return check

    def test_other_entries_at_the_position_do_not_count(self) -> None:
        """Guards against counting entries of an older term at the write's position.

        A replica with a longer log was fenced for the new term but does not follow its primary yet.
        """
        check = self.make_check()
        check.add_answer("s1", make_status(15, (1, 0)))
        self.assertEqual(REPLICA_MISSING, check.missing)
        check.add_answer("s1", make_status(12, *TERM_2_LOG))
        self.assertIsNone(check.missing)

    def test_lower_term_does_not_count(self) -> None:
        """Guards against counting an instance that missed the promotion and has an older term."""
        check = self.make_check()
        check.add_answer("s1", make_status(15, *TERM_2_LOG, term=1))
        self.assertEqual(TERM_MISSING, check.missing)

    def test_refusal_does_not_count(self) -> None:
        """Guards against counting an answer in which the server refused the request."""
        check = self.make_check()
        check.add_answer("s1", make_status(15, *TERM_2_LOG, accepted=False))
        self.assertEqual(TERM_MISSING, check.missing)

    def test_group_of_five_needs_a_majority_with_the_write(self) -> None:
        """Guards against confirming a write on two of five instances.

        The other three are a majority, so a later promotion could choose one without the write.
        """
        check = self.make_check(size=5)
        check.add_answer("s1", make_status(12, *TERM_2_LOG))
        check.add_answer("s2", make_status(11, *TERM_2_LOG))
        self.assertEqual(REPLICA_MISSING, check.missing)
        check.add_answer("s3", make_status(12, *TERM_2_LOG))
        self.assertIsNone(check.missing)

    def test_single_instance_has_no_replica(self) -> None:
        """Guards against the acknowledgement `replica` in a group without replicas."""
        check = self.make_check(size=1)
        self.assertEqual(REPLICA_MISSING, check.missing)


class ServiceConfirmationTest(testtools.TestCase):
    def run_cluster(self, check: Callable[[Cluster], Awaitable[Any]]) -> None:
        async def body() -> None:
            cluster = Cluster()
            await cluster.start(services=False)
            await check(cluster)

        run_virtual(body())

    def test_lagging_replicas_confirm_the_term_only(self) -> None:
        """Guards against replica lag that delays a write past its time-out.

        Lag must also not stop writes that need no replica.
        """

        async def check(cluster: Cluster) -> None:
            for name in NAMES:
                cluster.server(name).settings.replication_lag_s = 60.0
            # A replication request that already waits for entries still uses the old lag.
            await asyncio.sleep(5.0)
            start = asyncio.get_running_loop().time()
            written = await cluster.proxies[0].write("a")
            self.assertEqual(REPLICA_MISSING, written.missing)
            self.assertLess(asyncio.get_running_loop().time() - start, 1.1)
            written = await cluster.proxies[0].write("b", needs_replica=False)
            self.assertIsNone(written.missing)

        self.run_cluster(check)

    def test_known_later_term_stops_confirmation(self) -> None:
        """Guards against confirming a write of an old term after a later term opened.

        The instances answered before the later term opened; the answers arrive afterwards.
        """

        async def check(cluster: Cluster) -> None:
            proxy = cluster.proxies[0]
            term, position = await proxy.run_write("a")
            write = asyncio.ensure_future(
                proxy.groups.confirm_write(
                    GROUP, term=term, position=position, needs_replica=False, timeout_s=1.0
                )
            )
            await asyncio.sleep(0.001)
            later = replace(cluster.record, term=term + 1)
            newer = replace(cluster.stored, version=9, value=format_record(later))
            proxy.configuration.apply_local_changes([newer])
            self.assertEqual(TERM_MISSING, await write)

        self.run_cluster(check)

    def test_gateway_without_the_record_asks_all_instances(self) -> None:
        """Guards against an unknown outcome at a gateway that lacks the record of a new term."""

        async def check(cluster: Cluster) -> None:
            term, position = await cluster.proxies[0].run_write("a")
            cluster.proxies[1].configuration.objects.clear()
            result = await cluster.proxies[1].groups.confirm_write(
                GROUP, term=term, position=position, needs_replica=True, timeout_s=1.0
            )
            self.assertIsNone(result)

        self.run_cluster(check)
