"""Answers of the prepared platform's store of any content: what can be read is read."""

import asyncio
from http import HTTPStatus
from typing import Any
from unittest.mock import patch

import logbook
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lentilring.catalog.source import HistoryExpired, RecordKind
from lentilring.http.exchange import ExchangeFailed, HttpAnswer
from lentilring.platform.objects import ObjectClient, ObjectConflict, StoreAnswer
from lentilring.platform.records import PlatformRecords
from lentilring.platform.store import StoreUnavailable
from lentilring.standin.prepared.servers import ServerGroup
from lentilring.telemetry.metrics import Telemetry

from .prepared import ZONES, build_manifest

EXPECTED = (StoreUnavailable, HistoryExpired, ObjectConflict)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
GROUP = ServerGroup(service="rental", zones=ZONES)
SPECS = (build_manifest(), GROUP.build_registration(GROUP.servers[0]))


@st.composite
def draw_spec(draw: st.DrawFn) -> Any:
    """Draw a configuration or registration with one value replaced, or anything."""
    spec = draw(st.sampled_from(SPECS))
    field = draw(st.sampled_from(sorted(spec)))
    return draw(JSON | st.just({**spec, field: draw(JSON)}) | st.just(spec))


OBJECTS = JSON | st.fixed_dictionaries(
    {
        "meta": JSON | st.fixed_dictionaries({"name": st.just("main"), "revision": JSON}),
        "spec": draw_spec(),
    }
)
EVENTS = JSON | st.fixed_dictionaries({"object": OBJECTS, "deleted": JSON})
BODIES = st.fixed_dictionaries(
    {},
    optional={
        "items": JSON | st.lists(OBJECTS, max_size=3),
        "events": JSON | st.lists(EVENTS, max_size=3),
        "as-of": JSON,
        "meta": JSON,
        "spec": JSON,
    },
)


class AnsweringClient(ObjectClient):
    """Answer every call with one body."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(address="127.0.0.1:1", telemetry=Telemetry())
        self._status, self._body = status, body

    async def _call(self, *values: Any, **named: Any) -> Any:
        return StoreAnswer(status=self._status, body=msgspec.json.encode(self._body), era=1)


class AnswerTest(TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        body=BODIES,
        status=st.sampled_from([HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.GONE]),
        kind=st.sampled_from(RecordKind),
    )
    def test_any_content_is_read_or_reported(
        self, body: dict[str, Any], status: int, kind: RecordKind
    ) -> None:
        """Guards against one malformed answer that ends the following of the store."""
        records = PlatformRecords(objects=AnsweringClient(status, body))

        async def scenario() -> None:
            for call in (
                records.list(kind),
                records.watch(kind, after_revision=1 << 40, wait_s=0.0),
                records.deregister("main", revision=1 << 40),
            ):
                try:
                    await call
                except EXPECTED:
                    continue

        asyncio.run(scenario())


class ReachableStoreTest(TestCase):
    def test_first_contact_is_not_logged_as_a_store_that_returned(self) -> None:
        """Guards against a warning of a regained store at every start."""

        async def scenario() -> None:
            client = ObjectClient(address="127.0.0.1:1", telemetry=Telemetry())
            answer = HttpAnswer(status=HTTPStatus.OK, content=b"{}")
            answers = [answer, answer, ExchangeFailed(detail="refused"), answer]
            with patch("lentilring.platform.objects.exchange", side_effect=answers):
                for _ in answers:
                    await asyncio.gather(client.get("config", "main"), return_exceptions=True)

        handler = logbook.TestHandler()
        with handler.applicationbound():
            asyncio.run(scenario())
        lines = [
            (entry.level_name, entry.message.split(" ")[0])
            for entry in handler.records
            if entry.channel == "store" and "event=store_" in entry.message
        ]
        expected = [
            ("INFO", "event=store_reached"),
            ("WARNING", "event=store_lost"),
            ("WARNING", "event=store_regained"),
        ]
        self.assertEqual(expected, lines)
