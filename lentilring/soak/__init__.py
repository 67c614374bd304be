"""A randomized soak of session proxies as real processes, with faults injected from outside."""
