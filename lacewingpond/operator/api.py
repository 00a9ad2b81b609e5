"""The operators' API over HTTP."""

import hmac
from collections.abc import Callable
from http import HTTPStatus

import bottle
import msgspec
from msgspec import Struct

from lacewingpond.config.confirmation import ConfirmError, Refusal
from lacewingpond.config.intents import Intent
from lacewingpond.config.repository import describe
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

STATUS_BY_REFUSAL = {
    Refusal.NOT_ACCEPTED: HTTPStatus.SERVICE_UNAVAILABLE,
    Refusal.UNKNOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    Refusal.CONFLICT: HTTPStatus.CONFLICT,
    Refusal.NO_PLAN: HTTPStatus.NOT_FOUND,
}
BEARER = "Bearer "


class OperatorApi:
    """Serves intents, plans, the configuration and the fleet's status.

    Parameters
    ----------
    options : OperatorOptions
        Token and bounds.
    service : ConfigService
        Plans and confirms.
    read_status : callable
        Returns the fleet's status.

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
        self.wsgi_app = self._build()

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
            When no token is set, as the API would be open to all.
        """
        if not options.token:
            raise UserError("the operators' API needs a token")
        return cls(options, service, read_status)

    def _build(self) -> bottle.Bottle:
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
            raise _refused(HTTPStatus.UNAUTHORIZED, ErrorView("a token is needed"))

    def _plan(self) -> bytes:
        made = self._service.plan(self._read_intents())
        if made.is_err():
            raise _plan_refused(made.err_value)
        return _json(PlanView.from_plan(made.ok_value))

    def _confirm(self, plan_id: str) -> bytes:
        outcome = self._service.confirm(plan_id)
        if outcome.is_err():
            raise _confirm_refused(outcome.err_value)
        return _json(outcome.ok_value)

    def _show_plan(self, plan_id: str) -> bytes:
        found = self._service.find_plan(plan_id)
        if found.is_err():
            error = ErrorView(describe(found.err_value))
            raise _refused(HTTPStatus.SERVICE_UNAVAILABLE, error)
        if found.ok_value is None:
            raise _refused(HTTPStatus.NOT_FOUND, ErrorView(f"no plan {plan_id!r}"))
        return _json(PlanView.from_known(plan_id, found.ok_value))

    def _show_config(self) -> bytes:
        return _json(ConfigView.from_config(self._service.current))

    def _show_status(self) -> bytes:
        return _json(self._read_status())

    def _read_intents(self) -> tuple[Intent, ...]:
        # Bottle would move a long body to a file, and the VMs have no disks.
        limit = self._options.max_body_bytes
        body = bottle.request.environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            error = ErrorView(f"longer than {limit} bytes")
            raise _refused(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, error)
        read = read_intents(body)
        if read.is_err():
            error = ErrorView("the intents can't be read", findings=read.err_value)
            raise _refused(HTTPStatus.BAD_REQUEST, error)
        return read.ok_value


def _json(document: Struct) -> bytes:
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(document)


def _refused(status: HTTPStatus, error: ErrorView) -> bottle.HTTPResponse:
    return bottle.HTTPResponse(
        msgspec.json.encode(error), int(status), {"Content-Type": "application/json"}
    )


def _plan_refused(error: PlanError) -> bottle.HTTPResponse:
    if error.findings:
        view = ErrorView("the intents have findings", findings=error.findings)
        return _refused(HTTPStatus.UNPROCESSABLE_ENTITY, view)
    view = ErrorView(f"no plan was kept: {error.detail}", Refusal.NOT_ACCEPTED.value)
    return _refused(HTTPStatus.SERVICE_UNAVAILABLE, view)


def _confirm_refused(error: ConfirmError) -> bottle.HTTPResponse:
    view = ErrorView(error.detail, error.refusal.value, changed=error.changed)
    return _refused(STATUS_BY_REFUSAL[error.refusal], view)


def _show_error(error: bottle.HTTPError) -> bytes:
    bottle.response.content_type = "application/json"
    return msgspec.json.encode(ErrorView(error.status_line.partition(" ")[2].lower()))
