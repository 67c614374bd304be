"""HTTP entry for callers and operators."""
