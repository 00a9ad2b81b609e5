"""The reference of all settings, made from the options classes themselves."""

import inspect
import re

import msgspec
from msgspec import Struct

from lacewingpond.settings.model import Settings

PARAMETER = re.compile(r"^(\w+(?:, \w+)*) : .+$")


def reference() -> str:
    """Return a Markdown page that lists each setting with its default."""
    parts = ["# Settings", "", *_introduction()]
    top = []
    for field in msgspec.structs.fields(Settings):
        if isinstance(field.type, type) and issubclass(field.type, Struct):
            parts += _section(field)
        else:
            top.append(field)
    return "\n".join([*parts, "## At the top of the file", "", *_rows(Settings, top)])


def _introduction() -> list[str]:
    return [
        "Every key of the settings file, with its default; `lacewingpond check FILE`",
        "names all that is wrong with a file. This page is written by",
        "`lacewingpond check --reference`. An example is in `examples/settings.toml`.",
        "",
    ]


def _section(field: msgspec.structs.FieldInfo) -> list[str]:
    summary = inspect.getdoc(field.type).splitlines()[0]
    fields = list(msgspec.structs.fields(field.type))
    return [f"## [{field.name}]", "", summary, "", *_rows(field.type, fields)]


def _rows(kind: type[Struct], fields: list[msgspec.structs.FieldInfo]) -> list[str]:
    texts = parameter_texts(kind)
    rows = ["| key | default | meaning |", "| --- | --- | --- |"]
    for field in fields:
        text = texts.get(field.name, "")
        rows.append(f"| `{field.name}` | {_default(field)} | {text} |")
    return [*rows, ""]


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def parameter_texts(kind: type) -> dict[str, str]:
    """Return the descriptions in a NumPy docstring's parameters, by name."""
    texts: dict[str, list[str]] = {}
    names: list[str] = []
    for line in (inspect.getdoc(kind) or "").splitlines():
        match = PARAMETER.match(line)
        if match:
            names = match[1].split(", ")
            texts.update({name: [] for name in names})
        elif line.startswith("    ") and names:
            for name in names:
                texts[name].append(line.strip())
        elif line:
            names = []
    return {name: " ".join(lines) for name, lines in texts.items()}
