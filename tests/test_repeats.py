"""Which statements are run again after an answer was lost."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase

from lentilring.clock import LoopClock
from lentilring.gateways.dispatch import GATEWAY_UNREACHABLE, StatementDispatcher
from lentilring.gateways.messages import (
    RunStatement,
    StatementAnswer,
    StatementKind,
    TransactionOpening,
)
from lentilring.peers.transport import PeerAnswerLost
from lentilring.placement import Ranking
from lentilring.sessions.calls import may_try_another_server
from lentilring.sessions.context import OperationToken
from lentilring.statements.model import Failed, Failure
from lentilring.telemetry.metrics import Telemetry
from lentilring.usage.counts import UsageCounts, Windows

from .test_choice import Servers, build_admission, run_single
from .test_gateway_placement import build_proxies
from .test_takeover import build_entry


class SilentFirstGateway:
    """Lose the answer of the gateway that is asked first."""

    def __init__(self, answer: StatementAnswer) -> None:
        self.asked: list[str] = []
        self._answer = answer

    async def call(self, peer, request, *, timeout_s):  # type: ignore[no-untyped-def]
        self.asked.append(peer.vm)
        if len(self.asked) == 1:
            raise PeerAnswerLost(address=peer.address, detail="no answer to a probe")
        return self._answer


def build_dispatcher(prober: SilentFirstGateway) -> StatementDispatcher:
    fleet = SimpleNamespace(
        rank=Ranking(members=build_proxies(6)).rank,
        is_suspect=lambda vm: False,
        mark_suspect=lambda vm, detail: None,
        clear_suspicion=lambda vm: None,
        local=SimpleNamespace(vm="vm-of-the-caller"),
    )
    return StatementDispatcher(
        fleet=fleet,  # type: ignore[arg-type]
        gateways=None,  # type: ignore[arg-type]
        prober=prober,  # type: ignore[arg-type]
        clock=LoopClock(),  # type: ignore[arg-type]
        telemetry=Telemetry(),
    )


def run_once(work: StatementKind, opening: TransactionOpening) -> tuple[str, int]:
    """Run a statement whose first gateway is silent; return its failure and how many were asked."""
    prober = SilentFirstGateway(StatementAnswer(proof="proof"))
    dispatcher = build_dispatcher(prober)
    request = RunStatement(
        request_id="r1",
        server="i-1",
        account="planner",
        work=work,
        text="READ a",
        opening=opening,
        timeout_s=5.0,
    )
    dispatched = asyncio.run(dispatcher.run(build_entry("i-1"), request))
    return dispatched.answer.failure, len(prober.asked)


class RepeatTest(TestCase):
    def test_first_statement_of_a_transaction_is_not_run_at_a_second_gateway(self) -> None:
        """Guards against a transaction whose first statement runs on two connections.

        In the soak with seed 2, a paused gateway had run the statement, and a second gateway ran it
        again in another transaction.
        """
        for opening in (TransactionOpening.READ_ONLY, TransactionOpening.READ_WRITE):
            self.assertEqual((Failure.ABORTED, 1), run_once(StatementKind.READ, opening))
        self.assertEqual(
            (Failure.UNCERTAIN, 1), run_once(StatementKind.WRITE, TransactionOpening.NONE)
        )

    def test_single_read_is_run_at_a_second_gateway(self) -> None:
        """Guards against reads that fail because one gateway is silent."""
        self.assertEqual(("", 2), run_once(StatementKind.READ, TransactionOpening.NONE))

    def test_read_that_a_silent_gateway_may_have_run_counts_although_others_refuse_it(self) -> None:
        """Guards against returned tokens and missing usage of reads that may have run."""
        refusals = [
            StatementAnswer(failure=Failure.OVERLOADED),
            StatementAnswer(failure=Failure.OVERLOADED, is_unreachable=True),
        ]
        for refusal in refusals:
            returned: list[str] = []
            counts = UsageCounts(windows=Windows(length_s=5.0, now=lambda: 12.0))
            router = Servers(lambda server, request, answer=refusal: answer).build_router()
            router._dispatcher = build_dispatcher(SilentFirstGateway(refusal))
            router._limiter = SimpleNamespace(
                give_back=lambda account, admitted_at, returned=returned: returned.append(account)
            )
            router._usage = counts
            admission = replace(build_admission(), token=OperationToken(admitted_at=0.0))
            outcome = run_single(router, admission=admission)
            self.assertEqual(Failed(failure=Failure.OVERLOADED), outcome)
            self.assertEqual([], returned)
            self.assertEqual({"planner": 1}, counts.give(2))

    def test_transaction_tries_other_servers_only_while_nothing_has_run(self) -> None:
        """Guards against running a first statement again on another server after a lost answer."""
        lost = StatementAnswer(failure=Failure.ABORTED)
        refused = StatementAnswer(failure=Failure.OVERLOADED)
        unreachable = StatementAnswer(
            failure=Failure.ABORTED, detail=GATEWAY_UNREACHABLE, is_unreachable=True
        )
        cases = [
            (lost, TransactionOpening.NONE, True),
            (lost, TransactionOpening.READ_ONLY, False),
            (StatementAnswer(failure=Failure.TIMED_OUT), TransactionOpening.READ_ONLY, False),
            (refused, TransactionOpening.READ_ONLY, True),
            (unreachable, TransactionOpening.READ_ONLY, True),
            (StatementAnswer(failure=Failure.UNCERTAIN), TransactionOpening.NONE, False),
            (StatementAnswer(), TransactionOpening.NONE, False),
        ]
        for answer, opening, expected in cases:
            self.assertEqual(expected, may_try_another_server(answer, opening), (answer, opening))
