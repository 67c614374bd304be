"""Clients of the platform: its object stores, backend servers and promotion service."""
