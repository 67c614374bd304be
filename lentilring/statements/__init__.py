"""Statements of the session protocol and their outcomes."""
