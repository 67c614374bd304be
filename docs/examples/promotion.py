"""Promote a replica with the failover library alone, on in-memory servers and an in-memory store.

Run: python docs/examples/promotion.py
"""

import asyncio
from random import Random

from lentilring.clock import LoopClock
from lentilring.database.messages import Fence, Follow, Lead, ServerStatus
from lentilring.failover.controls import ControlConnections
from lentilring.failover.group import Group, GroupServer
from lentilring.failover.promotion import OpenTerm, Promoter
from lentilring.standin.database import DatabaseServer
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry


class LocalControl:
    """Call a server in this process instead of over a control connection."""

    def __init__(self, *, server: DatabaseServer) -> None:
        self._server = server

    async def fence(self, *, term: int, timeout_s: float) -> ServerStatus:
        """Raise the server's term, so that it refuses requests of lower terms."""
        return self._server.fence(Fence(term=term))

    async def lead(
        self,
        *,
        term: int,
        start_position: int,
        replica_addresses: tuple[str, ...],
        timeout_s: float,
    ) -> ServerStatus:
        """Make the server the primary of a term."""
        return self._server.lead(Lead(term=term, start_position=start_position))

    async def follow(
        self, *, term: int, primary_address: str, start_position: int, timeout_s: float
    ) -> ServerStatus:
        """Make the server a replica of a term's primary."""
        request = Follow(term=term, primary_address=primary_address, start_position=start_position)
        return self._server.follow(request)

    def close(self) -> None:
        """Do nothing, because there is no connection."""


class LocalBackends:
    """Connect to in-process servers by address."""

    def __init__(self, *, servers: dict[str, DatabaseServer]) -> None:
        self._servers = servers

    async def connect_control(self, address: str, *, timeout_s: float) -> LocalControl:
        """Return an object that calls the server at an address."""
        return LocalControl(server=self._servers[address])


async def promote_twice() -> list[OpenTerm]:
    """Promote a first primary, then a second one as if the first had failed."""
    servers = {f"db-{number}": DatabaseServer(name=f"db-{number}") for number in (1, 2, 3)}
    group = Group(
        name="rental-core.stock",
        servers=tuple(
            GroupServer(name=name, address=name, failure_domain="casa-a") for name in servers
        ),
    )
    telemetry, clock = Telemetry(), LoopClock()
    promoter = Promoter(
        store=LocalStore(table=ObjectTable()),
        controls=ControlConnections(
            backends=LocalBackends(servers=servers),  # type: ignore[arg-type]
            clock=clock,
            telemetry=telemetry,
        ),
        clock=clock,
        random=Random(1),
        proposer="example",
        telemetry=telemetry,
    )
    first = await promoter.promote(group, None)
    failed = frozenset({first.record.primary})
    return [first, await promoter.promote(group, first.stored, excluded=failed)]


if __name__ == "__main__":
    for opened in asyncio.run(promote_twice()):
        print(f"term={opened.record.term} primary={opened.record.primary}")
