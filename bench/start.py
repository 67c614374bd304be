"""Processor time to load the session proxy, relative to loading asyncio alone."""

import resource
import statistics
import subprocess
import sys

RUNS = 7
# Loading the proxy may take this many times as long as loading asyncio.
TARGET_RATIO = 2.5


def measure_import(module: str) -> float:
    """Return the processor time of a process that imports a module, in seconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", f"import {module}"], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def main() -> None:
    """Print both times and their ratio."""
    pairs = [
        (measure_import("asyncio"), measure_import("lentilring.cli.session_serving"))
        for _ in range(RUNS)
    ]
    base = statistics.median(pair[0] for pair in pairs)
    proxy = statistics.median(pair[1] for pair in pairs)
    print(f"asyncio {base:.3f} s, session proxy {proxy:.3f} s, ratio {proxy / base:.1f}")
    print(f"target ratio {TARGET_RATIO}")


if __name__ == "__main__":
    main()
