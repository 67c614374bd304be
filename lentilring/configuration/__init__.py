"""Versioned configuration, its checks and its distribution."""
