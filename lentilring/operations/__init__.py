"""Operator actions: configuration documents, changes with history, and proxy status."""
