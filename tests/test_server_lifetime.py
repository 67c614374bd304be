"""Since when a server has certainly run, by the connections that it answers on."""

from testtools import TestCase

from lentilring.gateways.lifetime import NEVER, ServerLifetime


class ServerLifetimeTest(TestCase):
    def test_connections_that_overlap_were_to_one_process(self) -> None:
        """Guards against a proof of the lead for each new connection to a busy primary."""
        lifetime = ServerLifetime()
        self.assertEqual(NEVER, lifetime.since)
        lifetime.record_answer(opened_at=1.0, sent_at=5.0)
        lifetime.record_answer(opened_at=4.0, sent_at=6.0)
        self.assertEqual(1.0, lifetime.since)

    def test_connection_that_was_opened_later_may_be_to_another_process(self) -> None:
        """Guards against a primary that has restarted and is taken for the one that was proved."""
        lifetime = ServerLifetime()
        lifetime.record_answer(opened_at=1.0, sent_at=5.0)
        lifetime.record_answer(opened_at=5.5, sent_at=6.0)
        self.assertEqual(5.5, lifetime.since)

    def test_older_connection_that_answers_again_shows_that_the_process_is_the_same(self) -> None:
        """Guards against proofs for as long as the newest connection lasts."""
        lifetime = ServerLifetime()
        lifetime.record_answer(opened_at=1.0, sent_at=5.0)
        lifetime.record_answer(opened_at=5.5, sent_at=6.0)
        lifetime.record_answer(opened_at=1.0, sent_at=6.5)
        self.assertEqual(1.0, lifetime.since)

    def test_answer_that_arrives_after_a_restart_joins_nothing(self) -> None:
        """Guards against an answer of the earlier process that was still on its way."""
        lifetime = ServerLifetime()
        lifetime.record_answer(opened_at=5.5, sent_at=6.0)
        lifetime.record_answer(opened_at=1.0, sent_at=5.0)
        self.assertEqual(5.5, lifetime.since)
