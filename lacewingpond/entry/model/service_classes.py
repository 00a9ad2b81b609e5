"""Priority classes that the services of a configuration serve."""

from lacewingpond.entry.model.entry_config import EntryConfig


def service_classes(cfg: EntryConfig) -> dict[str, frozenset[int]]:
    """Return the priority classes of the requests that each service may get.

    The priority of a workspace takes precedence over that of the route; requests of a
    public route have no workspace. 0 is the most urgent class.
    """
    classes: dict[str, set[int]] = {}
    own = [workspace.priority for workspace in cfg.workspaces.values()]
    for route in cfg.routes:
        if route.public or not cfg.has_workspaces:
            found = {route.priority}
        else:
            found = {route.priority if each is None else each for each in own}
        for part in route.split:
            if part.weight > 0.0:
                classes.setdefault(part.service, set()).update(found)
    return {service: frozenset(found) for service, found in classes.items()}
