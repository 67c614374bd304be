"""The generated reference page."""

from dataclasses import fields
from pathlib import Path

import testtools

from lentilring.cli.reference import OBJECT_TYPES, PART_TYPES, describe_page
from lentilring.configuration.models import PARSERS
from lentilring.session_settings import SessionProxySettings
from lentilring.settings import ProxySettings

PAGE = Path(__file__).parent.parent / "docs" / "configuration.md"


class ReferenceTest(testtools.TestCase):
    def test_committed_page_is_up_to_date(self) -> None:
        """Guards against a setting or field that changes without its documentation."""
        command = "python -m lentilring.cli.reference --output docs/configuration.md"
        self.assertEqual(describe_page(), PAGE.read_text(encoding="utf-8"), f"run {command}")

    def test_every_kind_of_object_is_described(self) -> None:
        """Guards against a new kind that is parsed but not documented."""
        self.assertEqual(set(PARSERS), set(OBJECT_TYPES))

    def test_every_setting_and_field_has_a_row(self) -> None:
        """Guards against rows that the page's generator leaves out."""
        page = describe_page()
        for setting in fields(ProxySettings):
            self.assertIn(f"| `--{setting.name.replace('_', '-')}` |", page)
        for setting in fields(SessionProxySettings):
            self.assertIn(f"| `{setting.name}` |", page)
        for model in (*OBJECT_TYPES.values(), *PART_TYPES.values()):
            for field in fields(model):
                self.assertIn(f"| `{field.name}` |", page)

    def test_ranges_are_stated(self) -> None:
        """Guards against constraints of nested types that are lost on the way to the page."""
        rows = [line for line in describe_page().splitlines() if line.startswith("| `rate_per_s`")]
        self.assertEqual(2, len(rows))
        for row in rows:
            self.assertIn("above 0; at most 1000000.0", row)
