"""Measures the project's five measures on processes: python run.py USER EXPERIMENT... --work DIR.

No delays between proxies can be set on loopback, so every figure lacks the delays between failure
domains (1 ms one way) and regions (10 or 20 ms), and those to clients.
"""

import argparse
import json
import shutil
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import yaml
from deployments import USERS, Deployment

WARM_UP_S = 8.0
WRITE_HEAVY = {"read": 0.4, "write": 0.35, "repeatable_write": 0.2, "transaction": 0.05}
NOISY_FACTOR = 5.0
VM_REMOVED_AFTER_S = 5.0
SPREAD_TIMEOUT_S = 30.0
SPREAD_SETTLE_S = 8.0


def build_base(deployment: Deployment, phases: list[dict], **extra: object) -> dict:
    """Return a scenario of all accounts, after a warm-up."""
    user = deployment.user
    return {
        "service": user.service,
        "databases": list(user.databases),
        "routes": user.routes,
        "proxies": {
            vm: {"address": f"{ip}:8080", "failure_domain": domain}
            for vm, (ip, domain) in deployment.vms().items()
        },
        "backend_servers": {
            name: {"database": database, "failure_domain": domain, "admin": f"{ip}:5401"}
            for name, (ip, domain, database) in deployment.servers().items()
        },
        "accounts": [
            {
                "name": name,
                "key": f"{name}-key",
                "key_id": f"{name}-1",
                "rate_per_s": rate,
                "burst": rate,
                "offered_per_s": offered,
            }
            for name, (rate, offered) in deployment.accounts().items()
        ],
        "phases": [{"name": "warm-up", "duration_s": WARM_UP_S, "measured": False}, *phases],
        **extra,
    }


def command(deployment: Deployment, *arguments: str) -> dict:
    """Return an action that runs lentilctl."""
    environment = deployment.environment()
    names = ("LENTILRING_PLATFORM_ADDRESS", "LENTILRING_ADMIN_ADDRESS")
    settings = [f"{name}={environment[name]}" for name in names]
    program = str(deployment.programs / "lentilctl")
    return {"kind": "command", "arguments": ["env", *settings, program, *arguments]}


def post(url: str, **body: object) -> dict:
    """Return an action that sets faults of a stand-in."""
    return {"kind": "http", "url": url, "body": body}


def build_even(deployment: Deployment) -> dict:
    """Spread the load over all proxies."""
    return build_base(deployment, [{"name": "even", "duration_s": 40}])


def build_one_proxy(deployment: Deployment) -> dict:
    """Send everything to one proxy, right after an even load."""
    phase = {"name": "one-proxy", "duration_s": 40, "proxies": ["vm-2"]}
    return build_base(deployment, [phase])


def build_holder_killed(deployment: Deployment) -> dict:
    """Kill the proxy with the most shares; the platform removes its VM 5 s later."""
    counts = count_shares(deployment)
    holder = counts.most_common(1)[0][0]
    print(f"shares {dict(counts)}; killing {holder}")
    at_s = WARM_UP_S + 10
    faults = [
        {
            "at_s": at_s,
            "name": "share holder killed",
            "target": holder,
            "action": {"kind": "signal", "process": holder, "signal": "SIGKILL"},
        },
        {
            "at_s": at_s + VM_REMOVED_AFTER_S,
            "name": "vm removed from list",
            "target": holder,
            "action": {
                "kind": "http",
                "method": "DELETE",
                "url": f"http://{deployment.platform}/vms/{holder}",
            },
        },
    ]
    return build_base(deployment, [{"name": "holder-killed", "duration_s": 50}], faults=faults)


def build_holder_killed_spread(deployment: Deployment) -> dict:
    """Kill a share holder after the shares were spread.

    The first proxy to start takes all shares, so it is restarted gracefully, which releases them.
    """
    first = count_shares(deployment).most_common(1)[0][0]
    deployment.restart_proxy(first)
    end = time.monotonic() + SPREAD_TIMEOUT_S
    while time.monotonic() < end and len(count_shares(deployment)) < 2:
        time.sleep(0.5)
    time.sleep(SPREAD_SETTLE_S)
    return build_holder_killed(deployment)


def count_shares(deployment: Deployment) -> Counter[str]:
    """Return how many shares each proxy holds, as vm-1 or vm-2 knows."""
    for vm in ("vm-1", "vm-2"):
        try:
            shares = deployment.view(vm, "shares")["shares"]
        except OSError:
            continue
        return Counter(entry["vm"] for entry in shares if entry["vm"])
    return Counter()


def build_platform_down(deployment: Deployment) -> dict:
    """Stop the platform's answers for 2 minutes."""
    url = f"http://{deployment.platform}/faults"
    start = WARM_UP_S + 5
    faults = [
        {"at_s": start, "name": "platform down", "action": post(url, outage=True)},
        {"at_s": start + 120, "name": "platform back", "action": post(url, outage=False)},
    ]
    return build_base(deployment, [{"name": "platform-down", "duration_s": 135}], faults=faults)


def build_noisy(deployment: Deployment) -> dict:
    """Let one large account send at 5 times its configured rate."""
    noisy = deployment.user.large[0]
    rate, offered = deployment.accounts()[noisy]
    factors = {noisy: NOISY_FACTOR * rate / offered}
    phases = [
        {"name": "alone", "duration_s": 30},
        {"name": "beside", "duration_s": 30, "factors": factors},
    ]
    return build_base(deployment, phases)


def build_failover(deployment: Deployment) -> dict:
    """Kill, silence and cut the primary of one database each, 20 s apart.

    A silenced primary keeps its connections and answers nothing. A cut one loses its connections
    and answers nothing on new ones, as after a partition.
    """
    first, second, third = deployment.user.databases
    killed = deployment.primary(first)
    silenced, cut = deployment.primary(second), deployment.primary(third)

    def url(server: str) -> str:
        return f"http://{deployment.servers()[server][0]}:5401/faults"

    actions = [
        ("killed", first, {"kind": "signal", "process": killed, "signal": "SIGKILL"}),
        ("silenced", second, post(url(silenced), silence="all")),
        ("cut", third, post(url(cut), drop=True, silence="all")),
    ]
    faults = [
        {
            "at_s": WARM_UP_S + 10 + 20 * index,
            "name": f"primary {name}",
            "event": "primary_lost",
            "target": database,
            "action": action,
        }
        for index, (name, database, action) in enumerate(actions)
    ]
    phases = [{"name": "failover", "duration_s": 72}]
    return build_base(deployment, phases, faults=faults, mix=WRITE_HEAVY)


def build_refusing(deployment: Deployment) -> dict:
    """Let a primary refuse all new connections, as one whose connections are used up."""
    database = deployment.user.databases[0]
    ip = deployment.servers()[deployment.primary(database)][0]
    fault = {
        "at_s": WARM_UP_S + 10,
        "name": "primary refuses connections",
        "event": "primary_lost",
        "target": database,
        "action": post(f"http://{ip}:5401/faults", drop=True, refuse_connections=True),
    }
    phases = [{"name": "refusing", "duration_s": 32}]
    return build_base(deployment, phases, faults=[fault], mix=WRITE_HEAVY)


def build_drain(deployment: Deployment) -> dict:
    """Drain the third failure domain and return it."""
    domain = list(deployment.user.domains)[2]
    faults = [
        {
            "at_s": WARM_UP_S + at_s,
            "name": verb,
            "event": event,
            "target": domain,
            "action": command(deployment, "failure-domain", verb, domain),
        }
        for at_s, verb, event in (
            (10, "drain", "domain_drained"),
            (35, "return", "domain_returned"),
        )
    ]
    return build_base(deployment, [{"name": "drain", "duration_s": 55}], faults=faults)


def build_keys(deployment: Deployment) -> dict:
    """Withdraw keys of three accounts and give them back, with the time until it is in force."""
    faults = []
    for index in range(3):
        account, at_s = f"account-{index + 1}", WARM_UP_S + 5 + 10 * index
        key = f"{account}-key"
        for pause, verb, event in ((0, "withdraw", "key_withdrawn"), (5, "give", "key_given")):
            faults.append(
                {
                    "at_s": at_s + pause,
                    "name": f"key {verb}",
                    "event": event,
                    "target": f"{account}-1",
                    "action": command(deployment, "keys", verb, account, "--key", key),
                }
            )
    return build_base(deployment, [{"name": "keys", "duration_s": 40}], faults=faults)


EXPERIMENTS: dict[str, Callable[[Deployment], dict]] = {
    "even": build_even,
    "one-proxy": build_one_proxy,
    "holder-killed": build_holder_killed,
    "holder-killed-spread": build_holder_killed_spread,
    "platform-down": build_platform_down,
    "noisy": build_noisy,
    "failover": build_failover,
    "refusing": build_refusing,
    "drain": build_drain,
    "keys": build_keys,
}


def run_experiment(user: str, experiment: str, work: Path, programs: Path) -> None:
    """Start a fresh deployment, run one experiment, keep its log, findings and picture."""
    shutil.rmtree(work, ignore_errors=True)
    work.mkdir(parents=True)
    deployment = Deployment(user=USERS[user], work=work, programs=programs)
    try:
        deployment.start()
        scenario = EXPERIMENTS[experiment](deployment)
        scenario["name"] = f"{user}-{experiment}"
        (work / "scenario.yaml").write_text(yaml.safe_dump(scenario, sort_keys=False))
        began, used = time.monotonic(), deployment.cpu_seconds()
        load = [str(programs / "lentilring-load")]
        log = str(work / "requests.jsonl")
        arguments = ["run", str(work / "scenario.yaml"), "--log", log, "--work", str(work)]
        subprocess.run(
            [*load, *arguments],
            check=True,
            stderr=(work / "load.log").open("wb"),
            env=deployment.environment(),
        )
        _write_counters(deployment, work, used, time.monotonic() - began)
    finally:
        deployment.stop()
    done = subprocess.run(
        [*load, "check", log, "--json"], capture_output=True, text=True, check=False
    )
    (work / "findings.json").write_text(done.stdout)
    subprocess.run([*load, "report", log, "--output", str(work / "report.png")], check=True)
    print(f"{user} {experiment}: check exit {done.returncode}; {work}")


def _write_counters(deployment: Deployment, work: Path, used: dict, seconds: float) -> None:
    now = deployment.cpu_seconds()
    cores = {name: round((now[name] - used[name]) / seconds, 3) for name in now if name in used}
    counters = {}
    for vm in deployment.vms():
        try:
            counters[vm] = deployment.view(vm, "counters")
        except OSError as error:
            counters[vm] = {"error": repr(error)}
    content = {"cores": cores, "counters": counters}
    (work / "counters.json").write_text(json.dumps(content, indent=1))


def main() -> int:
    """Run the experiments that the arguments name, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("user", choices=list(USERS))
    parser.add_argument("experiments", nargs="+", choices=[*EXPERIMENTS, "all"])
    parser.add_argument("--work", type=Path, default=Path("var/experiments"))
    parser.add_argument("--programs", type=Path, default=Path(sys.executable).parent)
    options = parser.parse_args()
    names = list(EXPERIMENTS) if "all" in options.experiments else options.experiments
    for name in names:
        work = (options.work / options.user / name).resolve()
        run_experiment(options.user, name, work, options.programs)
    return 0


if __name__ == "__main__":
    sys.exit(main())
