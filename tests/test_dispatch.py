"""Choice of gateways while some do not answer."""

import asyncio
import io
import json
from dataclasses import replace

import testtools

from lentilring.database.messages import Action
from lentilring.outcomes import Completed, OutcomeUnknown
from lentilring.pool.messages import GatewayReply, GatewayRequest
from lentilring.standin.database import ServerSettings
from lentilring.telemetry.log import request_id, write_logs
from lentilring.transactions.messages import Step, TransactionRequest

from .deployment import GROUP, Deployment
from .virtual_time import run_virtual

ADD = {"op": "add", "key": "tents", "amount": 1}
WRITE = GatewayRequest(
    request_id="caller-8",
    group=GROUP,
    server="db-0",
    client_account="atlas",
    action=Action.WRITE,
    statement=json.dumps(ADD),
    timeout_s=5.0,
)
BEGIN = TransactionRequest(
    request_id="caller-9", group=GROUP, client_account="atlas", step=Step.BEGIN, timeout_s=5.0
)


class UnreachableGatewayTest(testtools.TestCase):
    def test_standby_is_used_at_once_while_the_gateway_is_cut_off(self) -> None:
        """Guards against a connect time-out for each request until membership detects the failure.

        The gateway is cut off; after one failed call the standby must be tried first.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "book", ADD)
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            deployment.network.isolate(deployment.proxies[gateway_vm].transport.address)
            entry = next(vm for vm in deployment.proxies if vm != gateway_vm)
            loop = asyncio.get_running_loop()
            durations_s = []
            for _ in range(5):
                started_at = loop.time()
                outcome = await deployment.request(entry, "book", ADD)
                self.assertIsInstance(outcome, Completed, outcome)
                durations_s.append(loop.time() - started_at)
            # The first request may take one connect time-out to detect the failure.
            self.assertLess(durations_s[0], 1.5)
            self.assertLess(max(durations_s[1:]), 0.5)

        run_virtual(scenario())


class RequestLogTest(testtools.TestCase):
    def test_logs_name_a_request_whose_gateway_does_not_answer(self) -> None:
        """Guards against a request whose way through a gateway shows in neither process's log."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(statement_time_s=10.0))
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            gateway = deployment.proxies[gateway_vm].transport
            entry = next(vm for vm in deployment.proxies if vm != gateway_vm)
            address = deployment.proxies[entry].transport.address
            deployment.network.links_losing_answers.add((gateway.address, address))
            request_id.set("caller-7")
            output = io.StringIO()
            with write_logs(stream=output):
                outcome = await deployment.request(entry, "book", ADD, timeout_s=1.0)
                self.assertIsInstance(outcome, OutcomeUnknown)
                begun = await gateway._handlers[TransactionRequest](gateway.sender, BEGIN)
                assert isinstance(begun, GatewayReply)
                step = replace(
                    BEGIN,
                    step=Step.STATEMENT,
                    transaction_id=begun.transaction_id,
                    statement=WRITE.statement,
                )
                for request in (replace(WRITE, server=deployment.primary), step):
                    handle = gateway._handlers[type(request)]
                    running = asyncio.ensure_future(handle(gateway.sender, request))
                    await asyncio.sleep(0.5)
                    running.cancel()
                    await asyncio.wait({running})
            lines = output.getvalue()
            self.assertIn(
                f"event=gateway_call_failed request_id=caller-7 gateway={gateway_vm}", lines
            )
            self.assertIn("event=statement_cancelled request_id=caller-8 sender=vm-", lines)
            self.assertIn("event=step_cancelled request_id=caller-9 sender=vm-", lines)

        run_virtual(scenario())
