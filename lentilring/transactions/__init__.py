"""Transactions pinned to one connection of a gateway."""
