"""What operators and targets have stated, as the entry daemon holds it."""
