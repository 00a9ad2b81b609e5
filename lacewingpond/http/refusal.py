"""Refusals as RFC 9457 problem details, which say whether the request ran."""

import math
from http import HTTPStatus

import msgspec
from msgspec import Struct

from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.http.run_state import RunState

RUN_HEADER = "Lacewingpond-Run"


class ProblemDetails(Struct, frozen=True, omit_defaults=True):
    """Problem details (RFC 9457) of a refusal.

    Parameters
    ----------
    type, title, status, detail
        Standard members.
    run : RunState
        Whether the request ran.
    reason : str
        Reason code.
    retry_after_s : float or None
        Time after which the caller may retry, in seconds.
    """

    type: str
    title: str
    status: int
    detail: str
    run: RunState
    reason: str
    retry_after_s: float | None = None


def refusal_response(
    status: int,
    run: RunState,
    reason: str,
    detail: str,
    retry_after_s: float | None = None,
) -> Response:
    """Return the response that refuses a request.

    Parameters are those of `ProblemDetails`; `retry_after_s` also sets
    ``Retry-After``, rounded up to whole seconds.
    """
    refusal = ProblemDetails(
        type=f"urn:lacewingpond:refusal:{reason}",
        title=HTTPStatus(status).phrase,
        status=status,
        detail=detail,
        run=run,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    headers = Headers((("Content-Type", "application/problem+json"),))
    headers.add(RUN_HEADER, run.value)
    if retry_after_s is not None:
        headers.add("Retry-After", str(max(0, math.ceil(retry_after_s))))
    return Response(status, headers, msgspec.json.encode(refusal))
