"""Reading of KNOWN-RED.txt."""

from testtools import TestCase

from .conftest import read_known_red

TEXT = """\
a fault
test: tests/test_a.py::ATest::test_always
  command: pytest tests/test_a.py::ATest::test_always
fails in some runs: tests/test_b.py::BTest::test_sometimes

seen once, passes since: tests/test_c.py::CTest::test_once
"""


class KnownRedTest(TestCase):
    def test_entries_say_whether_a_test_fails_in_every_run(self) -> None:
        """Guards against CI that fails by chance, as a listed test passes in some runs."""
        self.assertEqual(
            {
                "tests/test_a.py::ATest::test_always": True,
                "tests/test_b.py::BTest::test_sometimes": False,
            },
            read_known_red(TEXT),
        )
