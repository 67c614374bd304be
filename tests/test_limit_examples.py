"""The example in docs/examples runs."""

import runpy
from pathlib import Path

import testtools

EXAMPLE = Path(__file__).parent.parent / "docs" / "examples" / "limits.py"


class ExampleTest(testtools.TestCase):
    def test_example_runs(self) -> None:
        """Guards against an example that no longer fits the modules."""
        runpy.run_path(str(EXAMPLE), run_name="__main__")
