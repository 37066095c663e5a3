"""Tests of documents of other writers: any bytes, in lists, watches and relays."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflywing import configuration, router
from dragonflywing.cluster import MEMBER_PREFIX, Cluster
from dragonflywing.decisions.eras import Revision
from dragonflywing.decisions.replicas import Changes
from dragonflywing.decoding import MalformedDocument
from dragonflywing.directory import Directory
from dragonflywing.errors import UserError
from dragonflywing.groups import Groups
from dragonflywing.metrics import Metrics
from dragonflywing.node import decode_drawn
from dragonflywing.order_records import ORDER_PREFIX, OrderRecords
from dragonflywing.platform import documents
from dragonflywing.ports import StoredItem
from dragonflywing.promoter import Promoter
from dragonflywing.replacer import ROSTER_PREFIX, Replacer
from test.helper import run_on_simulated_clock

ENTRY = {
    "service": "g",
    "address": "10.0.0.1:80",
    "zone": "duluth-a",
    "slots": 2,
    "state": "ready",
    "db_role": "replica",
    "born": 5,
    "warmup_left_ms": 0,
    "sequence": 4,
}


def entry(**changes):
    return json.dumps(ENTRY | changes).encode()


def number(name, digits):
    """Return an entry with a number that Python's encoder doesn't write."""
    return entry(**{name: "?"}).replace(b'"?"', digits)


BAD_KEY = "servers/b"
BAD_VALUES = {
    "list nested too deeply": b"[" * 100_000,
    "field nested too deeply": number("x", b"[" * 100_000),
    "object nested too deeply": b'{"service":' * 100_000,
    "no UTF-8": b"\xff\xfe",
    "UTF-16": json.dumps(ENTRY).encode("utf-16"),
    "half of a surrogate pair": number("zone", b'"\\ud800"'),
    "empty": b"",
    "a number": b"7",
    "huge time": number("warmup_left_ms", b"9" * 400),
    "infinite time": number("warmup_left_ms", b"1e999"),
    "no number": number("warmup_left_ms", b"NaN"),
    "huge integer": number("born", b"9" * 4400),
    "large integer": number("sequence", b"9" * 40),
    "negative start": entry(born=-1),
    "fraction": entry(slots=2.5),
    "too many slots": entry(slots=2**62),
    "no slots": entry(slots=0),
    "port 0": entry(address="10.0.0.1:0"),
    "large port": entry(address="10.0.0.1:70000"),
    "port in other digits": entry(address="10.0.0.1:８０"),
    "host that no resolver takes": entry(address="a..b:80"),
    "host with a blank": entry(address="a b:80"),
    "long label": entry(address=f"{'a' * 64}:80"),
    "no host": entry(address=":80"),
    "line break in a name": entry(service="g\r\nQUERY"),
    "blank in a name": entry(service="g h"),
    "empty name": entry(service=""),
    "long name": entry(zone="z" * 10_000),
    "other state": entry(state="resting"),
    "state of another type": entry(state=["ready"]),
    "role of another type": entry(db_role={}),
}

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(["ready", "replica", "10.0.0.1:80", 10**400]),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=8,
)
shapes = st.builds(
    lambda base, changes: json.dumps(base | changes).encode("utf-8", "replace"),
    st.sampled_from(
        [
            {},
            ENTRY,
            {"data_centre": "d", "host": "h", "port": 1, "incarnation": 1},
            {"database": "b", "term": 1, "base": [1, 2], "may_repeat": False},
            {"config_version": 1, "routes": [], "services": [], "tenants": []},
            {"peer_address": "h:1", "term": 1, "id": "x"},
        ]
    ),
    st.dictionaries(
        st.sampled_from(
            "address born slots zone host port base term routes tenants limits id "
            "service database config_version warmup_left_ms".split()
        ),
        values,
        max_size=3,
    ),
)
foreign_bytes = (
    st.binary()
    | shapes
    | values.map(lambda x: json.dumps(x).encode("utf-8", "replace"))
    | st.sampled_from(list(BAD_VALUES.values()))
)


def item(key, value, revision):
    return StoredItem(key, value, Revision(1, revision))


def make_directory(store=None):
    """Return a Directory with the platform's decoders, and its metrics."""
    metrics = Metrics()
    store = store or SimpleNamespace(restored_at=None, drop_idle_connections=None)
    ports = SimpleNamespace(
        store=store,
        database_prefix=documents.DATABASE_PREFIX,
        configuration_key=documents.CONFIGURATION_KEY,
        decode_configuration=documents.decode_configuration,
        decode_database=documents.decode_database,
    )
    cluster = SimpleNamespace(eras=SimpleNamespace(era=1, mark=Revision(1, 0)))
    state = Directory(
        SimpleNamespace(evacuate_s=None),
        ports,
        Groups(ports, metrics),
        cluster,
        metrics,
    )
    return state, metrics


class ListingStore:
    """A store that has listed some items, and tells others in a watch."""

    restored_at = None

    def __init__(self, listed, told):
        self.listed, self.told = listed, told

    async def get_prefix(self, prefix, may_be_old=False):
        return list(self.listed), Revision(1, 5)

    async def watch(self, prefix, after, wait_s):
        if not self.told:
            await asyncio.sleep(wait_s)
        told, self.told = self.told, []
        return told, Revision(1, 9)


class TestUnreadableEntries:
    """RECOVER: an entry that couldn't be decoded kept those behind it from being used.

    The task that followed the entries ended, and took them as applied when it went on.
    """

    ITEMS = [item("servers/a", entry(), 2), item("servers/c", entry(), 4)]

    def listed(self, value, way):
        """Return the databases that are known after items came in some way."""
        bad = item(BAD_KEY, value, 3)
        items = [self.ITEMS[0], bad, self.ITEMS[1]]

        async def check():
            store = ListingStore(items if way == "list" else [], items)
            state, metrics = make_directory(store)
            if way == "known":
                state.entries.apply(
                    Changes(True, Revision(1, 1), [item(BAD_KEY, entry(), 1)])
                )
                assert BAD_KEY[8:] in state.groups.databases
            if way in ("relay", "known"):
                state.entries.apply(Changes(way == "relay", Revision(1, 5), items))
            else:
                task = asyncio.create_task(state.entries.run())
                await asyncio.sleep(3.0)
                assert not task.done()
                task.cancel()
            assert metrics.counters["refused.bad_database_entry"] >= 1
            return state.groups.databases.keys()

        return run_on_simulated_clock(check())

    @pytest.mark.parametrize("way", ["list", "watch", "relay", "known"])
    @pytest.mark.parametrize("kind", BAD_VALUES)
    def test_keep_no_other_entry_from_being_used(self, kind, way):
        assert self.listed(BAD_VALUES[kind], way) == {"a", "c"}

    @pytest.mark.parametrize("name", ["", "a b", "a\r\nSTARTUP x", "x" * 300, "\x00"])
    def test_nor_do_names_that_no_line_takes(self, name):
        assert documents.decode_database(f"servers/{name}", entry()) is None

    def test_a_sound_one_is_used(self):
        database = documents.decode_database("servers/a", entry())
        assert (database.name, database.slots, database.born) == ("a", 2, 5)
        address = "[::1]:80"
        database = documents.decode_database("servers/a", entry(address=address))
        assert (database.host, database.port) == ("::1", 80)


def raises_only(error, call, *args):
    """Call a decoder; it may raise no other exception than `error`."""
    try:
        return call(*args)
    except error:
        return None


class TestAnyBytes:
    """RECOVER: bytes of any other writer end no task and no decoder."""

    @settings(max_examples=300, deadline=None)
    @given(foreign_bytes)
    def test_decoders_return_or_refuse(self, data):
        assert documents.decode_database("servers/x", b"[" + data) is None
        database = documents.decode_database("servers/x", data)
        if database is not None:
            assert 0 < database.port < 65_536 and 0 < database.slots < 65_536
            f"{database.host} {database.group}".encode("ascii", "ignore")
        raises_only(UserError, documents.decode_configuration, data)
        raises_only(UserError, configuration.decode, data)
        raises_only(MalformedDocument, router.unpack_status, data)
        assert all(isinstance(x, str) for x in decode_drawn(data))
        holder = SimpleNamespace(_duty_item=item("duty", data, 1))
        assert isinstance(Replacer.holder(holder), str)
        promoter = SimpleNamespace(name="g", metrics=Metrics())
        record = Promoter._decode_record(promoter, SimpleNamespace(value=data))
        assert record["term"] >= 0

    @settings(max_examples=300, deadline=None)
    @given(foreign_bytes)
    def test_tasks_go_on(self, data):
        async def check():
            cluster = Cluster(
                SimpleNamespace(instance="me", data_centre="d"), None, Metrics()
            )
            cluster.apply_member(f"{MEMBER_PREFIX}i", data)
            assert all(0 < peer.port < 65_536 for peer in cluster.peers.values())
            rosters = {}
            replacer = SimpleNamespace(
                _roster_revisions={},
                metrics=Metrics(),
                cluster=cluster,
                groups=SimpleNamespace(
                    note_roster=lambda group, names, _: rosters.update(names)
                ),
            )
            Replacer.apply_roster(replacer, item(f"{ROSTER_PREFIX}g", data, 1))
            assert all(type(x) is int for x in rosters.values())
            groups = Groups(None, Metrics())
            records = OrderRecords(None, groups, Metrics(), None)
            records.apply([item(f"{ORDER_PREFIX}g", data, 1)])
            order = records.get("g")
            assert order is None or type(order.term) is int

        run_on_simulated_clock(check())
