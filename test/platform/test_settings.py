"""The platform's settings file and documents, checked wholly."""

import copy
import json

import pytest

from dragonflywing.errors import UserError
from dragonflywing.platform import documents, lines, settings

GOOD = {
    "node": "front-1",
    "zone": "duluth-a",
    "zones": {"duluth-a": "lakes-west"},
    "listen_addrs": {"front": "10.1.0.26:8465", "ready_addr": "10.1.0.26:8460"},
    "port_range": [7560, 7575],
    "heartbeat_ms": 1200,
    "bounds": {"revoke_ms": 5000, "grace_s": 6, "quota_window_s": 5},
    "platform": {"address": "10.200.1.7:8466", "ttl_min_ms": 1000},
    "cloud": {"address": "10.200.0.2:8466"},
    "a field of later days": 1,
}


class TestSettings:
    def test_are_decoded(self):
        own = settings.decode(GOOD)
        assert own.store_url == "http://10.200.1.7:8466"
        assert (own.peer_port, own.metrics_port) == (7560, 7575)
        assert own.key_withdrawal_s == 5.0

    @pytest.mark.parametrize(
        "path,value",
        [
            ("node", None),
            ("listen_addrs.front", "nowhere"),
            ("port_range", [1]),
            ("bounds.revoke_ms", "soon"),
            ("platform.address", 5),
        ],
    )
    def test_error_names_the_field(self, path, value):
        document = copy.deepcopy(GOOD)
        *parents, name = path.split(".")
        place = document
        for parent in parents:
            place = place[parent]
        if value is None:
            del place[name]
        else:
            place[name] = value
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
        found = documents.decode_database("servers/i-1", json.dumps(self.ENTRY))
        assert (found.name, found.group, found.port) == ("i-1", "g", 80)
        assert found.is_primary and not found.is_leaving

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
    def test_entry_of_another_writer_names_no_database(self, change):
        data = json.dumps({**self.ENTRY, **change})
        assert documents.decode_database("servers/i-1", data) is None

    def test_bytes_that_cannot_be_read(self):
        assert documents.decode_database("servers/i-1", b"\xff") is None
        with pytest.raises(UserError):
            documents.decode_configuration(b'{"config_version": 1}')


class TestLines:
    def test_last_field_extends_to_the_end(self):
        query = lines.parse_query("QUERY id WRITE a b c  d")
        assert (query.verb, query.rest) == ("WRITE", "a b c  d")

    @pytest.mark.parametrize("line", ["", "QUERY", "QUERY id", "HELLO x y"])
    def test_malformed(self, line):
        with pytest.raises(lines.MalformedLine):
            lines.parse_query(line)

    def test_positions(self):
        assert lines.decode_position("3.1207") == (3, 1207)
        assert lines.decode_position("-") is None
        with pytest.raises(lines.MalformedLine):
            lines.decode_position("3.x")
