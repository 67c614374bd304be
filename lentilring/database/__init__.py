"""Client side of a backend server."""
