"""A stand-in for the settings file that the platform writes for one process."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from ...limits.window import LimitWindow


@dataclass(frozen=True, kw_only=True)
class StandinVm:
    """Describe one VM; its ports must be free on its address."""

    vm: str
    ip: str
    failure_domain: str
    regions: dict[str, str]
    session_port: int
    readiness_port: int
    peer_port: int
    store_address: str
    promotion_address: str
    window: LimitWindow
    grace_s: float
    max_unconfirmed_s: float


def write_boot_file(path: Path, vm: StandinVm) -> None:
    """Write the settings file of a VM's process."""
    document = {
        "node-name": vm.vm,
        "ip": vm.ip,
        "zone": vm.failure_domain,
        "region": vm.regions[vm.failure_domain],
        "zones": vm.regions,
        "bind-addresses": {
            "frontend-addr": f"{vm.ip}:{vm.session_port}",
            "readiness": f"{vm.ip}:{vm.readiness_port}",
        },
        "internal-port-range": [vm.peer_port, vm.peer_port],
        "platform": {"address": vm.store_address},
        "cloud-api": {"address": vm.promotion_address},
        "bounds": {
            "quota-window-s": vm.window.length_s,
            "quota-overage": vm.window.overage,
            "quota-slack": vm.window.slack,
            "grace-s": vm.grace_s,
            "outer-ms": vm.max_unconfirmed_s * 1000,
        },
    }
    path.write_bytes(msgspec.json.encode(document))
