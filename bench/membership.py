"""Print the traffic of membership and configuration for several fleet sizes.

Bytes include the transport's envelope; calls to peers count both request and answer.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable

from lentilring.peers.codec import encode, encode_struct
from lentilring.peers.envelope import Envelope, EnvelopeKind
from lentilring.platform.store import Kind
from tests.fleet import Fleet, FleetNode
from tests.virtual_time import run_virtual

SIZES = (3, 9, 27, 81, 243)
SETTLE_S = 15.0
MEASURE_S = 30.0
# Authentication code, IPv4 and UDP headers.
PACKET_BYTES = 32 + 28


def measure(message: object) -> int:
    """Return the bytes of a datagram with its envelope."""
    envelope = Envelope(
        request_id=0,
        kind=EnvelopeKind.DATAGRAM,
        vm="vm-100",
        incarnation=1,
        address="10.0.0.100:7000",
        body=encode(message),
    )
    return len(encode_struct(envelope)) + PACKET_BYTES


def record_traffic(nodes: Iterable[FleetNode], totals: Counter[str]) -> None:
    """Count all messages that nodes send."""
    for node in nodes:
        transport = node.transport
        send, call = transport.send_datagram, transport.call

        def counted_send(address: str, message: object, send=send) -> None:
            totals["datagrams"] += 1
            totals["bytes"] += measure(message)
            totals["largest"] = max(totals["largest"], measure(message))
            send(address, message)

        async def counted_call(address: str, request: object, *, timeout_s: float, call=call):
            totals["calls"] += 1
            answer = await call(address, request, timeout_s=timeout_s)
            totals["bytes"] += measure(request) + measure(answer)
            return answer

        transport.send_datagram, transport.call = counted_send, counted_call


async def run(size: int, *, changes: bool) -> tuple[Counter[str], float]:
    """Return totals of one run and its processor seconds."""
    fleet = Fleet(size)
    fleet.table.put(Kind.TEMPLATE, "standard", {"name": "standard", "rate_per_s": 1, "burst": 1}, 0)
    await fleet.start(settle_s=SETTLE_S)
    totals: Counter[str] = Counter()
    record_traffic(fleet.nodes, totals)
    stores = fleet.table.calls.total()
    start = time.process_time()
    if changes:
        value = {"name": "standard", "rate_per_s": 2, "burst": 1}
        fleet.table.put(Kind.TEMPLATE, "standard", value, 1)
    await asyncio.sleep(MEASURE_S)
    totals["store"] = fleet.table.calls.total() - stores
    return totals, time.process_time() - start


def main() -> None:
    print(f"one configuration change in {MEASURE_S:.0f} s, or none; CPU time without transport")
    print("a node sends as much as it receives; bytes are those sent, per node and second")
    columns = ("nodes", "change", "datagrams", "bytes", "calls", "store calls", "largest", "cpu %")
    print(" ".join(f"{column:>12}" for column in columns))
    for size in SIZES:
        for changes in (False, True):
            totals, seconds = run_virtual(run(size, changes=changes))
            per_node = size * MEASURE_S
            row = (
                f"{size}",
                "yes" if changes else "no",
                f"{totals['datagrams'] / per_node:.1f}",
                f"{totals['bytes'] / per_node:.0f}",
                f"{totals['calls'] / per_node:.2f}",
                f"{totals['store'] / per_node:.3f}",
                f"{totals['largest']}",
                f"{100 * seconds / per_node:.3f}",
            )
            print(" ".join(f"{cell:>12}" for cell in row), flush=True)


if __name__ == "__main__":
    main()
