"""Decoding of the platform's settings file, documents and lines."""

import copy
import json

import pytest

from dragonflywing.errors import UserError
from dragonflywing.platform import documents, lines, settings

VALID_SETTINGS = {
    "node": "front-1",
    "zone": "duluth-a",
    "zones": {"duluth-a": "lakes-west"},
    "listen_addrs": {"front": "10.1.0.26:8465", "ready_addr": "10.1.0.26:8460"},
    "port_range": [7560, 7575],
    "heartbeat_ms": 1200,
    "bounds": {
        "revoke_ms": 5000,
        "grace_s": 6,
        "quota_window_s": 5,
        "drain_ms": 7000,
    },
    "platform": {"address": "10.200.1.7:8466", "ttl_min_ms": 1000},
    "cloud": {"address": "10.200.0.2:8466"},
    "field of a later version": 1,
}


class TestSettings:
    def test_are_decoded(self):
        decoded = settings.decode(VALID_SETTINGS)
        assert decoded.store_address == ("10.200.1.7", 8466)
        assert (decoded.peer_port, decoded.metrics_port) == (7560, 7575)
        assert decoded.key_withdrawal_s == 5.0
        assert decoded.drain_s == 7.0

    @pytest.mark.parametrize(
        "path,value",
        [
            ("node", None),
            ("listen_addrs.front", "nowhere"),
            ("port_range", [1]),
            ("bounds.revoke_ms", "soon"),
            ("bounds.drain_ms", "soon"),
            ("platform.address", 5),
        ],
    )
    def test_error_names_the_field(self, path, value):
        document = copy.deepcopy(VALID_SETTINGS)
        *parents, field = path.split(".")
        container = document
        for parent in parents:
            container = container[parent]
        if value is None:
            del container[field]
        else:
            container[field] = value
        with pytest.raises(UserError, match=f"field {path}"):
            settings.decode(document)

    def test_error_names_the_file(self, tmp_path, monkeypatch):
        path = tmp_path / "local.json"
        path.write_text("{")
        monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
        with pytest.raises(UserError, match="local.json"):
            settings.load()


class TestDocuments:
    ENTRY = {
        "service": "g",
        "address": "10.0.0.1:80",
        "zone": "duluth-a",
        "slots": 2,
        "state": "ready",
        "db_role": "primary",
        "born": 5,
    }

    def test_database_is_decoded(self):
        database = documents.decode_database("servers/i-1", json.dumps(self.ENTRY))
        assert (database.name, database.group, database.port) == ("i-1", "g", 80)
        assert database.is_primary and not database.is_leaving

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"db_role": "witness"},
            {"slots": "two"},
            {"slots": True},
            {"address": "10.0.0.1"},
            {"address": 7},
            {"service": None},
            {"born": 1.5},
        ],
    )
    def test_malformed_or_unusable_entry_is_ignored(self, change):
        data = json.dumps({**self.ENTRY, **change})
        assert documents.decode_database("servers/i-1", data) is None

    def test_malformed_documents_are_rejected(self):
        assert documents.decode_database("servers/i-1", b"\xff") is None
        with pytest.raises(UserError):
            documents.decode_configuration(b'{"config_version": 1}')


class TestLines:
    def test_last_field_extends_to_the_end(self):
        query = lines.parse_query("QUERY id WRITE a b c  d")
        assert (query.verb, query.rest) == ("WRITE", "a b c  d")

    @pytest.mark.parametrize("line", ["", "QUERY", "QUERY id", "HELLO x y"])
    def test_malformed_line_is_rejected(self, line):
        with pytest.raises(lines.MalformedLine):
            lines.parse_query(line)

    def test_positions_are_decoded(self):
        assert lines.decode_position("3.1207") == (3, 1207)
        assert lines.decode_position("-") is None
        with pytest.raises(lines.MalformedLine):
            lines.decode_position("3.x")
