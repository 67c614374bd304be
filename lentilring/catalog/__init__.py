"""What the proxy knows of routes, accounts and backend servers, and how old that knowledge is."""
