"""Settings from the environment and the event loop of the `lentilring-sessions` program."""

import asyncio
import os
import sys
from pathlib import Path

from ..platform.boot import BOOT_VARIABLE, read_boot_file
from ..session_process import run_session_proxy
from ..session_settings import SessionProxySettings
from ..setting_types import LogLevel
from ..telemetry.log import write_logs
from ..telemetry.output import BoundedStream
from ..telemetry.stacks import write_stacks_on_signal

LEVEL_VARIABLE = "LENTILRING_LOG_LEVEL"


def serve(settings: SessionProxySettings, log_level: LogLevel) -> None:
    """Serve until a signal stops the process."""
    write_stacks_on_signal()
    stream = BoundedStream(descriptor=sys.stdout.fileno())
    with write_logs(level=log_level, stream=stream):
        asyncio.run(run_session_proxy(settings))
    stream.close()


def serve_from_environment() -> bool:
    """Serve with the settings that the environment names; return False if they are not valid."""
    try:
        settings = read_boot_file(Path(os.environ[BOOT_VARIABLE]))
        log_level = LogLevel(os.environ.get(LEVEL_VARIABLE) or LogLevel.INFO)
    except (OSError, KeyError, ValueError):
        # msgspec's errors are ValueErrors. The program with flags reports what is not valid.
        return False
    serve(settings, log_level)
    return True
