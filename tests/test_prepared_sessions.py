"""Sessions over real sockets against stand-ins of the prepared platform."""

import asyncio

from testtools import TestCase

from .prepared import build_manifest, run, run_prepared_platform, wait_until


class SessionTest(TestCase):
    def test_primary_read_and_write_carry_the_servers_proof(self) -> None:
        """Guards against answers that no server gave."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                client = await prepared.proxies["vm-1"].open("booking")
                self.assertEqual("READY I -", client.greeting)
                answer = await client.query("WRITE tent7 taken", "w1")
                self.assertEqual("COMPLETE proof.i-rental-0.w1", answer[0])
                answer = await client.query("READ tent7", "r1")
                self.assertEqual("DATAROW empty", answer[0])
                self.assertEqual("COMPLETE proof.i-rental-0.r1", answer[1])
                run_read = prepared.group.runs[-1]
                self.assertEqual(("READ tent7", "planner"), (run_read.text, run_read.account))
                self.assertTrue(run_read.in_transaction)

        run(scenario())

    def test_unknown_database_and_key_are_refused_and_closed(self) -> None:
        """Guards against sessions without a route or an account."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                proxy = prepared.proxies["vm-0"]
                for database, key, code in (
                    ("nothing", "plan-key", "NODB"),
                    ("booking", "other-key", "UNAUTH"),
                ):
                    client = await proxy.open(database, key)
                    self.assertTrue(client.greeting.startswith(f"ERROR {code}"), client.greeting)
                    self.assertEqual("", await client.read_line())
                self.assertEqual([], prepared.group.runs)

        run(scenario())

    def test_withdrawn_key_is_refused_on_an_open_connection(self) -> None:
        """Guards against checking the key only when the session opens."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                client = await prepared.proxies["vm-0"].open("booking")
                await client.query("BEGIN")
                self.assertEqual("READY T 1.0", (await client.query("READ a"))[-1])
                changed = build_manifest(2)
                changed["tenants"][0]["api-keys"] = ["new-key"]
                prepared.store.put("config", "main", changed)
                await asyncio.sleep(0.3)
                answer = await client.query("READ a")
                self.assertTrue(answer[0].startswith("ERROR UNAUTH"), answer)
                self.assertEqual(["COMPLETE -", "READY I -"], await client.query("ROLLBACK"))
                answer = await client.query("READ a")
                self.assertTrue(answer[0].startswith("ERROR UNAUTH"), answer)
                self.assertEqual(1, len(prepared.group.runs))

        run(scenario())

    def test_older_manifest_is_not_taken(self) -> None:
        """Guards against going back to a version with a withdrawn key."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                proxy = prepared.proxies["vm-0"]
                without = build_manifest(5)
                without["tenants"] = without["tenants"][1:]
                prepared.store.put("config", "main", without)
                await asyncio.sleep(0.2)
                prepared.store.put("config", "main", build_manifest(4))
                await asyncio.sleep(0.2)
                client = await proxy.open("booking")
                self.assertTrue(client.greeting.startswith("ERROR UNAUTH"), client.greeting)

        run(scenario())

    def test_values_and_prepared_statements_follow_the_session(self) -> None:
        """Guards against a statement that runs with another caller's values or shape."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                proxy = prepared.proxies["vm-0"]
                first, second = await proxy.open("booking"), await proxy.open("booking")
                await first.query("SET zone blue")
                await first.query("PREPARE s1 READ shape1")
                await second.query("PREPARE s1 WRITE shape2")
                for _ in range(3):
                    self.assertIn("COMPLETE", (await first.query("EXECUTE s1 a"))[1])
                    self.assertIn("COMPLETE", (await second.query("EXECUTE s1 a data"))[0])
                await first.query("CLOSE s1")
                answer = await first.query("EXECUTE s1 a")
                self.assertTrue(answer[0].startswith("ERROR NOSTMT"), answer)
                seen = {(entry.shape, entry.values) for entry in prepared.group.runs}
                self.assertEqual({("shape1", (("zone", "blue"),)), ("shape2", ())}, seen)

        run(scenario())

    def test_transaction_runs_on_one_connection_and_commits_once(self) -> None:
        """Guards against statements of a transaction outside of it."""

        async def scenario() -> None:
            async with run_prepared_platform() as prepared:
                client = await prepared.proxies["vm-2"].open("booking")
                self.assertEqual(["COMPLETE -", "READY T -"], await client.query("BEGIN"))
                await client.query("READ a")
                await client.query("WRITE a 1")
                answer = await client.query("COMMIT", "c1")
                self.assertEqual("COMPLETE proof.i-rental-0.c1", answer[0])
                self.assertEqual("READY I 1.1", answer[-1])
                kinds = [(entry.text, entry.in_transaction) for entry in prepared.group.runs]
                expected = [("READ a", True), ("WRITE a 1", True), ("COMMIT", True)]
                self.assertEqual(expected, kinds)

        run(scenario())

    def test_caller_that_leaves_has_its_transaction_rolled_back(self) -> None:
        """Guards against connections that stay pinned by callers that are gone."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                proxy = prepared.proxies["vm-0"]
                client = await proxy.open("booking")
                await client.query("BEGIN")
                await client.query("WRITE a 1")
                client.close()
                from lentilring.gateways.service import GatewayService

                gateways = proxy.kernel.find("gateways", GatewayService)
                await wait_until(lambda: not gateways.count_transactions(), within_s=2)
                self.assertEqual((1, 0), prepared.group.servers[0].received)

        run(scenario())

    def test_own_write_is_read_after_replica_lag(self) -> None:
        """Guards against replicas that lack the session's own commit."""

        async def scenario() -> None:
            async with run_prepared_platform(lag_s=0.4) as prepared:
                client = await prepared.proxies["vm-1"].open("delivery")
                await client.query("READ a")
                self.assertEqual("i-rental-1", prepared.group.runs[-1].server)
                await client.query("WRITE a 1")
                answer = await client.query("READ a")
                self.assertIn("proof.", answer[1])
                self.assertEqual("i-rental-0", prepared.group.runs[-1].server)
                await asyncio.sleep(0.6)
                await client.query("READ a")
                self.assertEqual("i-rental-1", prepared.group.runs[-1].server)

        run(scenario())

    def test_commits_of_read_transactions_make_no_replica_look_fresh(self) -> None:
        """Guards against taking a replica's position for one that the primary proved.

        Found by a hunt: 5 stale reads from a lagging replica (quiet-1, seed 271592178095).
        """

        async def scenario() -> None:
            async with run_prepared_platform(lag_s=6.0) as prepared:
                reader = await prepared.proxies["vm-1"].open("stock")
                await reader.query("READ a")
                self.assertEqual("i-rental-1", prepared.group.runs[-1].server)
                writer = await prepared.proxies["vm-0"].open("booking")
                await writer.query("WRITE a 1")
                loop = asyncio.get_running_loop()
                too_old = loop.time() + 1.5
                while loop.time() < too_old + 1.0:
                    late = loop.time() > too_old
                    await reader.query("BEGIN READ")
                    await reader.query("READ a")
                    if late:
                        self.assertEqual((1, 1), prepared.group.runs[-1].applied)
                    await reader.query("COMMIT")
                    await asyncio.sleep(0.01)

        run(scenario())

    def test_lost_answer_of_a_write_is_uncertain_and_not_repeated(self) -> None:
        """Guards against a second run of a write, and against a false 'not run'."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                client = await prepared.proxies["vm-0"].open("booking")
                await client.query("READ a")
                prepared.group.servers[0].faults.lose_answers = 1
                answer = await client.query("WRITE a 1", "w9")
                self.assertTrue(answer[0].startswith("ERROR INDOUBT"), answer)
                runs = [entry for entry in prepared.group.runs if entry.request_id == "w9"]
                self.assertEqual(1, len(runs))

        run(scenario())

    def test_lost_answer_inside_a_transaction_aborts_it(self) -> None:
        """Guards against an uncertain outcome where nothing can be kept."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                client = await prepared.proxies["vm-0"].open("booking")
                await client.query("BEGIN")
                await client.query("READ a")
                prepared.group.servers[0].faults.lose_answers = 1
                answer = await client.query("WRITE a 1")
                self.assertTrue(answer[0].startswith("ERROR ABORTED"), answer)
                self.assertEqual("READY E -", answer[-1])
                self.assertTrue((await client.query("READ a"))[0].startswith("ERROR MALFORMED"))
                self.assertTrue((await client.query("COMMIT"))[0].startswith("ERROR ABORTED"))
                self.assertEqual((1, 0), prepared.group.servers[0].received)

        run(scenario())

    def test_bad_input_harms_only_its_own_connection(self) -> None:
        """Guards against a process that ends or hangs on messages outside of the protocol."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                proxy = prepared.proxies["vm-0"]
                good = await proxy.open("booking")
                for line in ("START", "QUERY", "HELLO there", "QUERY x", "\xff"):
                    bad = await proxy.open("booking")
                    bad.send(line)
                    self.assertTrue((await bad.read_line()).startswith("ERROR MALFORMED"), line)
                unknown = await good.query("SELECT everything")
                self.assertTrue(unknown[0].startswith("ERROR MALFORMED"), unknown)
                self.assertEqual("READY I -", unknown[-1])
                large = await proxy.open("booking")
                large.send("QUERY x WRITE a " + "y" * (1024 * 1024 + 10))
                self.assertTrue((await large.read_line()).startswith("ERROR TOOBIG"))
                self.assertIn("COMPLETE", (await good.query("READ a"))[1])

        run(scenario())

    def test_foreign_registration_names_no_server(self) -> None:
        """Guards against entries of other writers in the register of servers."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as prepared:
                for number, spec in enumerate(
                    ("text", {"service": "rental"}, {"service": 3, "state": "ready"}, None)
                ):
                    prepared.store.put("servers", f"foreign-{number}", spec)
                wrong = prepared.group.entry(prepared.group.servers[1])
                prepared.store.put("servers", "foreign-state", {**wrong, "state": "resting"})
                await asyncio.sleep(0.2)
                client = await prepared.proxies["vm-0"].open("stock")
                self.assertIn("COMPLETE", (await client.query("READ a"))[1])

        run(scenario())
