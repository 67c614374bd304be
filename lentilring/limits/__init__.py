"""Fleet-wide rate limits: leased shares, token buckets and borrowing."""
