"""An open-loop load generator that checks the fleet's guarantees."""
