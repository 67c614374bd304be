"""Ends of lines in the statement protocol: CR LF ends one, each of the two alone is data."""

from testtools import TestCase

from .prepared import PreparedPlatform, run, run_prepared_platform

INSERTED = "QUERY 0badc0de WRITE list9 cancelled"


def list_runs(platform: PreparedPlatform) -> list[tuple[str, str]]:
    return [(entry.request_id, entry.text) for entry in platform.group.runs]


class LineEndTest(TestCase):
    def test_line_feed_in_data_does_not_end_a_statement(self) -> None:
        """Guards against half a write, and a second statement in the rest of it (review/4)."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                texts = ["WRITE list1 2 x grout\n1 x trowel", f"WRITE list2 tiles\n{INSERTED}"]
                for index, text in enumerate(texts):
                    client = await platform.proxies["vm-0"].open("booking")
                    answer = await client.query(text, f"id{index}")
                    self.assertIn("COMPLETE", answer[0])
                    client.close()
                expected = [(f"id{index}", text) for index, text in enumerate(texts)]
                self.assertEqual(expected, list_runs(platform))

        run(scenario())

    def test_carriage_returns_in_data_reach_the_server(self) -> None:
        """Guards against data that loses its last characters."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                text = "WRITE list1 a\rb\n\r"
                client = await platform.proxies["vm-0"].open("booking")
                self.assertIn("COMPLETE", (await client.query(text, "id1"))[0])
                client.close()
                self.assertEqual([("id1", text)], list_runs(platform))

        run(scenario())

    def test_rows_with_line_feeds_reach_the_caller_unchanged(self) -> None:
        """Guards against rows that end at a line feed and are taken for other messages."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                row = "grout\nCOMPLETE proof.other\r"
                platform.group.items["list1"] = row
                for database in ("booking", "stock"):
                    client = await platform.proxies["vm-0"].open(database)
                    answer = await client.query("READ list1")
                    self.assertEqual(f"DATAROW {row}", answer[0])
                    self.assertIn("COMPLETE proof.i-rental", answer[1])
                    client.close()

        run(scenario())

    def test_session_values_and_prepared_shapes_may_hold_line_feeds(self) -> None:
        """Guards against a second statement in what this proxy sends on its own."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                client = await platform.proxies["vm-0"].open("booking")
                await client.query(f"SET note a\n{INSERTED}")
                await client.query(f"PREPARE s1 WRITE shape\n{INSERTED}")
                answer = await client.query("EXECUTE s1 list1 grout", "id1")
                self.assertIn("COMPLETE", answer[0])
                client.close()
                (entry,) = platform.group.runs
                self.assertEqual("id1", entry.request_id)
                self.assertEqual((("note", f"a\n{INSERTED}"),), entry.values)
                self.assertEqual(f"shape\n{INSERTED}", entry.shape)

        run(scenario())
