"""Replacement of primaries through the platform's promotion service."""
