"""Choice of the backend server for each request."""
