"""Gateways to backend servers: their connections and slots, and the routing of statements to them."""
