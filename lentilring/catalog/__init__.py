"""The proxy's copy of routes, accounts and backend servers, and the age of that copy."""
