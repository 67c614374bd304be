"""Gateways to backend servers: connections, slots and the routing of statements to them."""
