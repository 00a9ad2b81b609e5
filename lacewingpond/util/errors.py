"""The one error type that the command line shows to its user."""


class UserError(Exception):
    """A problem that the user can mend, told in one line."""
