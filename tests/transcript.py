"""Transcripts of whole sessions, compared with golden files.

`REWRITE_GOLDEN=1 make test` rewrites the files; review the difference before committing it.
"""

import asyncio
import difflib
import os
from collections import Counter
from functools import singledispatch
from pathlib import Path
from typing import Any

import testtools

from lentilring.outcomes import Completed, NotRun, Outcome, OutcomeUnknown
from lentilring.transactions.messages import Step

from .deployment import Deployment

GOLDEN_FOLDER = Path(__file__).parent / "golden"


@singledispatch
def format_outcome(outcome: object) -> str:
    raise TypeError(type(outcome).__name__)


@format_outcome.register
def _(outcome: Completed) -> str:
    role = "replica" if outcome.from_replica else "primary"
    text = f"completed {outcome.result!r} by {outcome.served_by} ({role})"
    if outcome.replayed:
        text += " replayed"
    if outcome.position is not None:
        text += f" session {outcome.position.term}/{outcome.position.position}"
    return text


@format_outcome.register
def _(outcome: NotRun) -> str:
    return f"not run: {outcome.reason.value}"


@format_outcome.register
def _(outcome: OutcomeUnknown) -> str:
    return f"outcome unknown: {outcome.reason.value}"


class Transcript:
    """Record each request with its outcome and virtual time, and check invariants."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.lines: list[str] = []
        self.outcomes: list[tuple[str, Any, Outcome]] = []

    def write_line(self, text: str) -> None:
        """Write a line that begins with the time in seconds."""
        self.lines.append(f"{asyncio.get_running_loop().time():8.2f}  {text}")

    async def request(self, vm: str, route: str, statement: Any = None, **values: Any) -> Outcome:
        """Send a request and record its outcome."""
        outcome = await self.deployment.request(vm, route, statement, **values)
        self.outcomes.append((route, statement, outcome))
        account = values.get("account", "atlas")
        self.write_line(
            f"{account} {vm} {route} {_format_statement(statement)}: " f"{format_outcome(outcome)}"
        )
        return outcome

    async def step(self, vm: str, step: Step, transaction_id: str = "", **values: Any) -> Outcome:
        """Run a transaction step and record its outcome; its random id is shown as `ID`."""
        outcome = await self.deployment.step(vm, step, transaction_id, **values)
        account = values.get("account", "atlas")
        text = format_outcome(outcome).replace(str(getattr(outcome, "result", "")) or "~", "ID")
        outcome_text = format_outcome(outcome) if step is not Step.BEGIN else text
        statement = _format_statement(values.get("statement"))
        self.write_line(f"{account} {vm} {step.value} {statement}: {outcome_text}")
        return outcome

    def check_appends(self, key: str, account: str = "atlas") -> None:
        """Check that completed appends are in the list once, others at most once or not at all.

        An append of unknown outcome may be there once, one that was not run must not be there.
        """
        server = self.deployment.backends.servers[self.deployment.primary_address]
        counts = Counter(server.log.maps[account].get(key, []))
        violations = []
        for _, statement, outcome in self.outcomes:
            if not isinstance(statement, dict) or statement.get("op") != "append":
                continue
            count = counts[statement["value"]]
            if isinstance(outcome, Completed) and count != 1:
                violations.append(f"{statement['value']} completed, found {count} times")
            if isinstance(outcome, NotRun) and count != 0:
                violations.append(f"{statement['value']} not run, found {count} times")
            if count > 1:
                violations.append(f"{statement['value']} found {count} times")
        self.write_line(f"check appends of {key}: {'; '.join(violations) or 'as reported'}")
        assert not violations, violations

    def check_no_keys(self) -> None:
        """Check that no backend server received a caller's API key."""
        received = [
            entry for s in self.deployment.backends.servers.values() for entry in s.journal.received
        ]
        leaked = [entry for entry in received if "key-of-" in str(entry)]
        self.write_line(
            f"check keys at backend servers: {len(leaked)} in {len(received)} statements"
        )
        assert received
        assert not leaked, leaked


class GoldenTest(testtools.TestCase):
    """Compare a transcript with its golden file."""

    def compare(self, name: str, transcript: Transcript) -> None:
        """Fail with the difference if a transcript is not equal to its golden file."""
        path = GOLDEN_FOLDER / f"{name}.txt"
        text = "\n".join(transcript.lines) + "\n"
        if os.environ.get("REWRITE_GOLDEN"):
            path.write_text(text)
        recorded = path.read_text() if path.exists() else ""
        difference = difflib.unified_diff(
            recorded.splitlines(), text.splitlines(), "recorded", "now", lineterm="", n=2
        )
        self.assertEqual(recorded, text, "\n".join(difference))


def _format_statement(statement: Any) -> str:
    if not isinstance(statement, dict):
        return ""
    arguments = " ".join(str(value) for name, value in statement.items() if name != "op")
    return f"{statement.get('op')} {arguments}"
