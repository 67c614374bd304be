"""One run of the soak: a deployment, callers, faults, a recovery without faults, and the checks."""

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path
from random import Random

from ..catalog.model import Consistency
from ..telemetry.log import Log
from .callers import Caller, CallerRoute, Credentials
from .deployment import ACCOUNT_RATE, BUSY_ACCOUNT_RATE, WINDOW, SoakDeployment, build_deployment
from .faults import FaultPlayer
from .history import Bounds, History, Violation

CALLERS = 24
# A change of the configuration takes effect within this time if the store answers; if it does not,
# a proxy refuses requests once its configuration reaches the maximum age.
APPLY_S = 3.0
# Time without faults before the checks.
RECOVERY_S = 12.0
# Every caller must complete an operation in this last part of the recovery.
SERVED_WITHIN_S = 5.0
# Other tools of the project use the loopback networks 127.1.* to 127.9.*.
FIRST_NETWORK = 20
NETWORKS = 200

ROUTES = (
    CallerRoute(database="booking", consistency=Consistency.PRIMARY, max_staleness_s=0.0),
    CallerRoute(database="stock", consistency=Consistency.BOUNDED, max_staleness_s=1.5),
    CallerRoute(database="delivery", consistency=Consistency.OWN_WRITES, max_staleness_s=2.5),
)

log = Log(source="soak")


@dataclass(frozen=True, kw_only=True)
class SoakResult:
    """Hold the counts of one run and the guarantees that it broke."""

    seed: int
    faults: tuple[str, ...]
    done: int
    refused: int
    unknown: int
    commits: int
    runs: int
    violations: tuple[Violation, ...]


async def run_soak(
    *, seed: int, duration_s: float, vms: int, folder: Path, callers: int = CALLERS
) -> SoakResult:
    """Inject faults for `duration_s` seconds and check the guarantees; keep logs in the folder."""
    task = asyncio.current_task()
    assert task is not None
    # Without this the proxies would keep running after SIGTERM ends the soak.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    random = Random(seed)
    network = f"127.{FIRST_NETWORK + seed % NETWORKS}.{seed // NETWORKS % 250}"
    deployment, history = build_deployment(folder, host_prefix=network), History()
    try:
        await deployment.start(vms=vms)
        group = [_build_caller(deployment, history, random) for _ in range(callers)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in group]
        player = FaultPlayer(
            deployment=deployment,
            history=history,
            random=random,
            restorations=Random(f"restorations-{seed}"),
        )
        await player.play(duration_s=duration_s)
        await asyncio.sleep(RECOVERY_S)
        ended_at = asyncio.get_running_loop().time()
        for caller in group:
            caller.stop()
        await asyncio.gather(*tasks)
        violations = _check(deployment, history) + _check_service(group, ended_at)
        return SoakResult(
            seed=seed,
            faults=tuple(player.played),
            done=sum(caller.counts.done for caller in group),
            refused=sum(caller.counts.refused for caller in group),
            unknown=sum(caller.counts.unknown for caller in group),
            commits=len(deployment.group.log),
            runs=len(deployment.group.runs),
            violations=tuple(violations),
        )
    finally:
        await deployment.stop()


def _build_caller(deployment: SoakDeployment, history: History, random: Random) -> Caller:
    caller_random = Random(random.getrandbits(64))

    def choose_address() -> str:
        return caller_random.choice(deployment.proxies).session_address

    def choose_credentials() -> Credentials:
        account = caller_random.choice(sorted(deployment.keys))
        return Credentials(account=account, key=caller_random.choice(deployment.keys[account]))

    return Caller(
        history=history,
        random=caller_random,
        choose_address=choose_address,
        routes=ROUTES,
        credentials=choose_credentials,
    )


def _check(deployment: SoakDeployment, history: History) -> list[Violation]:
    rates = {"busy": BUSY_ACCOUNT_RATE}
    bounds = Bounds(
        withdrawal_s=deployment.max_configuration_age_s() + APPLY_S,
        window_s=WINDOW.length_s,
        allowed_per_window={
            name: WINDOW.count_allowed(rates.get(name, ACCOUNT_RATE), rates.get(name, ACCOUNT_RATE))
            for name in deployment.keys
        },
    )
    return history.check(
        runs=deployment.group.runs,
        log=deployment.group.log,
        rolled_back=deployment.group.rolled_back,
        bounds=bounds,
    )


def _check_service(callers: list[Caller], ended_at: float) -> list[Violation]:
    served = sum(ended_at - caller.last_done_at < SERVED_WITHIN_S for caller in callers)
    if served == len(callers):
        return []
    detail = f"{len(callers) - served} of {len(callers)} callers unserved after the faults"
    return [Violation(rule="recovery", detail=detail)]
