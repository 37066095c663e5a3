"""Builds a configuration from the answers to the operators' questionnaire."""

import os
from typing import NamedTuple

from dragonflywing import typed
from dragonflywing.configuration import (
    Configuration,
    Database,
    Group,
    Key,
    Route,
    Workspace,
    check,
)
from dragonflywing.errors import UserError
from dragonflywing.identity import key_hash

QUESTIONNAIRE_PATH = os.path.join(os.path.dirname(__file__), "questionnaire.json")


class KeyAnswer(NamedTuple):
    """A key as its text, or as the hash that `dfw-ops keys give` prints."""

    id: str
    key: str = ""
    hash: str = ""


class WorkspaceAnswer(NamedTuple):
    """The answers for one workspace."""

    group: str
    rate: float
    burst: float
    keys: tuple[KeyAnswer, ...] = ()


class GroupAnswer(NamedTuple):
    """The answers for one database group."""

    databases: dict[str, Database]
    connections: int = 16
    slots: int = 2


class Answers(NamedTuple):
    """All answers to the questionnaire."""

    fleet_size: int
    groups: dict[str, GroupAnswer]
    workspaces: dict[str, WorkspaceAnswer]
    routes: dict[str, Route] = {}


def load(path):
    """Read a filled-in questionnaire."""
    return typed.load(path, Answers)


def _make_key(answer, field):
    if bool(answer.key) == bool(answer.hash):
        raise UserError(f"field {field}: expected either key or hash")
    return Key(answer.id, answer.hash or key_hash(answer.key))


def generate(answers):
    """Return the checked configuration for the answers, with a placeholder version."""
    groups = {
        name: Group(item.databases, item.connections, item.slots)
        for name, item in answers.groups.items()
    }
    workspaces = {}
    for name, item in answers.workspaces.items():
        keys = [_make_key(key, f"workspaces.{name}.keys.{key.id}") for key in item.keys]
        workspaces[name] = Workspace(item.group, item.rate, item.burst, tuple(keys))
    cfg = Configuration(
        version=1,
        change_id="generated",
        fleet_size=answers.fleet_size,
        workspaces=workspaces,
        groups=groups,
        routes=answers.routes,
    )
    return check(cfg)
