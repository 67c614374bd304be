"""Typed messages and transport between lentilring processes."""
