"""Decisions about HTTP clients that are slow or too many, without a network."""

from testtools import TestCase

from lentilring.http.client_limits import (
    PEEK_BYTES,
    BusyConnection,
    HttpClientLimits,
    HttpLimit,
    IdleConnection,
    Phase,
    choose_for_room,
    choose_stuck,
    derive_max_connections,
    examine_arrival,
)

LIMITS = HttpClientLimits(answer_timeout_s=10.0, room_thread_s=1.0)
HEAD = b"POST /v1/s/d/r HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n"


class ArrivalTest(TestCase):
    def test_request_is_whole_with_its_body(self) -> None:
        """Guards against threads that wait for a body, and against waiting for a whole request."""
        for data in (HEAD, HEAD + b"x" * 9):
            self.assertEqual(len(HEAD) + 10, examine_arrival(data).wanted_bytes)
        without_body = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        for whole in (HEAD + b"x" * 10, without_body, without_body.replace(b"\r", b"")):
            self.assertLessEqual(examine_arrival(whole).wanted_bytes, len(whole))
        for length in range(len(HEAD)):
            arrival = examine_arrival(HEAD[:length])
            self.assertEqual((length + 1, False), (arrival.wanted_bytes, arrival.has_head))

    def test_client_that_waits_to_be_told_to_continue_is_answered(self) -> None:
        """Guards against waiting for a body that the client sends only after an answer."""
        head = HEAD[:-2] + b"Expect: 100-continue\r\n\r\n"
        self.assertEqual(len(head), examine_arrival(head).wanted_bytes)

    def test_long_requests_and_lengths_that_are_no_numbers_reach_a_thread(self) -> None:
        """Guards against requests that are never answered, as more never fits what is looked at."""
        self.assertEqual(PEEK_BYTES, examine_arrival(b"x" * PEEK_BYTES).wanted_bytes)
        long = HEAD.replace(b"10", b"999999999999999")
        self.assertEqual(PEEK_BYTES, examine_arrival(long).wanted_bytes)
        for length in (b"-1", b"9" * 5000, b"ten"):
            head = HEAD.replace(b"10", length)
            self.assertEqual(len(head), examine_arrival(head).wanted_bytes)


class StuckTest(TestCase):
    def test_slow_clients_give_up_threads_only_for_waiting_requests(self) -> None:
        """Guards against closing slow callers while there are threads for all."""
        busy = [
            build_busy("receiving", Phase.RECEIVING, 1.5),
            build_busy("sending", Phase.SENDING, 2.0),
            build_busy("just begun", Phase.RECEIVING, 0.9),
            build_busy("running", Phase.RUNNING, 60.0),
        ]
        self.assertEqual([], choose_stuck(busy, waiting=0, limits=LIMITS))
        first = [("sending", HttpLimit.HTTP_THREADS)]
        self.assertEqual(first, choose_stuck(busy, waiting=1, limits=LIMITS))
        both = [*first, ("receiving", HttpLimit.HTTP_THREADS)]
        self.assertEqual(both, choose_stuck(busy, waiting=9, limits=LIMITS))

    def test_answer_that_is_not_read_is_given_up_in_any_case(self) -> None:
        """Guards against a thread that a client holds for ever."""
        busy = [build_busy("sending", Phase.SENDING, 10.0)]
        expected = [("sending", HttpLimit.ANSWER_TIMEOUT)]
        self.assertEqual(expected, choose_stuck(busy, waiting=0, limits=LIMITS))


class RoomTest(TestCase):
    def test_connections_in_use_are_closed_last(self) -> None:
        """Guards against silent connections that keep callers out."""
        idle = [
            build_idle("caller", has_asked=True, idle_s=200.0),
            build_idle("silent", idle_s=5.0),
            build_idle("silent for long", idle_s=9.0),
            build_idle("halfway", is_halfway=True, idle_s=1.0),
        ]
        expected = ["halfway", "silent for long", "silent", "caller"]
        self.assertEqual(expected, choose_for_room(idle, 4))
        self.assertEqual(expected[:1], choose_for_room(idle, 1))

    def test_connections_leave_descriptors_for_peers_and_servers(self) -> None:
        """Guards against callers that take the descriptors of all other connections."""
        self.assertEqual(150, derive_max_connections(20_000, 300))
        self.assertEqual(19_000, derive_max_connections(20_000, 20_000))
        self.assertEqual(20_000, derive_max_connections(20_000, 1_000_000))


def build_busy(name: str, phase: Phase, phase_s: float) -> BusyConnection[str]:
    return BusyConnection(connection=name, phase=phase, phase_s=phase_s)


def build_idle(
    name: str, *, idle_s: float, has_asked: bool = False, is_halfway: bool = False
) -> IdleConnection[str]:
    return IdleConnection(
        connection=name, has_asked=has_asked, is_halfway=is_halfway, idle_s=idle_s
    )
