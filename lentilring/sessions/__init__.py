"""Callers' sessions: connections with session values, prepared statements and transactions."""
