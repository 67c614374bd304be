"""Whole user sessions on virtual time, each compared with its golden file."""

import asyncio

from lentilring.configuration.models import hash_key
from lentilring.platform.store import Kind
from lentilring.standin.database import ServerSettings
from lentilring.standin.sessions import Silence
from lentilring.transactions.messages import Step

from .deployment import SERVICE, Deployment, encode_session
from .transcript import GoldenTest, Transcript
from .virtual_time import run_virtual

GET = {"op": "get", "key": "tents"}
ADD = {"op": "add", "key": "tents", "amount": 1}


def append(value: int) -> dict[str, object]:
    """Return a booking statement whose value stays visible in the list of orders."""
    return {"op": "append", "key": "orders", "value": value}


class GoldenSessionTest(GoldenTest):
    def test_planner_moves_between_proxies(self) -> None:
        """Guards against a session that breaks when its requests go through different proxies.

        It could miss its own write, book twice with one idempotency key, read or commit the open
        transaction of another caller, or be served without a valid key.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=0.5))
            transcript = Transcript(deployment)
            booked = await transcript.request("vm-0", "book", append(1), idempotency_key="order-1")
            for vm in ("vm-1", "vm-2"):
                statement = {"op": "get", "key": "orders"}
                await transcript.request(vm, "stock", statement, session=encode_session(booked))
            await transcript.request("vm-2", "book", append(1), idempotency_key="order-1")
            await asyncio.sleep(2)
            await transcript.request("vm-1", "stock", {"op": "get", "key": "orders"})
            begun = await transcript.step("vm-0", Step.BEGIN)
            transaction_id = str(begun.result)
            await transcript.step("vm-1", Step.STATEMENT, transaction_id, statement=append(2))
            await transcript.request("vm-2", "stock-now", {"op": "get", "key": "orders"})
            await transcript.step("vm-1", Step.COMMIT, transaction_id, account="medina")
            await transcript.step("vm-2", Step.COMMIT, transaction_id)
            await transcript.request("vm-0", "stock-now", {"op": "get", "key": "orders"})
            await transcript.request("vm-0", "stock", GET, key=None)
            await transcript.request("vm-0", "book", ADD, key=None)
            await transcript.request("vm-0", "book", ADD, key="wrong")
            await transcript.request("vm-0", "stock", {"op": "put", "key": "tents", "value": 1})
            transcript.check_appends("orders")
            transcript.check_no_keys()
            self.compare("planner_moves", transcript)

        run_virtual(scenario())

    def test_bookings_during_failovers(self) -> None:
        """Guards against bookings that failovers lose or run twice.

        The primary is killed and restarted, the next one stops answering, and the third is cut off
        from all proxies but its gateway, which still sends it bookings.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transcript = Transcript(deployment)
            number = 0

            async def book(count: int, pause_s: float, **values: object) -> None:
                nonlocal number
                for _ in range(count):
                    number += 1
                    vm = list(deployment.proxies)[number % len(deployment.proxies)]
                    await transcript.request(vm, "book", append(number), **values)
                    await asyncio.sleep(pause_s)

            await book(3, 0.1)
            first = deployment.primary_address
            transcript.write_line(f"kill primary {deployment.primary}")
            await deployment.backends.kill(first)
            await book(6, 0.2)
            transcript.write_line("restart the old primary")
            await deployment.backends.restart(first)
            await asyncio.sleep(2)
            second = deployment.primary_address
            transcript.write_line(f"silence primary {deployment.primary}")
            deployment.backends.servers[second].silence(Silence.ALL)
            await book(6, 0.2, timeout_s=8.0)
            deployment.backends.servers[second].silence(Silence.NONE)
            await asyncio.sleep(2)
            third = deployment.primary_address
            gateway_vm = "vm-" + deployment.primary.removeprefix("db-")
            transcript.write_line(f"cut primary {deployment.primary} off from all but {gateway_vm}")
            others = [vm for vm in deployment.proxies if vm != gateway_vm]
            deployment.backends.isolate(third, others)
            term = deployment.term
            isolated = [
                asyncio.create_task(
                    transcript.request(gateway_vm, "book", append(900 + index), timeout_s=1.0)
                )
                for index in range(3)
            ]
            await asyncio.gather(*isolated)
            await deployment.wait_for_primary(after_term=term)
            await book(4, 0.2, timeout_s=8.0)
            transcript.write_line("heal all links")
            deployment.backends.heal()
            await asyncio.sleep(5)
            await book(3, 0.1)
            transcript.write_line(f"primary {deployment.primary}, term {deployment.term}")
            transcript.check_appends("orders")
            self.compare("failovers", transcript)

        run_virtual(scenario())

    def test_keys_and_operators(self) -> None:
        """Guards against withdrawn keys that work again and configuration that reverts.

        After an operator replaced a key, the platform is unreachable, a proxy starts without it,
        and another proxy is cut off from its peers; each could fall back to old configuration.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            transcript = Transcript(deployment)
            for vm in deployment.proxies:
                await transcript.request(vm, "book", ADD)
            transcript.write_line("operator withdraws atlas's key and gives another")
            deployment.change(Kind.CLIENT_ACCOUNT, "atlas", key_hashes=[hash_key("second-key")])
            await asyncio.sleep(2.0)
            for vm in deployment.proxies:
                await transcript.request(vm, "book", ADD)
                await transcript.request(vm, "book", ADD, key="second-key")
            transcript.write_line("platform down")
            for proxy in deployment.proxies.values():
                proxy.store.down = True
            await asyncio.sleep(120)
            for vm in list(deployment.proxies):
                await transcript.request(vm, "book", ADD, key="second-key")
                await transcript.request(vm, "book", ADD)
            transcript.write_line("vm-3 starts while the platform is down")
            starting = asyncio.create_task(deployment.add_proxy(3, store_down=True))
            await asyncio.sleep(5)
            await starting
            await transcript.request("vm-3", "book", ADD, key="second-key")
            await transcript.request("vm-3", "book", ADD)
            transcript.write_line("vm-1 is cut off from its peers and the platform")
            deployment.network.isolate(deployment.proxies["vm-1"].transport.address)
            await asyncio.sleep(5)
            await transcript.request("vm-1", "book", ADD, key="second-key")
            await transcript.request("vm-0", "book", ADD, key="second-key")
            transcript.write_line("links healed, platform up")
            deployment.network.heal()
            for proxy in deployment.proxies.values():
                proxy.store.down = False
            await asyncio.sleep(10)
            for vm in deployment.proxies:
                await transcript.request(vm, "book", ADD, key="second-key")
            self.compare("keys_and_operators", transcript)

        run_virtual(scenario())

    def test_failure_domain_leaves_and_returns(self) -> None:
        """Guards against statements in a drained failure domain, and requests that fail meanwhile.

        An operator drains a failure domain, returns it and then drains the whole database.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=0.05))
            transcript = Transcript(deployment)
            entry = "vm-0"

            async def send_requests(count: int) -> None:
                for index in range(count):
                    await transcript.request(entry, "stock", GET)
                    await transcript.request(entry, "book", append(next_value(index)))
                    await asyncio.sleep(0.2)

            used_values: list[int] = []

            def next_value(index: int) -> int:
                used_values.append(index)
                return len(used_values)

            await send_requests(3)
            domain = "mrk-a"
            transcript.write_line(f"operator drains {domain}")
            deployment.put(
                Kind.FAILURE_DOMAIN,
                domain,
                {"name": domain, "region": "mrk", "state": "drained"},
            )
            await send_requests(10)
            await asyncio.sleep(1)
            drained_server = deployment.backends.servers["10.0.1.2:5000"]
            before = len(drained_server.journal.executed)
            await send_requests(10)
            transcript.write_line(
                f"statements at db-1 while drained: {len(drained_server.journal.executed)-before}"
            )
            self.assertEqual(before, len(drained_server.journal.executed))
            transcript.write_line(f"operator returns {domain}")
            deployment.change(Kind.FAILURE_DOMAIN, domain, state="in-service")
            await send_requests(3)
            transcript.write_line("operator drains the database")
            stored = deployment.table.get(Kind.SERVICE, SERVICE)
            databases = [{**stored.value["databases"][0], "state": "drained"}]
            deployment.change(Kind.SERVICE, SERVICE, databases=databases)
            await asyncio.sleep(2)
            await transcript.request(entry, "book", append(99))
            transcript.check_appends("orders")
            self.compare("failure_domain_drained", transcript)

        run_virtual(scenario())
