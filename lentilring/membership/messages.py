"""Messages of the membership protocol."""

from dataclasses import dataclass

from ..peers.messages import message
from .member import Member


@message
@dataclass(frozen=True, kw_only=True)
class StatusGroup:
    """Hold the keys of the processes that share one status."""

    revision: int
    flips: int
    members: tuple[int, ...]


@message
@dataclass(frozen=True, kw_only=True)
class Probe:
    """Ask a member for a sign of life; another VM at its address ignores it."""

    sequence: int
    target_vm: str
    updates: tuple[Member, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class IndirectProbe:
    """Ask a member to probe another one."""

    sequence: int
    target_vm: str
    target_address: str
    updates: tuple[Member, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class ProbeAnswer:
    """Answer a probe or an indirect probe."""

    sequence: int
    updates: tuple[Member, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class Gossip:
    """Spread changes of members and of their statuses."""

    updates: tuple[Member, ...] = ()
    statuses: tuple[StatusGroup, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class SyncRequest:
    """Compare tables with a peer; `members` is empty until the digests were seen to differ."""

    members_digest: int
    statuses_digest: int
    members: tuple[Member, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class SyncReply:
    """Answer with what differs: members, statuses, or nothing."""

    members_differ: bool
    members: tuple[Member, ...] = ()
    statuses: tuple[StatusGroup, ...] = ()
