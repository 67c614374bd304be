"""A randomized soak of session proxies as real processes, with faults from outside."""
