"""Stand-ins and set-up that the cases of the review share."""
