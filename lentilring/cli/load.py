"""The `lentilring-load` program: load, request log, checks and report."""

import asyncio
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import aiohttp
import typer

from ..loadtest.checker import check_log
from ..loadtest.findings import MAX_LISTED, Finding
from ..loadtest.records import LogInvalid, LogWriter, RequestLog, read_log
from ..loadtest.report import draw_report
from ..loadtest.runner import LoadRun
from ..loadtest.scenario import Scenario, ScenarioInvalid, read_scenario
from ..soak.run import SoakResult, run_soak
from ..soak.stops import StopResult, run_stop_series
from ..telemetry.log import write_logs
from .options import VERSION_OPTION, ExitCode
from .tables import print_json

application = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Send open-loop load to proxies, check the request log, draw a report. Exit codes: "
    "0 done, 1 a check found violations, 2 wrong use or invalid file.",
)

ScenarioFile = Annotated[Path, typer.Argument(help="Scenario, YAML.")]
LogFile = Annotated[Path, typer.Argument(help="Request log, JSON lines.")]


@application.callback()
def describe(version: VERSION_OPTION = False) -> None:
    """Send open-loop load to proxies, check the request log, draw a report."""


def main() -> None:
    """Run the program."""
    application()


@application.command()
def validate(scenario: ScenarioFile) -> None:
    """Check a scenario file without sending anything."""
    read = _read_scenario(scenario)
    seconds = sum(phase.duration_s for phase in read.phases)
    typer.echo(f"{scenario}: {read.name} is valid, {seconds:g} s")


@application.command()
def run(
    scenario: ScenarioFile,
    log: Annotated[
        Path, typer.Option(envvar="LENTILRING_LOAD_LOG", help="Request log to write.")
    ] = Path("requests.jsonl"),
    work: Annotated[
        Path,
        typer.Option(
            envvar="LENTILRING_LOAD_WORK", help="Directory with NAME.pid of processes for faults."
        ),
    ] = Path("."),
    log_level: Annotated[
        str, typer.Option(envvar="LENTILRING_LOAD_LOG_LEVEL", help="debug, info, warning or error.")
    ] = "info",
) -> None:
    """Play a scenario and write the request log."""
    read = _read_scenario(scenario)
    with write_logs(level=log_level), log.open("wb") as stream:
        asyncio.run(_play(read, LogWriter(stream=stream), work))


@application.command()
def check(
    log: LogFile,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON instead of text.")] = False,
) -> None:
    """Check a request log and print the measures; exit with 1 if a check finds violations."""
    findings = check_log(_read_log(log))
    if as_json:
        print_json([asdict(finding) for finding in findings])
    else:
        for finding in findings:
            _print_finding(finding)
    if any(finding.violations for finding in findings):
        raise typer.Exit(ExitCode.FAILURE)


@application.command()
def report(
    log: LogFile,
    output: Annotated[Path, typer.Option(help="Picture to write, PNG.")] = Path("report.png"),
) -> None:
    """Draw latency, failures, replica reads and faults over time."""
    draw_report(_read_log(log), output)
    typer.echo(f"wrote {output}")


@application.command()
def soak(
    seed: Annotated[int, typer.Option(help="Seed of the faults and the callers.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="Runs, with seeds that follow.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.05, max=600, help="Time of faults.")] = 1.0,
    vms: Annotated[int, typer.Option(min=2, max=200, help="Proxies, each a process.")] = 5,
    folder: Annotated[
        Path, typer.Option(help="Directory of the proxies' logs; one of each seed.")
    ] = Path("soak"),
) -> None:
    """Run proxies as processes under random faults; exit with 1 if a promise is broken."""
    broken = False
    for number in range(seed, seed + seeds):
        logs = folder / str(number)
        logs.mkdir(parents=True, exist_ok=True)
        with (logs / "soak.log").open("w") as stream, write_logs(stream=stream):
            result = asyncio.run(
                run_soak(seed=number, duration_s=minutes * 60, vms=vms, folder=logs)
            )
        _print_soak(result)
        broken = broken or bool(result.violations)
    if broken:
        raise typer.Exit(ExitCode.FAILURE)


@application.command()
def stops(
    seed: Annotated[int, typer.Option(help="Seed of the stops and the callers.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="Runs, with seeds that follow.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.05, max=600, help="Time of stops.")] = 0.4,
    vms: Annotated[int, typer.Option(min=2, max=200, help="Proxies, each a process.")] = 3,
    grace: Annotated[float, typer.Option(min=2, help="Seconds from SIGTERM to SIGKILL.")] = 6.0,
    share: Annotated[
        float, typer.Option(min=0.05, max=1, help="Part of the time that a proxy may run.")
    ] = 1.0,
    folder: Annotated[
        Path, typer.Option(help="Directory of the proxies' logs; one of each seed.")
    ] = Path("soak"),
    checkout: Annotated[
        Path | None, typer.Option(help="Checkout whose proxies run; this one by default.")
    ] = None,
) -> None:
    """Stop proxies in overlapping series; exit with 1 if one fails or cuts a statement."""
    is_cut = False
    for number in range(seed, seed + seeds):
        logs = folder / f"stops-{number}"
        logs.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            run_stop_series(
                seed=number,
                duration_s=minutes * 60,
                vms=vms,
                grace_s=grace,
                folder=logs,
                processor_share=share,
                program_folder=checkout,
            )
        )
        _print_stops(result)
        is_cut = is_cut or bool(result.cut or result.missed or result.failed)
    if is_cut:
        raise typer.Exit(ExitCode.FAILURE)


def _print_stops(result: StopResult) -> None:
    refused = ", ".join(f"{count} {failure}" for failure, count in result.refused.most_common())
    typer.echo(
        f"seed {result.seed}: {len(result.cut)} cut, {len(result.missed)} missed; "
        f"{len(result.stops)} stops, longest {result.longest_s:.2f} s, {result.killed} killed, "
        f"{result.failed} failed; "
        f"{result.sent} statements, {result.answered} answered; refused: {refused or 'none'}"
    )
    for entry in [*result.cut, *result.missed][:MAX_LISTED]:
        typer.echo(f"  ! {entry.describe()}")


def _print_soak(result: SoakResult) -> None:
    verdict = f"{len(result.violations)} VIOLATIONS" if result.violations else "no violation"
    typer.echo(
        f"seed {result.seed}: {verdict}; {len(result.faults)} faults, operations: {result.done} "
        f"done, {result.refused} not run, {result.unknown} uncertain; {result.commits} commits, "
        f"{result.runs} statements at servers"
    )
    for violation in result.violations[:MAX_LISTED]:
        typer.echo(f"  ! {violation.rule}: {violation.detail}")


async def _play(scenario: Scenario, writer: LogWriter, work: Path) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        await LoadRun(scenario=scenario, http=http, writer=writer, work=work).play()


def _print_finding(finding: Finding) -> None:
    verdict = f"{len(finding.violations)} VIOLATIONS" if finding.violations else "no violation"
    typer.echo(f"{finding.check}: {verdict}, {finding.examined} examined")
    for name, value in finding.figures.items():
        typer.echo(f"  {name}: {value}")
    for violation in finding.violations:
        typer.echo(f"  ! {violation}")


def _read_scenario(file: Path) -> Scenario:
    try:
        return read_scenario(file)
    except ScenarioInvalid as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error


def _read_log(file: Path) -> RequestLog:
    try:
        return read_log(file)
    except (LogInvalid, OSError) as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error


if __name__ == "__main__":
    main()
