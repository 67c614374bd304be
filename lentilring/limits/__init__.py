"""Fleet-wide rate limits: leases, token buckets, shares and the service that uses them."""
