"""Counters and key=value logs."""
