"""Connections, slots and fair queues of the backend servers a proxy is gateway for."""
