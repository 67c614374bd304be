"""Status views for operators."""

import re
from collections.abc import Callable, Mapping

import msgspec

from .configuration.service import ConfigurationService
from .failover.service import GroupService
from .http.admin import AdminInterface
from .kernel import Kernel
from .limits.service import LimitService
from .membership.service import MembershipService
from .outcomes import JsonValue, NotRun
from .pool.service import RequestGatewayService
from .routing.explanation import RequestExplainer, RequestQuestion
from .routing.service import RoutingService
from .telemetry.metrics import Telemetry
from .transactions.service import TransactionService

KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


def add_status_views(admin: AdminInterface, kernel: Kernel) -> None:
    """Register the admin views that show the services' state."""
    admin.add_view("status", lambda _: show_status(kernel))
    admin.add_view("members", lambda _: show_members(kernel))
    admin.add_view("groups", lambda _: show_groups(kernel))
    admin.add_view("shares", lambda _: show_shares(kernel))
    admin.add_view("pools", lambda _: show_pools(kernel))
    admin.add_view("counters", lambda _: show_counters(kernel))
    admin.add_view("promote", lambda query: promote(kernel, query), method="POST")
    admin.add_view("in-force", lambda query: show_in_force(kernel, query))


def add_route_view(
    admin: AdminInterface, kernel: Kernel, refuse_request: Callable[[], NotRun | None]
) -> None:
    """Register the admin view that shows where a request would go."""
    explainer = RequestExplainer(
        local=kernel.find("membership", MembershipService).local,
        configuration=kernel.find("configuration", ConfigurationService),
        routing=kernel.find("routing", RoutingService),
        limits=kernel.find("limits", LimitService),
        refuse_request=refuse_request,
    )
    admin.add_view("explain-route", lambda query: show_route(explainer, query))


def show_route(explainer: RequestExplainer, query: Mapping[str, str]) -> JsonValue:
    """Return where a request would go."""
    key_hash = query.get("key_hash", "")
    if key_hash and not KEY_HASH_PATTERN.fullmatch(key_hash):
        raise ValueError("key_hash must be 64 lower-case hexadecimal digits")
    question = RequestQuestion(
        service=query["service"],
        database=query["database"],
        route=query["route"],
        key_hash=key_hash,
        account=query.get("account", ""),
    )
    content: JsonValue = msgspec.to_builtins(explainer.explain(question))
    return content


def show_status(kernel: Kernel) -> JsonValue:
    """Return a summary of this proxy."""
    membership = kernel.find("membership", MembershipService)
    configuration = kernel.find("configuration", ConfigurationService)
    return {
        "vm": membership.local.vm,
        "incarnation": membership.local.incarnation,
        "failure_domain": membership.local.failure_domain,
        "region": membership.local.region,
        "members": len(membership.members()),
        "revision": configuration.revision,
        "configuration_fresh": configuration.is_fresh(),
        "store_down": membership.store_is_down(),
        "open_transactions": len(kernel.find("transactions", TransactionService).open_transactions),
        "supervised_groups": list(kernel.find("groups", GroupService).list_supervised()),
    }


def show_members(kernel: Kernel) -> JsonValue:
    """Return all known members."""
    membership = kernel.find("membership", MembershipService)
    members = {member.vm: membership.find(member.vm) for member in membership.known_members()}
    return {"members": [msgspec.to_builtins(members[vm]) for vm in sorted(members)]}


def show_groups(kernel: Kernel) -> JsonValue:
    """Return the records of all database groups."""
    groups = kernel.find("groups", GroupService)
    records = {name: groups.find_record(name) for name in sorted(groups.groups())}
    return {"groups": {name: msgspec.to_builtins(entry) for name, entry in records.items()}}


def show_shares(kernel: Kernel) -> JsonValue:
    """Return the holders of the rate-limit shares that this proxy knows."""
    limits = kernel.find("limits", LimitService)
    return {"shares": msgspec.to_builtins(limits.directory.list_holders())}


def show_pools(kernel: Kernel) -> JsonValue:
    """Return the connections and queues of backend servers whose gateway this proxy is."""
    gateway = kernel.find("gateway", RequestGatewayService)
    return {
        f"{group}/{name}": {
            "connections": server.pool.open_connections,
            "running": server.pool.running,
            "queued": len(server.pool.queue),
            "transactions": server.pool.pinned,
            "position": server.status.position if server.status is not None else None,
        }
        for (group, name), server in sorted(gateway.servers.items())
    }


def show_counters(kernel: Kernel) -> JsonValue:
    """Return all counters."""
    counts = kernel.find("telemetry", Telemetry).counts
    return {
        ",".join([name, *(f"{key}={value}" for key, value in attributes)]): amount
        for (name, attributes), amount in sorted(counts.items())
    }


def show_in_force(kernel: Kernel, query: Mapping[str, str]) -> JsonValue:
    """Return the VMs that have confirmed a configuration revision and those that have not."""
    configuration = kernel.find("configuration", ConfigurationService)
    confirmed, missing = configuration.split_vms_by_confirmation(int(query["revision"]))
    return {"confirmed": list(confirmed), "missing": list(missing)}


async def promote(kernel: Kernel, query: Mapping[str, str]) -> JsonValue:
    """Promote a group's best reachable server without a majority; return what may be lost."""
    groups = kernel.find("groups", GroupService)
    group = groups.find_group(query["group"])
    if group is None:
        raise ValueError(f"no group {query['group']}")
    content: JsonValue = msgspec.to_builtins(await groups.promote_forced(group))
    return content
