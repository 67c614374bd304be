"""Stand-ins of the prepared platform: its store, its backend servers and its promotion call."""
