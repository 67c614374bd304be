"""What the session proxy loads before it can listen, and that it still checks and measures."""

import subprocess
import sys

import msgspec
from testtools import TestCase

from lentilring.session_settings import check_settings
from lentilring.telemetry.metrics import MAX_PENDING_DURATIONS, Telemetry

# Starts the program, which gets SIGHUP as it begins to load the services.
SIGNALLED_START = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path, target=None):
        if name == "lentilring.session_process":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.argv = ["lentilring-sessions", "--version"]
from lentilring.cli.sessions import main
main()
"""
# Libraries of other programs, or that are used only after the start.
DEFERRED_LIBRARIES = (
    "aiohttp",
    "cherrypy",
    "hypothesis",
    "matplotlib",
    "opentelemetry",
    "prometheus_client",
    "pydantic",
    "rich",
    "typer",
    "yaml",
)
SETTINGS = {
    "vm": "vm-1",
    "failure_domain": "casa-a",
    "region": "casa",
    "regions": {"casa-a": "casa"},
    "session_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "metrics_address": "127.0.0.1:4",
    "store_address": "127.0.0.1:5",
    "promotion_address": "127.0.0.1:6",
}


class ImportTest(TestCase):
    def test_start_loads_no_library_that_serving_does_not_need(self) -> None:
        """After a power loss, no caller is served until the processes have started."""
        program = (
            "import sys; from lentilring.cli import session_serving, sessions; print(*sys.modules)"
        )
        run = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        loaded = {name.partition(".")[0] for name in run.stdout.split()}
        self.assertEqual(set(), loaded & set(DEFERRED_LIBRARIES))


class SignalTest(TestCase):
    def test_changed_settings_do_not_end_a_process_that_starts(self) -> None:
        """Guards against SIGHUP in its default meaning while the program loads."""
        run = subprocess.run([sys.executable, "-c", SIGNALLED_START], capture_output=True)
        self.assertEqual((0, b""), (run.returncode, run.stderr))


class SettingsTest(TestCase):
    def test_settings_are_checked(self) -> None:
        self.assertEqual("vm-1", check_settings(SETTINGS).vm)
        for name, value in (
            ("vm", "No Label"),
            ("store_address", "store:1"),
            ("weight", 0),
            ("max_sessions", 0),
            ("drain_timeout_s", -1.0),
            ("unknown", 1),
        ):
            self.assertRaises(msgspec.ValidationError, check_settings, SETTINGS | {name: value})

    def test_missing_setting_is_refused(self) -> None:
        incomplete = {name: value for name, value in SETTINGS.items() if name != "vm"}
        self.assertRaises(msgspec.ValidationError, check_settings, incomplete)


class ExportTest(TestCase):
    def test_durations_before_the_first_export_are_exported(self) -> None:
        telemetry = Telemetry(exported=True)
        for _ in range(3):
            telemetry.record_duration("start_test_duration", 0.02, kind="read")
        telemetry.count("start_test_counter", reason="early")
        exported = telemetry.export().decode()
        self.assertIn('lentilring_start_test_duration_seconds_count{kind="read"', exported)
        self.assertIn('le="0.025"', exported)
        self.assertIn("lentilring_start_test_counter_total", exported)

    def test_pending_durations_are_bounded(self) -> None:
        telemetry = Telemetry(exported=True)
        for _ in range(MAX_PENDING_DURATIONS + 10):
            telemetry.record_duration("start_test_bound", 0.02)
        self.assertEqual([], telemetry._pending)
        pattern = f"_count{{.*}} {MAX_PENDING_DURATIONS + 10}.0"
        self.assertRegex(telemetry.export().decode(), f"start_test_bound_seconds{pattern}")
