"""The page that names the tests of each invariant."""

import ast
import re
from pathlib import Path

import testtools

TESTS = Path(__file__).parent
PAGE = TESTS.parent / "docs" / "proof.md"
INVARIANTS = [f"I{number}" for number in range(1, 15)]


def find_tests() -> set[str]:
    """Return the names of the test functions in tests/."""
    return {
        node.name
        for file in TESTS.glob("test_*.py")
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8")))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and node.name.startswith("test_")
    }


class ProofPageTest(testtools.TestCase):
    def test_named_tests_exist(self) -> None:
        """Guards against a page that goes on naming a test that was renamed or removed."""
        named = set(re.findall(r"\btest_\w+", PAGE.read_text(encoding="utf-8")))
        self.assertNotEqual(set(), named)
        self.assertEqual(set(), named - find_tests())

    def test_every_invariant_has_a_section_that_names_tests(self) -> None:
        """Guards against an invariant that the page leaves out or gives no test."""
        sections = re.split(r"^## ", PAGE.read_text(encoding="utf-8"), flags=re.MULTILINE)
        tested = [
            section.split(":")[0]
            for section in sections
            if re.match(r"I\d+:", section) and re.search(r"\btest_\w+", section)
        ]
        self.assertEqual(INVARIANTS, tested)
