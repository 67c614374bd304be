"""Group records, promotion with fencing and write confirmation."""
