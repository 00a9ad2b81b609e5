"""`lacewingpond show`: shows a daemon's current configuration."""

from lacewingpond.ui.operators import OPERATOR_OPTIONS, OperatorCommand, unwrap_response
from lacewingpond.ui.output import to_json
from lacewingpond.ui.table import format_number, render_table


class ShowCommand(OperatorCommand):
    """Shows workspaces, keys, services and routes."""

    name = "show"
    description = "Show a daemon's current revision of the configuration."
    help = "Example: <info>lacewingpond show --daemon 127.0.0.1:8082</info>"
    options = OPERATOR_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        view = unwrap_response(self.client().show_config())
        if self.as_json:
            self.line(to_json(view))
            return 0
        self.line(f"revision {view.revision}\n")
        self._table(
            ("workspace", "rate /s", "burst"),
            [
                (w.name, format_number(w.rate), format_number(w.burst))
                for w in view.workspaces
            ],
        )
        self._table(
            ("key", "workspace"), [(key.key_id, key.workspace) for key in view.keys]
        )
        self._table(
            ("service", "target", "address", "failure domain", "slots", "state"),
            [
                (
                    service.name,
                    target.target_id,
                    target.address,
                    target.failure_domain,
                    str(target.slots),
                    "draining" if target.draining else "in use",
                )
                for service in view.services
                for target in service.targets
            ],
        )
        self._table(
            ("route", "host", "path", "methods", "service", "key"),
            [
                (
                    route.name,
                    route.host or "any",
                    route.path_prefix,
                    " ".join(route.methods) or "any",
                    route.service,
                    "none" if route.open else "required",
                )
                for route in view.routes
            ],
        )
        return 0

    def _table(self, header: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
        self.line(render_table(header, rows) + "\n")
