"""Following the records of one kind through failures of the store."""

import asyncio
from random import Random

from testtools import TestCase

from lentilring.catalog.follower import Follower
from lentilring.catalog.source import HistoryExpired, ProxyEntry, Record, RecordKind, Records
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


def build_record(name: str, revision: int, *, is_deleted: bool = False) -> Record:
    return Record(name=name, revision=revision, value=None, is_deleted=is_deleted)


class OverlappingSource:
    """Answer lists at once and a watch only when `answer` is set."""

    def __init__(self) -> None:
        self.listed = Records(records=(), revision=10, is_complete=True)
        self.answer: asyncio.Future[Records] = asyncio.get_running_loop().create_future()
        self.watched_after: list[int] = []

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        return self.listed

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        self.watched_after.append(after_revision)
        return await asyncio.shield(self.answer)

    def answer_watch(self, batch: Records) -> None:
        """Answer the watch under way; the next one waits again."""
        answer, self.answer = self.answer, asyncio.get_running_loop().create_future()
        answer.set_result(batch)

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        raise NotImplementedError

    async def deregister(self, vm: str, *, revision: int) -> None:
        raise NotImplementedError


class RefreshTest(TestCase):
    """Refreshes while a watch is under way."""

    async def follow(self, source: OverlappingSource) -> None:
        self.taken: list[tuple[str, int]] = []
        self.names: list[tuple[str, int]] = []

        def take_changes(batch: Records) -> None:
            self.taken.append(("changes", batch.revision))
            self.names += [(record.name, record.revision) for record in batch.records]

        self.follower = Follower(
            kind=RecordKind.SERVERS,
            source=source,
            clock=SuspensibleClock(),
            random=Random(1),
            telemetry=Telemetry(),
            replace_all=lambda batch: self.taken.append(("all", batch.revision)),
            apply_changes=take_changes,
        )
        self.following = asyncio.ensure_future(self.follower.run())
        await asyncio.sleep(0.1)

    def test_refresh_takes_all_records_while_the_watch_is_silent(self) -> None:
        """Guards against a refresh that waits for the watch."""

        async def scenario() -> None:
            source = OverlappingSource()
            await self.follow(source)
            source.listed = Records(records=(), revision=20, is_complete=True)
            await self.follower.refresh()
            self.assertEqual([("all", 10), ("all", 20)], self.taken)

        run_virtual(scenario())

    def test_watch_that_began_before_a_refresh_does_not_set_records_back(self) -> None:
        """Guards against records from before the refresh that are taken for newer ones."""

        async def scenario() -> None:
            source = OverlappingSource()
            await self.follow(source)
            source.listed = Records(
                records=(build_record("back", 18), build_record("gone", 12)),
                revision=20,
                is_complete=True,
            )
            await self.follower.refresh()
            changes = (
                build_record("changed", 15),
                build_record("back", 14, is_deleted=True),
                build_record("back", 18),
                build_record("gone", 12, is_deleted=True),
                build_record("new", 22),
            )
            source.answer_watch(Records(records=changes, revision=25))
            await asyncio.sleep(0.1)
            self.assertEqual([("all", 10), ("all", 20), ("changes", 25)], self.taken)
            self.assertEqual([("gone", 12), ("new", 22)], self.names)
            self.assertEqual([10, 25], source.watched_after)

        run_virtual(scenario())

    def test_watch_that_ends_with_older_records_than_a_refresh_is_left_aside(self) -> None:
        """Guards against a slow answer of a reader that is behind."""

        async def scenario() -> None:
            source = OverlappingSource()
            await self.follow(source)
            source.listed = Records(records=(), revision=20, is_complete=True)
            await self.follower.refresh()
            source.answer_watch(Records(records=(build_record("a", 15),), revision=16))
            await asyncio.sleep(0.1)
            self.assertEqual([("all", 10), ("all", 20)], self.taken)
            self.assertEqual([10, 20], source.watched_after)

        run_virtual(scenario())

    def test_list_that_is_older_than_the_known_records_is_ignored(self) -> None:
        """Guards against a slow list that arrives after a watch's newer records."""

        async def scenario() -> None:
            source = OverlappingSource()
            await self.follow(source)
            source.answer_watch(Records(records=(), revision=15))
            await asyncio.sleep(0.1)
            await self.follower.refresh()
            self.assertEqual([("all", 10), ("changes", 15)], self.taken)

        run_virtual(scenario())


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
