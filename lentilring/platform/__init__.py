"""Client side of the platform's object store."""
