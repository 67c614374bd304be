"""Reports of the usage of client accounts to the platform."""
