"""Prints the measures of finished experiments: python summary.py WORK."""

import json
import sys
from pathlib import Path


def read_findings(folder: Path) -> dict[str, dict]:
    """Return the findings of one experiment by check."""
    return {entry["check"]: entry for entry in json.loads((folder / "findings.json").read_text())}


def compare_latency(figures: dict) -> str:
    """Return the worst ratio of p99 of the accounts beside the noisy one, and the worst account."""
    alone, beside = figures["alone"]["accounts"], figures["beside"]["accounts"]
    noisy = max(beside, key=lambda name: beside[name]["count"] / alone[name]["count"])
    others = [name for name in beside if name != noisy]
    ratios = {name: beside[name]["p99_ms"] / alone[name]["p99_ms"] for name in others}
    highest = max(ratios, key=lambda name: ratios[name])
    worst = max(others, key=lambda name: beside[name]["p99_ms"])
    return (
        f"worst-served {worst}: p99 {alone[worst]['p99_ms']} -> {beside[worst]['p99_ms']} ms, "
        f"ratio {ratios[worst]:.2f}; highest ratio {highest}: {ratios[highest]:.2f}; "
        f"p50 {alone[worst]['p50_ms']} -> {beside[worst]['p50_ms']} ms"
    )


def summarize(folder: Path) -> None:
    """Print one experiment."""
    found = read_findings(folder)
    refusals = found["refusals"]["figures"]
    print(f"== {folder.parent.name} {folder.name}")
    print(f"   outcomes {found['outcomes']['figures']}")
    print(
        f"   wrongful refusals {refusals['wrongful']} of {refusals['within_rate']} "
        f"({refusals['share_percent']} %)"
    )
    print(f"   greatest excess {max(found['admissions']['figures']['greatest_excess'].values())}")
    print(f"   replica reads {found['replica_reads']['figures']}")
    for check in ("failover", "drains", "keys"):
        for name, figures in found[check]["figures"].items():
            print(f"   {check}: {name}: {figures}")
    latency = found["latency"]["figures"]
    for phase, figures in latency.items():
        print(f"   p99 {phase}: worst {figures['worst_account']} {figures['worst_p99_ms']} ms")
    if "beside" in latency:
        print(f"   {compare_latency(latency)}")
    for check, entry in found.items():
        for violation in entry["violations"]:
            print(f"   ! {check}: {violation}")


def main() -> None:
    """Print every experiment in a directory."""
    for folder in sorted(Path(sys.argv[1]).glob("*/*/findings.json")):
        summarize(folder.parent)


if __name__ == "__main__":
    main()
