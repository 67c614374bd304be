"""Gossip membership joined with the platform's list of VMs."""
