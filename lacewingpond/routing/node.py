"""Nodes of the path prefix tree."""

from lacewingpond.routing.match import RouteMatch


class PathNode:
    """A path prefix with its routes and, as children, the longer prefixes."""

    __slots__ = ("children", "matches")

    def __init__(self) -> None:
        self.children: dict[str, PathNode] | None = None
        self.matches: tuple[RouteMatch, ...] = ()

    def add(self, segments: tuple[str, ...], match: RouteMatch) -> None:
        """Add a route at the prefix `segments` below this node."""
        node = self
        for segment in segments:
            if node.children is None:
                node.children = {}
            node = node.children.setdefault(segment, PathNode())
        node.matches = (*node.matches, match)

    def find(self, segments: tuple[str, ...]) -> tuple[RouteMatch, ...]:
        """Return the routes of the longest prefix of `segments` that has any."""
        node = self
        found = node.matches
        for segment in segments:
            if node.children is None:
                break
            node = node.children.get(segment)
            if node is None:
                break
            found = node.matches or found
        return found
