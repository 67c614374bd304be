"""Membership of the fleet, combined from gossip and the platform's list of VMs."""
