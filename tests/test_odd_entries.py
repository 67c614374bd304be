"""Entries of other writers among those of the servers: the others are followed all the same."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

import msgspec
from testtools import TestCase

from lentilring.catalog.model import ServerEntry
from lentilring.catalog.source import RecordKind, Records
from lentilring.http.exchange import HttpAnswer
from lentilring.platform import objects
from lentilring.platform.objects import ObjectClient
from lentilring.platform.records import PlatformRecords
from lentilring.standin.prepared.servers import ServerGroup
from lentilring.telemetry.metrics import Telemetry

from .prepared import ZONES, run, run_prepared_platform

GROUP = ServerGroup(service="rental", zones=ZONES)
GOOD = msgspec.json.encode(
    {**GROUP.build_registration(GROUP.servers[0]), "address": "10.0.0.1:8000"}
)
REGISTRATION = {**GROUP.build_registration(GROUP.servers[1]), "address": "10.0.0.2:8000"}


def write_registration(**changed: bytes) -> bytes:
    """Return a registration with some of its values replaced by text that need not be JSON."""
    values = {name: msgspec.json.encode(value) for name, value in REGISTRATION.items()}
    values |= {name.replace("_", "-"): value for name, value in changed.items()}
    return b"{" + b",".join(b'"%s":%s' % (name.encode(), values[name]) for name in values) + b"}"


UNREADABLE = {
    "deeply nested": b"[" * 100_000 + b"]" * 100_000,
    "deeply nested value": write_registration(version=b'{"a":' * 5000 + b"1" + b"}" * 5000),
    "infinite number": write_registration(sequence=b"1e999"),
    "long number": write_registration(sequence=b"9" * 6000),
    "no number": write_registration(sequence=b"NaN"),
    "bytes that are no text": write_registration(version=b'"\xff\xfe"'),
    "half of a pair of characters": write_registration(version=b'"\\ud800"'),
}


IMPOSSIBLE = {
    "port beyond 65535": write_registration(address=b'"127.0.0.1:99999"'),
    "port 0": write_registration(address=b'"127.0.0.1:0"'),
    "port with 20 digits": write_registration(address=b'"127.0.0.1:%s"' % (b"9" * 20)),
    "port in other digits": write_registration(address='"127.0.0.1:٣٣"'.encode()),
    "address of no host": write_registration(address=b'"300.0.0.1:8000"'),
    "address with a blank": write_registration(address=b'"127.0.0.1 x:8000"'),
    "capacity beyond all servers": write_registration(capacity=b"1000000000000000000"),
    "capacity beyond 64 bits": write_registration(capacity=b"9" * 30),
    "negative capacity": write_registration(capacity=b"-5"),
    "endless cold start": write_registration(cold_remaining_ms=b"1e300"),
    "sequence beyond 64 bits": write_registration(sequence=b"9" * 30),
    "start beyond 64 bits": write_registration(born=b"9" * 30),
    "service with a line break": write_registration(service=b'"rental\\r\\nQUERY"'),
}
# A decoder that reads the whole answer may reach its limit where one that reads an entry does not.
UNREADABLE |= {f"{depth} levels": b"[" * depth + b"]" * depth for depth in range(900, 1010, 3)}


def write_object(name: str, spec: bytes, revision: int = 5) -> bytes:
    return b'{"meta":{"name":"%s","revision":%d},"spec":%s}' % (name.encode(), revision, spec)


@contextmanager
def answer_with(content: bytes) -> Iterator[PlatformRecords]:
    """Let the store answer every call with these bytes."""

    async def answer(*values: Any, **named: Any) -> HttpAnswer:
        return HttpAnswer(status=200, content=content)

    with mock.patch.object(objects, "exchange", answer):
        client = ObjectClient(address="127.0.0.1:1", telemetry=Telemetry())
        yield PlatformRecords(objects=client)


def read_list(*entries: bytes) -> Records:
    body = b'{"items":[' + b",".join(entries) + b'],"more":false,"as-of":9}'
    with answer_with(body) as records:
        return asyncio.run(records.list(RecordKind.SERVERS))


def read_watch(*entries: bytes) -> Records:
    events = b",".join(b'{"object":%s,"deleted":false}' % entry for entry in entries)
    with answer_with(b'{"events":[' + events + b'],"as-of":9}') as records:
        return asyncio.run(records.watch(RecordKind.SERVERS, after_revision=1, wait_s=0.0))


def list_servers(batch: Records) -> list[str]:
    return [entry.name for entry in batch.records if isinstance(entry.value, ServerEntry)]


class OddEntryTest(TestCase):
    def test_unreadable_entry_does_not_end_the_following_of_the_others(self) -> None:
        """Guards against a proxy that never reads its servers again because of one entry."""
        for name, spec in UNREADABLE.items():
            for read in (read_list, read_watch):
                batch = read(
                    write_object("i-1", GOOD), write_object("i-2", spec), write_object("i-3", GOOD)
                )
                self.assertEqual(["i-1", "i-3"], list_servers(batch), name)
                self.assertEqual(9, batch.revision, name)

    def test_unreadable_entry_replaces_what_was_known_by_its_name(self) -> None:
        """Guards against a server that stays in use though its entry names none any more."""
        for name, spec in UNREADABLE.items():
            batch = read_watch(write_object("i-2", spec))
            self.assertEqual([("i-2", None)], [(e.name, e.value) for e in batch.records], name)

    def test_followers_of_a_reader_get_the_same_of_every_entry(self) -> None:
        """Guards against a reader that cannot pass on what it has read."""
        for name, spec in UNREADABLE.items():
            batch = read_list(write_object("i-1", GOOD), write_object("i-2", spec))
            with answer_with(b"{}") as records:
                passed_on = [
                    records.decode(RecordKind.SERVERS, replace(entry, value=None))
                    for entry in batch.records
                ]
            self.assertEqual(
                [entry.value for entry in batch.records],
                [entry.value for entry in passed_on],
                name,
            )


class OddServerTest(TestCase):
    def test_server_with_an_impossible_value_is_not_used(self) -> None:
        """Guards against errors, in place of connections, that nobody handles."""
        for name, spec in IMPOSSIBLE.items():
            batch = read_list(write_object("i-1", GOOD), write_object("i-2", spec))
            self.assertEqual(["i-1"], list_servers(batch), name)

    def test_server_whose_name_would_end_a_line_of_the_protocol_is_not_used(self) -> None:
        """Guards against messages to servers that another writer's entry breaks in two."""
        for name in ("i-2\\r\\nQUERY", "i-2 x", "i-2\\n"):
            batch = read_list(write_object("i-1", GOOD), write_object(name, GOOD))
            self.assertEqual(["i-1"], list_servers(batch), name)

    def test_statements_run_beside_servers_with_impossible_values(self) -> None:
        """Guards against background tasks that end again and again."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=3) as platform:
                server = platform.group.servers[1]
                for index, spec in enumerate(IMPOSSIBLE.values()):
                    registration = {
                        **platform.group.build_registration(server),
                        **decode_changed_values(spec),
                    }
                    platform.store.put("servers", f"odd-{index}", registration)
                await asyncio.sleep(0.5)
                for proxy in platform.proxies.values():
                    client = await proxy.open("stock")
                    for _ in range(10):
                        self.assertIn("COMPLETE", (await client.query("READ a"))[-2])
                        await asyncio.sleep(0.05)
                    client.close()
                    failures = [key for key in proxy.telemetry.counts if key[0] == "task_failures"]
                    self.assertEqual([], failures)

        run(scenario())


def decode_changed_values(spec: bytes) -> dict[str, Any]:
    """Return the values in which a registration differs from REGISTRATION."""
    decoded = msgspec.json.decode(spec)
    return {name: value for name, value in decoded.items() if value != REGISTRATION[name]}
