"""Tests of the generated settings reference and the example settings."""

from pathlib import Path

import msgspec

from lacewingpond.settings.load import load_settings
from lacewingpond.settings.model import Settings
from lacewingpond.settings.reference import parameter_descriptions, reference

ROOT = Path(__file__).parents[2]


def test_settings_page_in_docs_is_up_to_date():
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    assert page.strip() == reference().strip()


def test_every_setting_is_described():
    for section in msgspec.structs.fields(Settings):
        if section.name in ("profile",):
            continue
        descriptions = parameter_descriptions(section.type)
        names = [field.name for field in msgspec.structs.fields(section.type)]
        assert [name for name in names if not descriptions.get(name)] == [], (
            section.name
        )


def test_example_has_no_findings(monkeypatch):
    monkeypatch.setenv("LACEWINGPOND_FLEET_SECRET", "x" * 20)
    monkeypatch.setenv("LACEWINGPOND_OPERATOR_TOKEN", "x" * 20)
    assert load_settings(ROOT / "examples" / "settings.toml").is_ok()
