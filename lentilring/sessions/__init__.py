"""Callers' sessions: a connection with values, prepared statements and transactions."""
