"""Names of the HTTP header fields that the daemon reads and sets."""

from msgspec import Struct

from lacewingpond.http.headers import Headers

MISDIRECTED = 421


class HeaderNames(Struct, frozen=True):
    """Header field names of a platform.

    Parameters
    ----------
    request_id : str
        Id of one attempt by a caller; targets return it in the response.
    deadline_ms : str
        Milliseconds left: how long the caller waits and the target may work.
    expected_target : str
        Id of the target that the request is sent to.
    target_id : str
        Id of the target, in responses to health checks and to requests that were
        sent to another target.
    workspace : str
        Name of the key's workspace, set for the target.
    signature : str
        Set by targets on each response of their own.
    not_run : str
        Set by targets on the response to a request that they did not run.
    """

    request_id: str
    deadline_ms: str
    expected_target: str
    target_id: str
    workspace: str
    signature: str
    not_run: str

    def states_not_run(
        self, status: int, headers: Headers, request_id: str, target_id: str
    ) -> bool:
        """Return whether a response proves that its target did not run the request.

        It does if it says so and names the request, which tells it from a refusal of an
        earlier one, or if another target than the expected one responds with 421.

        Parameters
        ----------
        status : int
            Status of the response.
        headers : Headers
            Its headers.
        request_id, target_id : str
            Id of the request, and of the target that it was meant for.
        """
        ids = headers.get_all(self.request_id)
        if headers.get(self.not_run):
            return ids == [request_id]
        responder = headers.get(self.target_id)
        is_other = responder is not None and responder != target_id
        return status == MISDIRECTED and is_other and ids in ([], [request_id])

    def is_valid_response(self, headers: Headers, request_id: str) -> bool:
        """Return whether headers are those of a target's response to a request.

        Such a response is signed, names the request, and its body is not encoded.
        """
        return (
            headers.get(self.request_id) == request_id
            and bool(headers.get(self.signature))
            and "Content-Encoding" not in headers
        )
