"""Names of the header fields that the daemon reads and sets."""

from msgspec import Struct


class HeaderNames(Struct, frozen=True):
    """The names that a platform gives to these fields.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of a client; targets return it with the answer.
    deadline_ms : str
        Milliseconds that the client waits, and that the target may work.
    expected_target : str
        Id of the target that the request is meant for.
    target_id : str
        Id of the target that answers a health check or a request not meant for it.
    workspace : str
        Name of the workspace of the key, for the target.
    signature : str
        Set by targets on each answer of their own.
    not_run : str
        Set by targets on an answer to a request that they did not run.
    """

    request_id: str
    deadline_ms: str
    expected_target: str
    target_id: str
    workspace: str
    signature: str
    not_run: str
