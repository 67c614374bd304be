"""Messages of the membership protocol."""

from dataclasses import dataclass

from ..peers.messages import message
from .member import Member


@message
@dataclass(frozen=True, kw_only=True)
class StatusGroup:
    """List the keys of the processes that have one status; `Status` explains `flips`."""

    revision: int
    flips: int
    members: tuple[int, ...]


@message
@dataclass(frozen=True, kw_only=True)
class Probe:
    """Ask a member whether it is alive; a different VM at the same address does not answer."""

    sequence: int
    target_vm: str
    updates: tuple[Member, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class IndirectProbe:
    """Ask a member to probe another member for the sender."""

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
    """Compare tables with a peer; `members` is sent only after a reply said that they differ."""

    members_digest: int
    statuses_digest: int
    members: tuple[Member, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class SyncReply:
    """Return the parts that differ.

    `members` is filled only if the request had `members`; `statuses` if its digest differed.
    """

    members_differ: bool
    members: tuple[Member, ...] = ()
    statuses: tuple[StatusGroup, ...] = ()
