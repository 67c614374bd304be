"""Whole sessions of the users on virtual time, each compared with its golden file."""

import asyncio

from lentilring.configuration.models import hash_key
from lentilring.platform.store import Kind
from lentilring.standin.database import ServerSettings
from lentilring.standin.sessions import Silence
from lentilring.transactions.messages import Step

from .deployment import SERVICE, Deployment, token_of
from .transcript import GoldenTest, Transcript
from .virtual_time import run_virtual

GET = {"op": "get", "key": "tents"}
ADD = {"op": "add", "key": "tents", "amount": 1}


def append(value: int) -> dict[str, object]:
    """Return a booking whose order shows in the result."""
    return {"op": "append", "key": "orders", "value": value}


class GoldenSessionTest(GoldenTest):
    def test_planner_moves_between_proxies(self) -> None:
        """Guards against a session that loses its writes, keys or isolation on the way."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=0.5))
            script = Transcript(deployment)
            booked = await script.request("vm-0", "book", append(1), idempotency_key="order-1")
            for vm in ("vm-1", "vm-2"):
                statement = {"op": "get", "key": "orders"}
                await script.request(vm, "stock", statement, session=token_of(booked))
            await script.request("vm-2", "book", append(1), idempotency_key="order-1")
            await asyncio.sleep(2)
            await script.request("vm-1", "stock", {"op": "get", "key": "orders"})
            begun = await script.step("vm-0", Step.BEGIN)
            identity = str(begun.result)
            await script.step("vm-1", Step.STATEMENT, identity, statement=append(2))
            await script.request("vm-2", "stock-now", {"op": "get", "key": "orders"})
            await script.step("vm-1", Step.COMMIT, identity, account="medina")
            await script.step("vm-2", Step.COMMIT, identity)
            await script.request("vm-0", "stock-now", {"op": "get", "key": "orders"})
            await script.request("vm-0", "stock", GET, key=None)
            await script.request("vm-0", "book", ADD, key=None)
            await script.request("vm-0", "book", ADD, key="wrong")
            await script.request("vm-0", "stock", {"op": "put", "key": "tents", "value": 1})
            script.check_appends("orders")
            script.check_no_keys()
            self.compare("planner_moves", script)

        run_virtual(scenario())

    def test_bookings_during_failovers(self) -> None:
        """Guards against lost or doubled bookings when primaries die, return and are cut off."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            script = Transcript(deployment)
            number = 0

            async def book(count: int, pause_s: float, **values: object) -> None:
                nonlocal number
                for _ in range(count):
                    number += 1
                    vm = list(deployment.proxies)[number % len(deployment.proxies)]
                    await script.request(vm, "book", append(number), **values)
                    await asyncio.sleep(pause_s)

            await book(3, 0.1)
            first = deployment.primary_address
            script.note(f"kill primary {deployment.primary}")
            await deployment.backends.kill(first)
            await book(6, 0.2)
            script.note("restart the old primary")
            await deployment.backends.restart(first)
            await asyncio.sleep(2)
            second = deployment.primary_address
            script.note(f"silence primary {deployment.primary}")
            deployment.backends.servers[second].silence(Silence.ALL)
            await book(6, 0.2, timeout_s=8.0)
            deployment.backends.servers[second].silence(Silence.NONE)
            await asyncio.sleep(2)
            third = deployment.primary_address
            holder = "vm-" + deployment.primary.removeprefix("db-")
            script.note(f"cut primary {deployment.primary} off from all but {holder}")
            others = [vm for vm in deployment.proxies if vm != holder]
            deployment.backends.isolate(third, others)
            term = deployment.term
            isolated = [
                asyncio.create_task(
                    script.request(holder, "book", append(900 + index), timeout_s=1.0)
                )
                for index in range(3)
            ]
            await asyncio.gather(*isolated)
            await deployment.wait_for_primary(after_term=term)
            await book(4, 0.2, timeout_s=8.0)
            script.note("heal all links")
            deployment.backends.heal()
            await asyncio.sleep(5)
            await book(3, 0.1)
            script.note(f"primary {deployment.primary}, term {deployment.term}")
            script.check_appends("orders")
            self.compare("failovers", script)

        run_virtual(scenario())

    def test_keys_and_operators(self) -> None:
        """Guards against withdrawn keys that still work and configuration that reverts."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            script = Transcript(deployment)
            for vm in deployment.proxies:
                await script.request(vm, "book", ADD)
            script.note("operator withdraws atlas's key and gives another")
            deployment.change(Kind.CLIENT_ACCOUNT, "atlas", key_hashes=[hash_key("second-key")])
            await asyncio.sleep(2.0)
            for vm in deployment.proxies:
                await script.request(vm, "book", ADD)
                await script.request(vm, "book", ADD, key="second-key")
            script.note("platform down")
            for proxy in deployment.proxies.values():
                proxy.store.down = True
            await asyncio.sleep(120)
            for vm in list(deployment.proxies):
                await script.request(vm, "book", ADD, key="second-key")
                await script.request(vm, "book", ADD)
            script.note("vm-3 starts while the platform is down")
            starting = asyncio.create_task(deployment.add_proxy(3, store_down=True))
            await asyncio.sleep(5)
            await starting
            await script.request("vm-3", "book", ADD, key="second-key")
            await script.request("vm-3", "book", ADD)
            script.note("vm-1 is cut off from its peers and the platform")
            deployment.network.isolate(deployment.proxies["vm-1"].transport.address)
            await asyncio.sleep(5)
            await script.request("vm-1", "book", ADD, key="second-key")
            await script.request("vm-0", "book", ADD, key="second-key")
            script.note("links healed, platform up")
            deployment.network.heal()
            for proxy in deployment.proxies.values():
                proxy.store.down = False
            await asyncio.sleep(10)
            for vm in deployment.proxies:
                await script.request(vm, "book", ADD, key="second-key")
            self.compare("keys_and_operators", script)

        run_virtual(scenario())

    def test_failure_domain_leaves_and_returns(self) -> None:
        """Guards against new work in a drained failure domain and failed requests around it."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=0.05))
            script = Transcript(deployment)
            entry = "vm-0"

            async def work(count: int) -> None:
                for index in range(count):
                    await script.request(entry, "stock", GET)
                    await script.request(entry, "book", append(script_number(index)))
                    await asyncio.sleep(0.2)

            used: list[int] = []

            def script_number(index: int) -> int:
                used.append(index)
                return len(used)

            await work(3)
            domain = "mrk-a"
            script.note(f"operator drains {domain}")
            deployment.put(
                Kind.FAILURE_DOMAIN,
                domain,
                {"name": domain, "region": "mrk", "state": "drained"},
            )
            await work(10)
            await asyncio.sleep(1)
            drained = deployment.backends.servers["10.0.1.2:5000"]
            before = len(drained.journal.executed)
            await work(10)
            script.note(f"statements at db-1 while drained: {len(drained.journal.executed)-before}")
            self.assertEqual(before, len(drained.journal.executed))
            script.note(f"operator returns {domain}")
            deployment.change(Kind.FAILURE_DOMAIN, domain, state="in-service")
            await work(3)
            script.note("operator drains the database")
            stored = deployment.table.get(Kind.SERVICE, SERVICE)
            databases = [{**stored.value["databases"][0], "state": "drained"}]
            deployment.change(Kind.SERVICE, SERVICE, databases=databases)
            await asyncio.sleep(2)
            await script.request(entry, "book", append(99))
            script.check_appends("orders")
            self.compare("failure_domain_drained", script)

        run_virtual(scenario())
