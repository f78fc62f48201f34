"""Stand-ins and helpers of the review cases 6 to 10."""
