"""The check of the stop series: which statements without an answer count against a stop."""

from dataclasses import replace
from math import inf

from testtools import TestCase

from lentilring.soak.stops import CutStatement, PlannedStop, SentStatement, find_unanswered

GRACE_S = 6.0
STOP = PlannedStop(vm="vm-0", began_at=100.0, ended_at=105.5)
# Sent 5 s after SIGTERM, as in the users' record.
CUT = SentStatement(
    id="c1s1", text="READ i1", vm="vm-0", in_transaction=False, sent_at=105.0, ended_at=105.4
)


def check(
    statement: SentStatement,
    arrivals: dict[str, tuple[float, float]] | None = None,
    *logged: str,
) -> list[CutStatement]:
    return find_unanswered([statement], [STOP], arrivals or {}, frozenset(logged), grace_s=GRACE_S)


class StopCheckTest(TestCase):
    def test_statement_that_a_server_ran_is_found(self) -> None:
        """Guards against a check that misses what the users saw."""
        (found,) = check(CUT, {"c1s1": (105.1, inf)})
        self.assertTrue(found.ran)
        self.assertIn("sent 5.000 s, closed 5.400 s, process ended 5.500 s", found.describe())

    def test_statement_that_a_log_names_was_read(self) -> None:
        """Guards against taking a statement that was read for one that arrived too late."""
        (found,) = check(CUT, {}, "c1s1")
        self.assertTrue(found.was_read)

    def test_statement_on_its_way_is_told_apart(self) -> None:
        """Guards against callers that meet a closing connection and are not counted at all."""
        (found,) = check(CUT)
        self.assertFalse(found.was_read or found.ran)

    def test_answered_statements_and_other_proxies_do_not_count(self) -> None:
        """Guards against faults that the check invents."""
        self.assertEqual([], check(replace(CUT, is_answered=True)))
        self.assertEqual([], check(replace(CUT, vm="vm-1"), {"c1s1": (105.1, inf)}))
        self.assertEqual([], check(replace(CUT, ended_at=107.1), {"c1s1": (105.1, inf)}))

    def test_process_that_ends_by_an_error_is_told_from_a_killed_one(self) -> None:
        """Guards against a stop that fails without a statement that shows it."""
        self.assertTrue(replace(STOP, exit_code=1).has_failed)
        self.assertFalse(STOP.has_failed)
        self.assertFalse(replace(STOP, exit_code=-9, was_killed=True).has_failed)

    def test_old_statement_at_work_late_in_the_grace_period_is_excused(self) -> None:
        """Guards against a stricter rule than the users' own, and against a laxer one."""
        old = replace(CUT, sent_at=102.9)
        self.assertEqual([], check(old, {"c1s1": (103.0, 105.1)}))
        self.assertEqual(1, len(check(old, {"c1s1": (103.0, 104.9)})))
        self.assertEqual(1, len(check(replace(CUT, sent_at=103.1), {"c1s1": (103.2, 105.1)})))
