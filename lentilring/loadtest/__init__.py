"""Open-loop load, request log, checker and report."""
