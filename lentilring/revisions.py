"""Revisions of the platform's store that keep increasing when it returns from an older copy.

Such a store gives revisions out again and begins a new era. Like ZooKeeper's transaction ids, a
revision here holds the era in its upper part, so that all revisions have one order.
"""

# Together below 2^53, so that revisions and fencing tokens survive parsers that use doubles.
NUMBER_BITS = 40
_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def combine_revision(era: int, number: int) -> int:
    """Return the revision for the store's own number of an era."""
    return era << NUMBER_BITS | number


def find_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def find_number(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & _NUMBER_MASK


def format_revision(revision: int) -> str:
    """Return a revision as `era.number` for logs."""
    return f"{find_era(revision)}.{find_number(revision)}"
