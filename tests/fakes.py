"""Fakes for the interfaces between services; tests set their faults."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from lentilring.peers.tcp import CONNECT_TIMEOUT_S
from lentilring.peers.transport import PeerAnswerLost, PeerRejected, PeerUnreachable, Sender


class AdjustableClock:
    """Follow the loop's time; a test changes offset or rate, for example for a paused process."""

    def __init__(self, *, offset_s: float = 0.0, rate: float = 1.0) -> None:
        self.offset_s = offset_s
        self.rate = rate

    def monotonic(self) -> float:
        return self.offset_s + asyncio.get_running_loop().time() * self.rate

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds / self.rate)


class FakeNetwork:
    """Connect the transports of one test.

    `cut_links` and `links_losing_answers` hold (sender, receiver) address pairs.
    """

    def __init__(self, *, delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self.transports: dict[str, FakeTransport] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.links_losing_answers: set[tuple[str, str]] = set()
        self.calls = 0
        self.datagrams = 0

    def isolate(self, address: str) -> None:
        """Cut all links from and to one address."""
        for other in self.transports:
            self.cut_links |= {(address, other), (other, address)}

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()
        self.links_losing_answers.clear()

    def can_reach(self, source: str, target: str) -> bool:
        is_open = target in self.transports and not self.transports[target].closed
        return is_open and (source, target) not in self.cut_links


class FakeTransport:
    """Pass messages between services as objects, without encoding them."""

    def __init__(self, *, network: FakeNetwork, vm: str, address: str, incarnation: int = 1):
        self.network = network
        self.address = address
        self.sender = Sender(vm=vm, incarnation=incarnation, address=address)
        self.closed = False
        self.paused: asyncio.Event | None = None
        self._handlers: dict[type, Callable[[Sender, Any], Awaitable[object]]] = {}
        self._datagram_handlers: dict[type, Callable[[Sender, Any], None]] = {}
        network.transports[address] = self

    def handle(self, request_type: type, handler: Any) -> None:
        self._handlers[request_type] = handler

    def handle_datagram(self, message_type: type, handler: Any) -> None:
        self._datagram_handlers[message_type] = handler

    async def call(self, address: str, request: object, *, timeout_s: float) -> object:
        network = self.network
        network.calls += 1
        if not network.can_reach(self.address, address):
            await asyncio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise PeerUnreachable(address=address)
        task = asyncio.ensure_future(self._deliver(address, request))
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done:
            raise PeerAnswerLost(address=address, detail="timed out")
        return task.result()

    async def _deliver(self, address: str, request: object) -> object:
        network = self.network
        target = network.transports[address]
        await asyncio.sleep(network.delay_s)
        if target.paused is not None:
            await target.paused.wait()
        handler = target._handlers.get(type(request))
        if handler is None:
            raise PeerRejected(address=address, detail=type(request).__name__)
        answer = await handler(self.sender, request)
        await asyncio.sleep(network.delay_s)
        lost = (address, self.address) in network.links_losing_answers
        if lost or not network.can_reach(address, self.address):
            await asyncio.Event().wait()
        return answer

    def send_datagram(self, address: str, message: object) -> None:
        network = self.network
        network.datagrams += 1
        if network.can_reach(self.address, address):
            loop = asyncio.get_running_loop()
            loop.call_later(network.delay_s, self._deliver_datagram, address, message)

    def _deliver_datagram(self, address: str, message: object) -> None:
        target = self.network.transports[address]
        if target.closed or target.paused is not None:
            return
        handler = target._datagram_handlers.get(type(message))
        if handler is not None:
            handler(self.sender, message)
