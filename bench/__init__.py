"""Measurements of single parts; run one with `python -m bench.<name>`."""
