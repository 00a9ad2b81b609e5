"""The error type that the command line prints for its user."""


class UserError(Exception):
    """A problem that the user can fix; the message is one line."""
