"""The documents that an instance follows: the configuration and the databases.

Two instances read the configuration from the store. The others receive its
version and the age of its confirmation in exchanges, and fetch a newer version
from the instance that reports it. Every instance watches the list of databases
itself, and fetches it from another instance if the store fails.
"""

import asyncio
import json
import random

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions.relays import Role
from dragonflywing.errors import StoreError, UserError
from dragonflywing.links import LinkLost

# How often, and by how many instances, the configuration is read for the fleet.
CONFIRM_INTERVAL_S = 0.8
CONFIRMERS = 2
# An instance that has received no confirmation for this long reads the store itself.
CONFIRM_STALE_AFTER_S = 1.8
# Added to this in fleets with relays, where a confirmation takes one more exchange.
RELAY_DELAY_S = 0.8
# Subtracted from the time within which a withdrawn key must stop working.
WITHDRAWAL_MARGIN_S = 0.4
FETCH_TIMEOUT_S = 1.5  # up to some hundred KB between regions
# An instance fetches another one's list if its own is older than this.
LIST_STALE_AFTER_S = 2.5


class Directory:
    """The configuration in force, its confirmation, and the listed databases."""

    def __init__(self, settings, ports, groups, cluster, metrics):
        self.settings = settings
        self.ports = ports
        self.groups = groups
        self.cluster = cluster
        self.metrics = metrics
        self.cfg = None
        self.cfg_bytes = b""
        self.confirmed_at = None
        self.has_database_list = False
        self.databases = {}
        self.revision = 0
        self.listed_at = None
        self.on_configuration = None
        self._fetching = False

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    # Configuration

    def version(self):
        """Return the version of the configuration in force, 0 if there is none."""
        return self.cfg.version if self.cfg else 0

    def confirmation_age(self):
        """Return the seconds since the store confirmed the configuration."""
        if self.confirmed_at is None:
            return 1e9
        return boottime() - self.confirmed_at

    def is_confirmed(self):
        """Return whether the confirmation is recent enough to accept keys."""
        max_age_s = self.settings.key_withdrawal_s - WITHDRAWAL_MARGIN_S
        return self.confirmation_age() < max_age_s

    def _apply_configuration(self, data, source):
        try:
            cfg = self.ports.decode_configuration(data)
        except UserError as exc:
            self.metrics.count("refused.bad_configuration")
            logs.warn("bad_configuration", source=source, error=str(exc))
            return
        if cfg.version <= self.version():
            return
        self.cfg = cfg
        self.cfg_bytes = data
        self.groups.specs = cfg.groups
        self.on_configuration(cfg)
        self.metrics.count(f"configuration.from_{source}")
        logs.event("configuration", version=cfg.version, source=source)

    def confirm(self, version, asked_at):
        """Note that `version` was the latest one at `asked_at`."""
        if version == self.version() and self.cfg is not None:
            if self.confirmed_at is None or asked_at > self.confirmed_at:
                self.confirmed_at = asked_at

    async def keep_confirmed(self):
        """Read the configuration from the store when needed, until cancelled."""
        while True:
            rank = self.cluster.confirm_rank()
            has_relays = self.cluster.role() is not Role.DIRECT
            limit_s = CONFIRM_STALE_AFTER_S + (RELAY_DELAY_S if has_relays else 0.0)
            is_stale = self.confirmation_age() > limit_s
            if rank < CONFIRMERS or is_stale or self.cfg is None:
                asked_at = boottime()
                try:
                    item, _ = await self.ports.store.get(self.ports.configuration_key)
                except StoreError as exc:
                    self.metrics.count("store.confirm_failed")
                    logs.event(
                        "confirm_failed", error=str(exc), age_s=self.confirmation_age()
                    )
                else:
                    if item is not None:
                        if item.value != self.cfg_bytes:
                            self._apply_configuration(item.value, "store")
                        if item.value == self.cfg_bytes:
                            self.confirm(self.version(), asked_at)
            await asyncio.sleep(CONFIRM_INTERVAL_S * random.uniform(0.8, 1.0))

    # Databases

    def _apply_list(self, items, revision):
        """Replace the list of databases by `items`: {key: value}."""
        self.databases = items
        self.revision = revision
        self.listed_at = self.now()
        listed = {}
        for key, value in items.items():
            database = self.ports.decode_database(key, value)
            if database is None:
                self.metrics.count("refused.bad_database_entry")
                logs.event("bad_database_entry", key=key)
            else:
                listed[database.name] = database
        for name in [name for name in self.groups.databases if name not in listed]:
            self.groups.remove_database(name)
        for database in listed.values():
            if self.groups.databases.get(database.name) != database:
                self.groups.note_database(database)

    def apply_database_list(self, items):
        """Apply the complete list of databases from the store."""
        revision = max([item.revision for item in items], default=0)
        self._apply_list({item.key: item.value for item in items}, revision)
        self.has_database_list = True

    def apply_database_change(self, item):
        """Apply a change of one database's entry."""
        items = dict(self.databases)
        if item.value is None:
            items.pop(item.key, None)
        else:
            items[item.key] = item.value
        self._apply_list(items, max(self.revision, item.revision))

    # Documents of another instance

    def should_fetch(self, revision):
        """Return whether to fetch a list of databases of this revision."""
        if self.listed_at is None:
            return True
        is_stale = self.now() - self.listed_at > LIST_STALE_AFTER_S
        return is_stale and revision > self.revision

    async def fetch(self, instance):
        """Fetch the configuration and the list of databases from another instance."""
        if self._fetching:
            return
        self._fetching = True
        try:
            body = await self.cluster.call(instance, "documents", b"", FETCH_TIMEOUT_S)
        except LinkLost as exc:
            logs.event("documents_not_fetched", instance=instance, error=str(exc))
            return
        finally:
            self._fetching = False
        document = json.loads(body)
        if document["configuration"]:
            self._apply_configuration(document["configuration"].encode(), "peer")
        if document["revision"] > self.revision:
            items = {
                key: value.encode() for key, value in document["databases"].items()
            }
            self._apply_list(items, document["revision"])

    def documents(self):
        """Return the configuration and the list of databases for another instance."""
        databases = {
            key: value.decode(errors="replace") for key, value in self.databases.items()
        }
        document = {
            "configuration": self.cfg_bytes.decode(),
            "revision": self.revision,
            "databases": databases,
        }
        return json.dumps(document).encode()
