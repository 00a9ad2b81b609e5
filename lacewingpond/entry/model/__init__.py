"""Configuration and target entries as the entry daemon uses them."""
