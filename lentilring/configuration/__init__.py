"""Versioned configuration: validation and distribution to all nodes."""
