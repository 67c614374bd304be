"""HTTP calls on separate connections, and the probe server, over real sockets."""

import asyncio
import io
from collections.abc import Awaitable, Callable

from testtools import TestCase

from lentilring.http.exchange import ExchangeFailed, HttpAnswer, exchange
from lentilring.http.probe import ProbeServer
from lentilring.telemetry.log import write_logs
from lentilring.telemetry.metrics import Telemetry

from .prepared import find_free_port, run

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def call(answer: bytes, *, timeout_s: float = 1.0, method: str = "GET") -> HttpAnswer:
    """Call a server that reads a request's headers, sends the given bytes and then waits."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if answer.endswith(b"\0"):
            writer.transport.abort()

    port = find_free_port()
    server = await asyncio.start_server(serve, "127.0.0.1", port)
    async with server:
        return await exchange(
            f"127.0.0.1:{port}", method, "/x", timeout_s=timeout_s, connect_timeout_s=0.5
        )


class ExchangeTest(TestCase):
    def test_answer_with_length_and_in_chunks(self) -> None:
        """Guards against an answer that is read only in part."""
        with_length = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
        chunked = (
            b"HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        )

        async def scenario() -> None:
            self.assertEqual(
                HttpAnswer(status=200, content=b"hello", headers={"content-length": "5"}),
                await call(with_length),
            )
            self.assertEqual(
                HttpAnswer(status=409, content=b"hello", headers={"transfer-encoding": "chunked"}),
                await call(chunked),
            )

        run(scenario())

    def test_missing_torn_and_foreign_answers_are_failures(self) -> None:
        """Guards against a truncated or malformed answer that is accepted as complete."""
        cases = [
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel\0",
            b"READY I -\r\n\r\n",
        ]

        async def scenario() -> None:
            for answer in cases:
                try:
                    await call(answer, timeout_s=0.2)
                except ExchangeFailed:
                    continue
                self.fail(f"accepted as an answer: {answer!r}")

        run(scenario())

    def test_closed_port_fails_at_once(self) -> None:
        """Guards against waiting for a store that is down until the time-out."""

        async def scenario() -> None:
            address = f"127.0.0.1:{find_free_port()}"
            try:
                await exchange(address, "GET", "/x", timeout_s=20, connect_timeout_s=20)
            except ExchangeFailed as error:
                self.assertIn("ConnectionRefused", error.detail)
                return
            self.fail("a closed port answered")

        run(scenario(), within_s=10)


class BrokenTelemetry(Telemetry):
    """Fail to export metrics."""

    def __init__(self, *, error: Exception) -> None:
        super().__init__()
        self.error = error

    def export(self) -> bytes:
        raise self.error


class ProbeTest(TestCase):
    def test_probe_follows_readiness_on_one_connection_and_metrics_hold_histograms(self) -> None:
        """Guards against a server that answers only the first probe on a connection."""

        async def scenario() -> None:
            telemetry, ready = Telemetry(exported=True), [False]
            telemetry.count("probes", reason="test")
            telemetry.count("probes", reason="test")
            telemetry.record_duration("probe_duration", 0.3)
            addresses = [f"127.0.0.1:{find_free_port()}" for _ in range(2)]
            server = ProbeServer(
                readiness_address=addresses[0],
                metrics_address=addresses[1],
                is_ready=lambda: ready[0],
                telemetry=telemetry,
            )
            await server.start()
            host, _, port = addresses[0].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for expected in (b"503", b"200"):
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 2)
                self.assertIn(expected, status)
                await reader.readuntil(b"ready")
                ready[0] = True
            writer.close()
            answer = await exchange(
                addresses[1], "GET", "/metrics", timeout_s=2, connect_timeout_s=2
            )
            lines = answer.content.decode().splitlines()
            counted = [line for line in lines if line.startswith("lentilring_probes_total")]
            self.assertEqual(1, len(counted))
            self.assertTrue(counted[0].endswith('reason="test"} 2.0'), counted)
            prefix = 'lentilring_probe_duration_seconds_bucket{le="0.4"'
            self.assertEqual("1.0", next(x for x in lines if x.startswith(prefix)).split()[-1])
            other = await exchange(addresses[0], "GET", "/x", timeout_s=2, connect_timeout_s=2)
            self.assertEqual(404, other.status)
            await server.stop()

        run(scenario())

    def test_unexpected_error_is_logged_and_answered(self) -> None:
        """Guards against an endpoint that closes the connection without an answer or a line."""

        async def scenario() -> None:
            for error in (RuntimeError("dictionary changed"), OSError(24, "too many open files")):
                telemetry = BrokenTelemetry(error=error)
                metrics = f"127.0.0.1:{find_free_port()}"
                server = ProbeServer(
                    readiness_address=f"127.0.0.1:{find_free_port()}",
                    metrics_address=metrics,
                    is_ready=lambda: True,
                    telemetry=telemetry,
                )
                await server.start()
                output = io.StringIO()
                with write_logs(stream=output):
                    answer = await exchange(
                        metrics, "GET", "/metrics", timeout_s=2, connect_timeout_s=2
                    )
                self.assertEqual((500, b""), (answer.status, answer.content))
                self.assertIn("level=ERROR", output.getvalue())
                self.assertIn(type(error).__name__, output.getvalue())
                self.assertIn("in export", output.getvalue())
                await server.stop()

        run(scenario())
