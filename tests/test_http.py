"""The callers' HTTP interface on a real CherryPy server: bad input, slow bodies, readiness."""

import asyncio
import io
import json
import socket
import threading
import time
from collections.abc import Awaitable, Callable
from concurrent.futures import Future
from typing import Any

import testtools

from lentilring.clock import SystemClock
from lentilring.http.callers import CallerInterface
from lentilring.http.messages import HttpResponse
from lentilring.http.readiness import LEAVING_GRACE_S, Readiness
from lentilring.http.server import HttpServer, TimedConnection
from lentilring.kernel import Kernel
from lentilring.outcomes import Completed, NotRun, Outcome, RefusalReason
from lentilring.routing.request import CallerRequest
from lentilring.telemetry.log import write_logs
from lentilring.telemetry.metrics import Telemetry

from .virtual_time import run_virtual

MAX_BODY_BYTES = 2048
BODY_TIMEOUT_S = 0.5
LARGE_RESULT_BYTES = 256 * 1024
HUGE_RESULT_BYTES = 64 * 1024 * 1024
GOOD = b'{"statement": {"op": "get", "key": "a"}}'
HEAD = f"POST /v1/s/d/r HTTP/1.1\r\nHost: x\r\nContent-Length: {len(GOOD)}\r\n\r\n".encode()


class Echo:
    """Stand in for routing: answer with the statement, or fail."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.failure: Exception | None = None
        self.delay_s = 0.0
        self.result = ""

    async def handle(self, request: CallerRequest) -> Outcome:
        self.requests.append(request)
        if self.failure is not None:
            raise self.failure
        await asyncio.sleep(self.delay_s)
        return Completed(result=self.result or request.statement)


class LateSet(set[Future[HttpResponse]]):
    """Add items late, as a thread does that waits for the processor."""

    def add(self, item: Future[HttpResponse], /) -> None:
        time.sleep(0.5)
        super().add(item)


class HttpTest(testtools.TestCase):
    server: HttpServer

    def serve(self, scenario: Callable[[int, Echo, Readiness], Awaitable[None]]) -> None:
        """Run a scenario against a server on a free port."""

        async def run() -> None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            echo, readiness = Echo(), Readiness(clock=SystemClock())
            callers = CallerInterface(
                routing=echo,  # type: ignore[arg-type]
                readiness=readiness,
                telemetry=Telemetry(),
                default_deadline_s=1.0,
            )
            server = self.server = HttpServer(
                kernel=Kernel(),
                host="127.0.0.1",
                port=port,
                handle=callers.handle,
                threads=8,
                max_body_bytes=MAX_BODY_BYTES,
                body_timeout_s=BODY_TIMEOUT_S,
                clock=SystemClock(),
            )
            await server.start()
            try:
                await asyncio.wait_for(scenario(port, echo, readiness), 30)
            finally:
                await server.stop()

        asyncio.run(run())

    def test_bad_input_gets_a_typed_refusal(self) -> None:
        """Guards against stack traces and server errors in response to invalid requests."""
        cases: list[tuple[str, dict[str, str], bytes, int, str]] = [
            ("/v1/s/d/r", {}, b"{", 400, "request_malformed"),
            ("/v1/s/d/r", {}, b"[1]", 400, "request_malformed"),
            ("/v1/s/d/r", {}, b"\xff\xfe", 400, "request_malformed"),
            ("/v1/s/d/r", {}, b"[" * 2000, 400, "request_malformed"),
            ("/v1/s/d/r", {}, b'{"statement": 1, "key": 2}', 400, "request_malformed"),
            ("/v1/s/d/r", {"Lentilring-Deadline-Ms": "0"}, GOOD, 400, "request_malformed"),
            ("/v1/s/d/r", {"Idempotency-Key": "k" * 300}, GOOD, 400, "request_malformed"),
            ("/v1/s/d/r", {}, b" " * (MAX_BODY_BYTES + 1), 413, "body_too_large"),
            ("/v1/s/d", {}, GOOD, 404, "route_unknown"),
            ("/v1/../x/d/r", {}, GOOD, 404, "route_unknown"),
            ("/v1/s/d/transactions/a b", {}, GOOD, 404, "route_unknown"),
            ("/nothing", {}, GOOD, 404, "route_unknown"),
            ("/v1/s/d/r", {"Authorization": "Basic eDp5"}, GOOD, 401, "key_missing"),
        ]

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            for path, headers, body, status, reason in cases:
                path = path.replace(" ", "%20")
                received_status, content = await post(port, path, body, headers)
                self.assertEqual(
                    (status, reason), (received_status, content.get("reason")), (path, body)
                )
                self.assertEqual("not_run", content["outcome"])
            self.assertEqual([], echo.requests)

        self.serve(scenario)

    def test_failure_of_a_service_shows_no_stack_trace(self) -> None:
        """Guards against internals in answers, and 'not run' for a request that may have run."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            echo.failure = ValueError("secret detail")
            status, content = await post(port, "/v1/s/d/r", GOOD, {})
            self.assertEqual((500, "outcome_unknown"), (status, content["outcome"]))
            self.assertNotIn("secret", json.dumps(content))

        self.serve(scenario)

    def test_slow_body_is_refused_at_its_deadline(self) -> None:
        """Guards against a caller that occupies a thread by sending a byte now and then."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"POST /v1/s/d/r HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")

            async def send_slowly() -> None:
                while True:
                    writer.write(b" ")
                    await asyncio.sleep(0.05)

            sending = asyncio.create_task(send_slowly())
            head = await reader.readuntil(b"\r\n\r\n")
            sending.cancel()
            self.assertTrue(head.startswith(b"HTTP/1.1 408"), head)
            self.assertEqual([], echo.requests)
            writer.close()

        self.serve(scenario)

    def test_key_and_headers_reach_routing_only(self) -> None:
        """Guards against headers that are lost, or a key that is returned to the caller."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            headers = {
                "Authorization": "Bearer secret-key",
                "Idempotency-Key": "i-1",
                "Lentilring-Session": "token",
                "X-Request-Id": "caller-7",
            }
            status, content = await post(port, "/v1/s/d/r", GOOD, headers)
            request = echo.requests[0]
            self.assertEqual(200, status)
            self.assertEqual(
                ("secret-key", "i-1", "token", "caller-7"),
                (request.key, request.idempotency_key, request.session, request.request_id),
            )
            self.assertNotIn("secret-key", json.dumps(content))

        self.serve(scenario)

    def test_connections_that_send_nothing_hold_no_thread(self) -> None:
        """Guards against callers that connect, send nothing and block all other callers."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(200)]
            status, _ = await post(port, "/v1/s/d/r", GOOD, {})
            self.assertEqual(200, status)
            for _, writer in silent:
                writer.close()

        self.serve(scenario)

    def test_many_connections_stay_open(self) -> None:
        """Guards against the server's default limit of ten idle connections."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
            for _ in range(2):
                for reader, writer in connections:
                    status, _ = await exchange(reader, writer, "/v1/s/d/r", GOOD, {})
                    self.assertEqual(200, status)
            for _, writer in connections:
                writer.close()

        self.serve(scenario)

    def test_request_that_runs_at_the_end_of_a_drain_is_answered(self) -> None:
        """Guards against a stop that cuts a slow request without an answer (review/5)."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            echo.delay_s = 60.0
            request = asyncio.ensure_future(post(port, "/v1/s/d/r", GOOD, {}))
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(echo.requests))
            await self.server.drain(deadline_s=0.3)
            await self.server.stop()
            _, content = await asyncio.wait_for(request, 3)
            self.assertEqual("outcome_unknown", content["outcome"])

        self.serve(scenario)

    def test_request_that_ends_during_a_drain_is_served(self) -> None:
        """Guards against requests that are given up although there is time for them."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            echo.delay_s = 0.4
            request = asyncio.ensure_future(post(port, "/v1/s/d/r", GOOD, {}))
            await asyncio.sleep(0.2)
            await self.server.drain(deadline_s=2.0)
            self.assertEqual(200, (await request)[0])

        self.serve(scenario)

    def test_request_that_begins_at_the_end_of_a_drain_is_answered(self) -> None:
        """Guards against a request that neither a drain nor its end has seen."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            echo.delay_s = 20.0
            bridge = self.server._bridge
            assert bridge is not None
            bridge._running = LateSet()
            request = asyncio.ensure_future(post(port, "/v1/s/d/r", GOOD, {}))
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(echo.requests))
            await self.server.drain(deadline_s=0.2)
            _, content = await asyncio.wait_for(request, 5)
            self.assertEqual("outcome_unknown", content["outcome"])

        self.serve(scenario)

    def test_logs_name_a_request_that_is_given_up_or_fails(self) -> None:
        """Guards against a request of which no line tells where it ended."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            output = io.StringIO()
            with write_logs(stream=output):
                echo.failure = ValueError("secret detail")
                _, failed = await post(port, "/v1/s/d/r", GOOD, {"X-Request-Id": "caller-7"})
                echo.failure, echo.delay_s = None, 20.0
                headers = {"X-Request-Id": "caller-8"}
                waiting = asyncio.ensure_future(post(port, "/v1/s/d/r", GOOD, headers))
                await asyncio.sleep(0.2)
                await self.server.drain(deadline_s=0.1)
                await waiting
            lines = output.getvalue()
            self.assertIn("event=request_failed request_id=caller-7 path=/v1/s/d/r", lines)
            self.assertIn("ValueError: secret detail", lines)
            self.assertEqual("caller-7", failed["request_id"])
            self.assertIn("event=request_given_up request_id=caller-8 path=/v1/s/d/r", lines)

        self.serve(scenario)

    def test_body_that_arrives_in_parts_during_the_stop_is_answered(self) -> None:
        """Guards against a stop that cuts a request whose body is on the way."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
            for _, writer in connections:
                writer.write(HEAD + GOOD[:10])
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(self.server.stop())
            await asyncio.sleep(0.2)
            (complete_reader, complete), (torn_reader, _) = connections
            complete.write(GOOD[10:])
            answer = await complete_reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            answer = await torn_reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer)
            self.assertIn(b'"outcome":"not_run"', answer)
            await stopping
            self.assertEqual(1, len(echo.requests))

        self.serve(scenario)

    def test_answer_that_is_read_after_the_stop_is_complete(self) -> None:
        """Guards against an answer in buffers that a stop throws away."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            echo.result = "x" * LARGE_RESULT_BYTES
            with socket.create_connection(("127.0.0.1", port)) as late:
                late.sendall(HEAD + GOOD)
                await asyncio.sleep(0.3)
                await self.server.stop()
                with late.makefile("rb") as response:
                    answer = await asyncio.to_thread(response.read)
            self.assertEqual(echo.result, json.loads(answer.split(b"\r\n\r\n")[1])["result"])

        self.serve(scenario)

    def test_slow_reader_delays_a_stop_for_a_limited_time(self) -> None:
        """Guards against a caller that keeps the process from ending until SIGKILL cuts others."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            echo.result = "x" * HUGE_RESULT_BYTES
            with socket.create_connection(("127.0.0.1", port)) as slow:
                slow.sendall(HEAD + GOOD)
                await asyncio.sleep(0.3)

                async def read_slowly() -> None:
                    while await asyncio.to_thread(slow.recv, 65536):
                        await asyncio.sleep(0.3)

                reading = asyncio.ensure_future(read_slowly())
                await asyncio.wait_for(asyncio.shield(self.server.stop()), 10)
                reading.cancel()

        self.serve(scenario)

    def test_requests_that_arrived_before_the_stop_are_answered(self) -> None:
        """Guards against a stop that closes connections whose requests wait in the system."""

        async def scenario(port: int, echo: Echo, readiness: Readiness) -> None:
            connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
            for reader, writer in connections:
                await exchange(reader, writer, "/v1/s/d/r", GOOD, {})
            resume = self.pause_connection_thread()
            # The request of this connection ends the thread's wait.
            first = asyncio.ensure_future(post(port, "/v1/s/d/r", GOOD, {}))
            await asyncio.sleep(0.1)
            requests = [
                asyncio.ensure_future(exchange(reader, writer, "/v1/s/d/r", GOOD, {}))
                for reader, writer in connections
            ]
            requests += [
                asyncio.ensure_future(post(port, "/v1/s/d/r", GOOD, {})) for _ in range(20)
            ]
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(self.server.stop())
            await asyncio.sleep(0.1)
            resume.set()
            await stopping
            answers = await asyncio.gather(first, *requests, return_exceptions=True)
            unanswered = [answer for answer in answers if isinstance(answer, BaseException)]
            self.assertEqual([], unanswered)

        self.serve(scenario)

    def pause_connection_thread(self) -> threading.Event:
        """Hold the thread that hands connections to the workers, as on a busy machine."""
        resume = threading.Event()
        server = self.server._server
        assert server is not None
        process_conn = server.process_conn

        def wait_and_process(conn: TimedConnection) -> None:
            resume.wait(10)
            process_conn(conn)

        server.process_conn = wait_and_process  # type: ignore[method-assign]
        return resume


class ReadinessTest(testtools.TestCase):
    def test_leaving_proxy_serves_for_a_grace_and_then_refuses(self) -> None:
        """Guards against requests refused too early in a drain, and requests accepted after it."""

        async def scenario() -> None:
            class LoopTime:
                def monotonic(self) -> float:
                    return asyncio.get_running_loop().time()

                async def sleep(self, seconds: float) -> None:
                    await asyncio.sleep(seconds)

            drained = False
            readiness = Readiness(clock=LoopTime())
            readiness.set_drain_check(lambda: drained)
            self.assertEqual(([], False, None), _state(readiness))
            drained = True
            self.assertEqual((["failure_domain_drained"], True, None), _state(readiness))
            await asyncio.sleep(LEAVING_GRACE_S + 0.1)
            refusal = readiness.refuse_request()
            assert isinstance(refusal, NotRun)
            self.assertIs(RefusalReason.DRAINING, refusal.reason)
            drained = False
            self.assertEqual(([], False, None), _state(readiness))

        run_virtual(scenario())


def _state(readiness: Readiness) -> tuple[list[str], bool, NotRun | None]:
    return readiness.list_unready_conditions(), readiness.is_leaving, readiness.refuse_request()


async def post(port: int, path: str, body: bytes, headers: dict[str, str]) -> tuple[int, Any]:
    """Send a request on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await exchange(reader, writer, path, body, headers)
    finally:
        writer.close()


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    body: bytes,
    headers: dict[str, str],
) -> tuple[int, Any]:
    """Send a request and read the response."""
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = next(
        int(line.split(":")[1])
        for line in head.splitlines()
        if line.lower().startswith("content-length")
    )
    return int(head.split()[1]), json.loads(await reader.readexactly(length))
