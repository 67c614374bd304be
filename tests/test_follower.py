"""Following the records of one kind through failures of the store."""

import asyncio
from random import Random

from testtools import TestCase

from lentilring.catalog.follower import Follower
from lentilring.catalog.source import HistoryExpired, ProxyEntry, RecordKind, Records
from lentilring.platform.store import StoreUnavailable
from lentilring.telemetry.metrics import Telemetry

from .virtual_time import SuspensibleClock, run_virtual


class LosingSource:
    """Answer one list, then report lost history, then fail."""

    def __init__(self) -> None:
        self.lists = 0

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        self.lists += 1
        if self.lists > 1:
            raise StoreUnavailable(operation="list")
        return Records(records=(), revision=1, is_complete=True)

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        raise HistoryExpired

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        raise NotImplementedError

    async def deregister(self, vm: str, *, revision: int) -> None:
        raise NotImplementedError


class FollowerTest(TestCase):
    def test_records_stay_known_while_they_cannot_be_listed_again(self) -> None:
        """Guards against a proxy that is not ready while the store is lost after lost history."""

        async def scenario() -> None:
            source = LosingSource()
            follower = Follower(
                kind=RecordKind.SERVERS,
                source=source,
                clock=SuspensibleClock(),
                random=Random(1),
                telemetry=Telemetry(),
                replace_all=lambda batch: None,
                apply_changes=lambda batch: None,
            )
            self.assertFalse(follower.is_synchronized)
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(3.0)
            task.cancel()
            self.assertLess(1, source.lists)
            self.assertTrue(follower.is_synchronized)

        run_virtual(scenario())
