"""Connections and slots of backend servers, and the way to the proxy that owns them."""
