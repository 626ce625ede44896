"""Reads the base file and the overlay of a site and reports every problem."""

import pathlib
import tomllib

import msgspec
from returns.result import Failure, Result, Success

from hawthornbarrow.configuration._model import (
    Configuration,
    Limits,
    Member,
    Objective,
    Service,
    Tuning,
)

_SECTIONS = {"tuning": Tuning, "limits": Limits}
_TABLES = {"members": Member, "services": Service, "objectives": Objective}


class ConfigurationProblem(msgspec.Struct, frozen=True, kw_only=True):
    """A problem in a configuration.

    Attributes:
        file: File that sets the key.
        key: Dotted name of the key.
        value: Python representation of the actual value, or the reading error.
        expected: Description of the expected value.
    """

    file: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        """Returns a one-line description of the problem."""
        return f"{self.file}: {self.key}: got {self.value}, expected {self.expected}"


class _Sources:
    """Base and overlay documents, with lookup of the file that sets a key."""

    def __init__(self, *, base: pathlib.Path, overlay: pathlib.Path | None) -> None:
        self.problems: list[ConfigurationProblem] = []
        self._base_document = (str(base), self._read(base))
        self._overlay_document = (
            (str(overlay), self._read(overlay)) if overlay else ("", {})
        )
        self.merged = _merge(self._base_document[1], self._overlay_document[1])

    def file_of(self, key: list[str]) -> str:
        """Returns the file that sets a key; the overlay takes precedence."""
        overlay_value = _lookup(self._overlay_document[1], key)
        return (
            self._overlay_document[0]
            if overlay_value is not None
            else self._base_document[0]
        )

    def report(self, key: list[str], expected: str) -> None:
        """Adds a problem for a key."""
        value = _lookup(self.merged, key)
        self.problems.append(
            ConfigurationProblem(
                file=self.file_of(key),
                key=".".join(key) or "(document)",
                value="nothing" if value is None else repr(value),
                expected=expected,
            )
        )

    def _read(self, path: pathlib.Path) -> dict:
        try:
            return tomllib.loads(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            self.problems.append(
                ConfigurationProblem(
                    file=str(path),
                    key="(document)",
                    value=str(error),
                    expected="a readable TOML file",
                )
            )
            return {}


def read_configuration(
    base: pathlib.Path, overlay: pathlib.Path | None = None
) -> Result[Configuration, list[ConfigurationProblem]]:
    """Returns the configuration of a site, or all problems in it.

    Args:
        base: Base file that all sites share.
        overlay: File with only the keys that differ at the site.
    """
    sources = _Sources(base=base, overlay=overlay)
    _check_sections(sources)
    if sources.problems:
        return Failure(sources.problems)
    configuration = msgspec.convert(sources.merged, Configuration)
    _check_references(sources, configuration)
    if sources.problems:
        return Failure(sources.problems)
    return Success(configuration)


def _check_sections(sources: _Sources) -> None:
    for name, value in sources.merged.items():
        if name in _SECTIONS:
            _check_fields(sources, [name], value, _SECTIONS[name])
        elif name not in _TABLES:
            known = ", ".join(sorted({**_SECTIONS, **_TABLES}))
            sources.report([name], f"one of the sections {known}")
        elif not isinstance(value, dict):
            sources.report([name], "a table")
        else:
            for item_name, content in value.items():
                _check_fields(sources, [name, item_name], content, _TABLES[name])


def _check_fields(
    sources: _Sources, key: list[str], value: object, section_type: type
) -> None:
    """Checks each field separately, so that every invalid one is reported."""
    if not isinstance(value, dict):
        sources.report(key, "a table")
        return
    fields = {field.name: field for field in msgspec.structs.fields(section_type)}
    for name, content in value.items():
        if name not in fields:
            sources.report([*key, name], f"one of the keys {', '.join(fields)}")
            continue
        try:
            msgspec.convert(content, fields[name].type)
        except msgspec.ValidationError as error:
            sources.report([*key, name], str(error).replace("Expected ", ""))
    for name, field in fields.items():
        if field.required and name not in value:
            sources.report([*key, name], "a value, as the key is required")


def _check_references(sources: _Sources, configuration: Configuration) -> None:
    owners: dict[str, str] = {}
    for name, member in configuration.members.items():
        for token_hash in member.token_hashes:
            if owners.setdefault(token_hash, name) != name:
                key = ["members", name, "token_hashes"]
                sources.report(key, f"no token of member {owners[token_hash]}")
    for name, service in configuration.services.items():
        for member in service.members:
            if member not in configuration.members:
                sources.report(["services", name, "members"], "names of members")
    for name, objective in configuration.objectives.items():
        if objective.member and objective.member not in configuration.members:
            sources.report(["objectives", name, "member"], "the name of a member")
        if objective.service and objective.service not in configuration.services:
            sources.report(["objectives", name, "service"], "the name of a service")


def _merge(base: dict, overlay: dict) -> dict:
    merged = dict(base)
    for key, value in overlay.items():
        base_value = merged.get(key)
        if isinstance(value, dict) and isinstance(base_value, dict):
            merged[key] = _merge(base_value, value)
        else:
            merged[key] = value
    return merged


def _lookup(document: object, key: list[str]) -> object:
    for part in key:
        if not isinstance(document, dict) or part not in document:
            return None
        document = document[part]
    return document
