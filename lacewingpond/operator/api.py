"""The HTTP API for operators."""

import hmac
from collections.abc import Callable
from http import HTTPStatus

import bottle
import msgspec
from msgspec import Struct

from lacewingpond.config.confirmation import ConfirmError, ConfirmFailure
from lacewingpond.config.intents import Intent
from lacewingpond.config.repository import describe_store_error
from lacewingpond.config.service import ConfigService, PlanError
from lacewingpond.operator.documents import (
    ConfigView,
    ErrorView,
    PlanView,
    StatusView,
)
from lacewingpond.operator.intents_json import read_intents
from lacewingpond.operator.options import OperatorOptions
from lacewingpond.util.errors import UserError

STATUS_BY_FAILURE = {
    ConfirmFailure.NOT_ACCEPTED: HTTPStatus.SERVICE_UNAVAILABLE,
    ConfirmFailure.UNKNOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    ConfirmFailure.CONFLICT: HTTPStatus.CONFLICT,
    ConfirmFailure.NO_PLAN: HTTPStatus.NOT_FOUND,
}
BEARER = "Bearer "


class OperatorApi:
    """Plans and confirms changes, and shows the configuration and the fleet's status.

    Every request must present the operators' token.

    Parameters
    ----------
    options : OperatorOptions
        Token and maximum length of a request.
    service : ConfigService
        Plans and confirms changes.
    read_status : callable
        Returns the status of the fleet.

    Attributes
    ----------
    wsgi_app : bottle.Bottle
        The WSGI application.
    """

    __slots__ = ("wsgi_app", "_options", "_service", "_read_status")

    def __init__(
        self,
        options: OperatorOptions,
        service: ConfigService,
        read_status: Callable[[], StatusView],
    ) -> None:
        self._options = options
        self._service = service
        self._read_status = read_status
        self.wsgi_app = self._build_app()

    @classmethod
    def from_options(
        cls,
        options: OperatorOptions,
        service: ConfigService,
        read_status: Callable[[], StatusView],
    ) -> "OperatorApi":
        """Return the API.

        Raises
        ------
        UserError
            If the token is empty, which would admit every client.
        """
        if not options.token:
            raise UserError("the operators' API needs a token: operator_token is empty")
        return cls(options, service, read_status)

    def _build_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.add_hook("before_request", self._check_token)
        app.route("/intents", "POST", self._plan)
        app.route("/plans/<plan_id>", "GET", self._show_plan)
        app.route("/plans/<plan_id>/confirm", "POST", self._confirm)
        app.route("/config", "GET", self._show_config)
        app.route("/status", "GET", self._show_status)
        app.default_error_handler = _show_error
        return app

    def _check_token(self) -> None:
        presented = bottle.request.get_header("Authorization", "")
        expected = BEARER + self._options.token
        if not hmac.compare_digest(
            presented.encode("utf-8", "replace"), expected.encode()
        ):
            raise _error_response(
                HTTPStatus.UNAUTHORIZED, ErrorView("operator token missing or wrong")
            )

    def _plan(self) -> bytes:
        planned = self._service.plan(self._read_intents())
        if planned.is_err():
            raise _plan_error(planned.err_value)
        return _encode_json(PlanView.from_plan(planned.ok_value))

    def _confirm(self, plan_id: str) -> bytes:
        confirmed = self._service.confirm(plan_id)
        if confirmed.is_err():
            raise _confirm_error(confirmed.err_value)
        return _encode_json(confirmed.ok_value)

    def _show_plan(self, plan_id: str) -> bytes:
        result = self._service.find_plan(plan_id)
        if result.is_err():
            error = ErrorView(describe_store_error(result.err_value))
            raise _error_response(HTTPStatus.SERVICE_UNAVAILABLE, error)
        if result.ok_value is None:
            raise _error_response(
                HTTPStatus.NOT_FOUND, ErrorView(f"plan {plan_id!r} does not exist")
            )
        return _encode_json(PlanView.from_plan_status(plan_id, result.ok_value))

    def _show_config(self) -> bytes:
        return _encode_json(ConfigView.from_config(self._service.current))

    def _show_status(self) -> bytes:
        return _encode_json(self._read_status())

    def _read_intents(self) -> tuple[Intent, ...]:
        # Read from the WSGI input, because Bottle stores a long body in a temporary
        # file and the VMs have no disks.
        limit = self._options.max_body_bytes
        body = bottle.request.environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            error = ErrorView(f"the body is longer than {limit} bytes")
            raise _error_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, error)
        parsed = read_intents(body)
        if parsed.is_err():
            error = ErrorView("the intents can't be parsed", findings=parsed.err_value)
            raise _error_response(HTTPStatus.BAD_REQUEST, error)
        return parsed.ok_value


def _encode_json(document: Struct) -> bytes:
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(document)


def _error_response(status: HTTPStatus, error: ErrorView) -> bottle.HTTPResponse:
    return bottle.HTTPResponse(
        msgspec.json.encode(error), int(status), {"Content-Type": "application/json"}
    )


def _plan_error(error: PlanError) -> bottle.HTTPResponse:
    if error.findings:
        view = ErrorView("the intents are not valid", findings=error.findings)
        return _error_response(HTTPStatus.UNPROCESSABLE_ENTITY, view)
    view = ErrorView(
        f"no plan was made: {error.detail}", ConfirmFailure.NOT_ACCEPTED.value
    )
    return _error_response(HTTPStatus.SERVICE_UNAVAILABLE, view)


def _confirm_error(error: ConfirmError) -> bottle.HTTPResponse:
    view = ErrorView(error.detail, error.refusal.value, changed=error.changed)
    return _error_response(STATUS_BY_FAILURE[error.refusal], view)


def _show_error(error: bottle.HTTPError) -> bytes:
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(ErrorView(error.status_line.partition(" ")[2].lower()))
