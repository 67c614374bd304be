"""Life cycle and look-up of services."""

import asyncio

import testtools

from lentilring.kernel import (
    LEAST_DRAIN_S,
    Kernel,
    Service,
    ServiceNameTaken,
    ServiceNotFound,
    ServiceTypeMismatch,
)
from lentilring.placement import rank_members
from lentilring.telemetry.log import format_value

from .virtual_time import run_virtual


class Recorder(Service):
    def __init__(self, *, name: str, events: list[str]) -> None:
        self.name = name
        self.events = events

    async def start(self) -> None:
        self.events.append(f"start {self.name}")

    async def drain(self, *, deadline_s: float) -> None:
        self.events.append(f"drain {self.name}")

    async def stop(self) -> None:
        self.events.append(f"stop {self.name}")


class FailingRecorder(Recorder):
    """Fail in one step of the life cycle."""

    def __init__(self, *, name: str, events: list[str], step: str) -> None:
        super().__init__(name=name, events=events)
        self.step = step

    async def start(self) -> None:
        self._fail_in("start")
        await super().start()

    async def drain(self, *, deadline_s: float) -> None:
        self._fail_in("drain")
        await super().drain(deadline_s=deadline_s)

    async def stop(self) -> None:
        self._fail_in("stop")
        await super().stop()

    def _fail_in(self, step: str) -> None:
        if step == self.step:
            raise RuntimeError(f"{step} of {self.name}")


class CancelledRecorder(Recorder):
    """Raise CancelledError, as a service does that awaits a task of its own that was cancelled."""

    async def drain(self, *, deadline_s: float) -> None:
        raise asyncio.CancelledError

    async def stop(self) -> None:
        raise asyncio.CancelledError


class SlowRecorder(Recorder):
    """Use all the time for draining."""

    async def drain(self, *, deadline_s: float) -> None:
        await asyncio.sleep(deadline_s)
        await super().drain(deadline_s=deadline_s)


class KernelTest(testtools.TestCase):
    def test_services_stop_in_reverse_order(self) -> None:
        """Guards against a service losing one that it depends on during shutdown."""
        events: list[str] = []
        kernel = Kernel()
        kernel.register("first", Recorder(name="first", events=events))
        kernel.register("second", Recorder(name="second", events=events))

        async def live() -> None:
            await kernel.start()
            await kernel.drain(deadline_s=1)
            await kernel.stop()

        run_virtual(live())
        self.assertEqual(
            "start first,start second,drain second,drain first,stop second,stop first",
            ",".join(events),
        )

    def test_service_that_fails_to_stop_does_not_keep_others_running(self) -> None:
        """Guards against connections that are cut because another service failed."""
        events: list[str] = []
        kernel = Kernel()
        kernel.register("first", Recorder(name="first", events=events))
        kernel.register("second", FailingRecorder(name="second", events=events, step="stop"))
        run_virtual(kernel.stop())
        self.assertEqual(["stop first"], events)

    def test_services_that_started_stop_when_one_fails_to_start(self) -> None:
        """Guards against a failed start whose threads and sockets keep the process alive."""
        events: list[str] = []
        kernel = Kernel()
        kernel.register("first", Recorder(name="first", events=events))
        kernel.register("second", FailingRecorder(name="second", events=events, step="start"))
        kernel.register("third", Recorder(name="third", events=events))
        self.assertRaises(RuntimeError, run_virtual, kernel.start())
        self.assertEqual("start first,stop second,stop first", ",".join(events))

    def test_failure_of_one_service_leaves_the_others_drained_and_stopped(self) -> None:
        """Guards against an error in one service that cuts the requests of the others."""
        for step in ("drain", "stop"):
            events: list[str] = []
            kernel = Kernel()
            kernel.register("first", Recorder(name="first", events=events))
            kernel.register("broken", FailingRecorder(name="broken", events=events, step=step))
            kernel.register("cancelled", CancelledRecorder(name="cancelled", events=events))

            async def live(kernel: Kernel = kernel) -> None:
                await kernel.start()
                await kernel.drain(deadline_s=1)
                await kernel.stop()

            run_virtual(live())
            for event in ("drain first", "stop first"):
                self.assertIn(event, events)

    def test_drain_ends_within_its_time(self) -> None:
        """Guards against a stop that takes its whole time once for each service."""

        async def live() -> None:
            events: list[str] = []
            kernel = Kernel()
            for number in range(4):
                kernel.register(f"slow-{number}", SlowRecorder(name="slow", events=events))
            await kernel.start()
            began = asyncio.get_running_loop().time()
            await kernel.drain(deadline_s=2.0)
            took_s = asyncio.get_running_loop().time() - began
            self.assertAlmostEqual(2.0 + 3 * LEAST_DRAIN_S, took_s, places=3)
            self.assertEqual(4, events.count("drain slow"))

        run_virtual(live())

    def test_wrong_look_ups_are_typed(self) -> None:
        """Guards against a wrong wiring that shows only when the service is used."""
        kernel = Kernel()
        kernel.register("one", Recorder(name="one", events=[]))
        self.assertRaises(ServiceNotFound, kernel.find, "two", Recorder)
        self.assertRaises(ServiceTypeMismatch, kernel.find, "one", Kernel)
        self.assertRaises(ServiceNameTaken, kernel.register, "one", object())


class Node:
    def __init__(self, vm: str, failure_domain: str) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.weight = 1.0


class PlacementTest(testtools.TestCase):
    def test_losing_a_member_moves_only_its_keys(self) -> None:
        """Guards against a ranking that reshuffles keys of members that stay."""
        nodes = [Node(f"vm-{i}", f"fd-{i % 3}") for i in range(9)]
        keys = [f"key-{i}" for i in range(300)]
        before = {key: rank_members(key, nodes)[0].vm for key in keys}
        after = {key: rank_members(key, nodes[1:])[0].vm for key in keys}
        moved = {before[key] for key in keys if before[key] != after[key]}
        self.assertEqual({"vm-0"}, moved)

    def test_preferred_failure_domain_comes_first(self) -> None:
        """Guards against a gateway far from its backend server."""
        nodes = [Node(f"vm-{i}", f"fd-{i % 3}") for i in range(9)]
        ranked = rank_members("key", nodes, preferred_failure_domain="fd-2")
        self.assertEqual(["fd-2"] * 3, [node.failure_domain for node in ranked[:3]])


class LogFormatTest(testtools.TestCase):
    def test_values_with_spaces_are_quoted(self) -> None:
        """Guards against an event that splits into several pairs or lines."""
        self.assertEqual('"a b\\n\\"c\\""', format_value('a b\n"c"'))
        self.assertEqual("plain", format_value("plain"))
