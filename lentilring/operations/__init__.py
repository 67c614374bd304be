"""What operators do: documents, changes with history, and reading proxies' status."""
