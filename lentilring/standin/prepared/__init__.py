"""Stand-ins for the prepared platform's store, backend servers, promotion call and callers."""
