"""The documents that an instance follows: the configuration and the databases.

One instance confirms the configuration with the store. The others receive its
version and the age of its confirmation in exchanges, and fetch a newer version
from the instance that reports it. Entries of databases come from the store or, in
a large fleet, from the data centre's relay. The confirmation covers them too, so
that an instance whose watches have gone silent learns of changes all the same.
"""

import asyncio
import math
import random
import zlib

from dragonflywing import decoding, logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import eras, evacuation
from dragonflywing.decisions.eras import ABSENT
from dragonflywing.decisions.relays import Role
from dragonflywing.decisions.replicas import RESTORE_S
from dragonflywing.decoding import MalformedDocument
from dragonflywing.errors import HistoryLost, StoreError, UserError
from dragonflywing.following import Follower
from dragonflywing.links import LinkLost, idl, pack, unpack

# A watch may tell a change this long after another call has told its revision.
REPORT_DELAY_S = 0.1
REPORT_POLL_S = 0.02
# How often an instance checks whether the store's era is settled.
SETTLE_POLL_S = 0.1
# How often one instance confirms the configuration for the fleet.
CONFIRM_INTERVAL_S = 0.9
# The next instance asks the store itself after it has received no confirmation for
# this long, and each further one a little later.
CONFIRM_STALE_AFTER_S = 1.8
CONFIRM_RANK_DELAY_S = 0.15
MAX_RANKS_DELAYED = 4
# Added to this in fleets with relays, where a confirmation takes one more exchange.
RELAY_DELAY_S = 0.6
# Greatest pause between attempts to read the configuration while the store is away.
MAX_CONFIRM_PAUSE_S = 3.0
# Subtracted from the time within which a withdrawn key must stop working.
WITHDRAWAL_MARGIN_S = 0.4
FETCH_TIMEOUT_S = 5.0  # a compressed configuration, on a slow link that others share
COMPRESSION_LEVEL = 1


def _is_json_object(data):
    try:
        decoding.decode(data, dict)
    except MalformedDocument:
        return False
    return True


class Directory:
    """The configuration in force, its confirmation, and the listed databases."""

    def __init__(self, settings, ports, groups, cluster, metrics):
        self.settings = settings
        self.ports = ports
        self.groups = groups
        self.cluster = cluster
        self.metrics = metrics
        self.cfg = None
        self.confirmed_at = None
        self.confirmed_revision = ABSENT
        self.entries = Follower(
            ports.store, ports.database_prefix, self._apply_entry, metrics
        )
        self.entries.hold_s = self._hold_s
        groups.entries_age = self.confirmation_age
        self.followers = [self.entries]  # the copies that a confirmation covers
        self.evacuations = None  # the copy of their keys, if they are followed
        self.evacuations_received_at = -math.inf  # from another instance
        self.has_evacuation_list = True
        if settings.evacuate_s is not None:
            self._follow_evacuations()
        self.on_configuration = None
        self._compressed = b""
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
        """Return whether the confirmation is recent enough to accept keys.

        Until the evacuations are known, no database may be used.
        """
        if not self.has_evacuation_list:
            return False
        max_age_s = self.settings.key_withdrawal_s - WITHDRAWAL_MARGIN_S
        return self.confirmation_age() < max_age_s

    def _apply_configuration(self, data, source):
        """Apply a configuration; return whether it is the one in force now."""
        try:
            cfg = self.ports.decode_configuration(data)
        except UserError as exc:
            self.metrics.count("refused.bad_configuration")
            logs.warn("bad_configuration", source=source, error=str(exc))
            return False
        if cfg.version < self.version():
            self.metrics.count("configuration.older")
            logs.event(
                "older_configuration",
                version=cfg.version,
                in_force=self.version(),
                source=source,
            )
            return False
        if cfg.version == self.version():
            return True
        self.groups.specs = cfg.groups
        self.groups.workspace_count = len(cfg.workspaces)
        self.on_configuration(cfg)
        # Set last: if the above fails, it is tried again.
        self.cfg = cfg
        self._compressed = zlib.compress(data, COMPRESSION_LEVEL)
        self.metrics.count(f"configuration.from_{source}")
        logs.event("configuration", version=cfg.version, source=source, size=len(data))
        return True

    def confirm(self, version, asked_at, revision):
        """Note that `version` was the latest one at `asked_at`.

        `revision` is one of the store at which it was the latest, ABSENT if unknown.
        """
        if version != self.version() or self.cfg is None:
            return
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            was_confirmed, self.confirmed_at = self.is_confirmed(), asked_at
            if self.is_confirmed() and not was_confirmed:
                logs.event("confirmed_again", version=version, revision=revision)
        self.confirmed_revision = max(self.confirmed_revision, revision)

    async def keep_confirmed(self):
        """Confirm the configuration with the store when needed, until cancelled."""
        pause_s = CONFIRM_INTERVAL_S
        while True:
            started_at = self.now()
            if self._should_ask_store():
                try:
                    await self._ask_store()
                except StoreError as exc:
                    self.metrics.count("store.confirm_failed")
                    logs.event(
                        "confirm_failed", error=str(exc), age_s=self.confirmation_age()
                    )
            if self._is_confirmer() or not self._should_ask_store():
                pause_s = CONFIRM_INTERVAL_S
            else:
                pause_s = min(2 * pause_s, MAX_CONFIRM_PAUSE_S)
            # Reading a large value takes long, so its confirmation is already old.
            elapsed_s = self.now() - started_at
            await self._wait(pause_s * random.uniform(0.8, 1.0) - elapsed_s)

    async def _wait(self, pause_s):
        """Wait for a time, or until the store's era is settled if it is not."""
        end = self.now() + pause_s
        while not self._is_settled() and self.now() < end - SETTLE_POLL_S:
            await asyncio.sleep(SETTLE_POLL_S)
            if self._is_settled():
                return
        await asyncio.sleep(max(0.0, end - self.now()))

    def _is_settled(self):
        """Return whether the store holds what operators wrote before a restore."""
        return eras.is_settled(self.cluster.eras, boottime())

    def _is_confirmer(self):
        return self.cluster.rank("confirm") == 0

    def _should_ask_store(self):
        rank = self.cluster.rank("confirm")
        limit_s = CONFIRM_STALE_AFTER_S
        limit_s += min(rank - 1, MAX_RANKS_DELAYED) * CONFIRM_RANK_DELAY_S
        if self.cluster.role() is not Role.DIRECT:
            limit_s += RELAY_DELAY_S
        is_stale = self.confirmation_age() > limit_s
        if self.evacuations is not None:
            # Instances of earlier builds send only the confirmation.
            age_s = self.evacuations_age()
            is_stale = is_stale or age_s is None or age_s > limit_s
        return rank == 0 or self.cfg is None or is_stale

    async def _ask_store(self):
        """Confirm the configuration and the entries with the store, or read newer ones.

        Only changes are transferred. The value may be large, so reading all of it
        each time would take the link from the calls that keep leases.
        """
        asked_at, is_settled = boottime(), self._is_settled()
        key, store = self.ports.configuration_key, self.ports.store
        item, items, is_unchanged = None, [], False
        if self.cfg is None or self.confirmed_revision == ABSENT:
            item, revision = await store.get(key)
        else:
            try:
                items, revision = await store.watch(key, self.confirmed_revision, 0.0)
                is_unchanged = not any(x.key == key for x in items)
                item = next((x for x in reversed(items) if x.key == key), None)
            except HistoryLost:
                self.metrics.count("store.history_lost")
                logs.event(
                    "confirmation_history_lost", revision=self.confirmed_revision
                )
                item, revision = await store.get(key)
            except StoreError as exc:
                if not exc.may_have_run:
                    raise  # refused at once, as other calls would be
                # The store may answer other calls though watches hear nothing.
                self.metrics.count("store.watch_silent")
                item, revision = await store.get(key)
        is_missing = item is None and not is_unchanged
        if is_missing and self.cfg is not None:
            self.metrics.count("configuration.missing")
        is_current = is_unchanged or (
            item is not None
            and item.value is not None
            and self._apply_configuration(item.value, "store")
        )
        await self._complete_copies(revision, [x.revision for x in items])
        # The answer itself may have told of a later era.
        is_settled = is_settled and self._is_settled()
        evacuations = self.evacuations
        if evacuations and is_settled and evacuations.complete_to() >= revision:
            self.note_evacuations_known(asked_at)
        if is_current and is_settled:
            self.confirm(self.version(), asked_at, revision)
        elif is_current:
            self.metrics.count("store.unsettled_confirmation")

    async def _complete_copies(self, revision, received):
        """Bring the followers' copies up to a revision of the store.

        `received` holds the revisions of changes that belong to no follower. The store
        is asked only if a change is missing that no watch has told.
        """
        copies = [x for x in self.followers if x.has_list and not x.is_served()]
        end = self.now() + REPORT_DELAY_S
        while copies and not self._has_received_all(copies, revision, received):
            if self.now() >= end:
                await asyncio.gather(*[x.catch_up(revision) for x in copies])
                break
            await asyncio.sleep(REPORT_POLL_S)
        for copy in copies:
            copy.note_complete(revision)

    def _has_received_all(self, copies, revision, received):
        known = set(received).union(*[x.received for x in self.followers])
        first = min(x.complete_to() for x in copies)
        return eras.accounts_for(first, revision, known)

    # Databases

    @property
    def has_database_list(self):
        """Whether all listed databases are known."""
        return self.entries.has_list

    def _database_name(self, key):
        return key[len(self.ports.database_prefix) :]

    def _hold_s(self, key):
        """Return how long an entry is kept that was removed during an outage."""
        database = self.groups.databases.get(self._database_name(key))
        return 0.0 if database is None or database.is_leaving else RESTORE_S

    def _is_brought_back(self, item, database):
        """Return whether a restore of the store has brought back an older entry."""
        if not eras.may_be_outdated(self.cluster.eras, item.revision):
            return False
        return self.groups.is_superseded(database)

    def _apply_entry(self, item):
        """Apply a changed entry of a database; a malformed one names none to use."""
        database = None
        if item.value is not None:
            database = self.ports.decode_database(item.key, item.value)
            if database is None:
                self.metrics.count("refused.bad_database_entry")
                logs.event("bad_database_entry", key=item.key)
        if database is None:
            self.groups.remove_database(self._database_name(item.key))
        elif self._is_brought_back(item, database):
            self.metrics.count("database.brought_back")
            logs.event("database_brought_back", database=database.name)
        elif self.groups.databases.get(database.name) != database:
            self.groups.note_database(database)

    # Evacuations

    def _follow_evacuations(self):
        ports = self.ports
        self.has_evacuation_list = False
        self.evacuations = Follower(
            ports.store, ports.evacuation_prefix, self._apply_evacuation, self.metrics
        )
        self.evacuations.allows_old_list = False
        self.evacuations.on_list = self._note_evacuation_list
        self.evacuations.hold_s = self._hold_evacuation_s
        self.followers.append(self.evacuations)

    def _hold_evacuation_s(self, key):
        """Return how long an evacuation is kept that the store no longer holds.

        Its key has no lease, so it is missing against the operator's will only after a
        restore, until the operator has written it again.
        """
        return 0.0 if self._is_settled() else eras.SETTLE_S

    def _note_evacuation_list(self, asked_at):
        self.has_evacuation_list = True
        if self._is_settled():
            self.note_evacuations_known(asked_at)

    def note_evacuations_known(self, at):
        """Note that all evacuations that were acknowledged up to a time are known."""
        self.has_evacuation_list = True
        evacuation.note_known(self.groups.evacuations, at)

    def evacuations_age(self):
        """Return the age of the latest list of evacuations; None without one."""
        if self.evacuations is None:
            return None
        age_s = boottime() - self.groups.evacuations.known_at
        return None if math.isinf(age_s) else age_s

    def _apply_evacuation(self, item):
        """Apply a changed key of an evacuation; its value doesn't matter."""
        data_centre = item.key[len(self.ports.evacuation_prefix) :]
        if item.value is None:
            self.groups.end_evacuation(data_centre)
            return
        if data_centre not in self.settings.regions:
            self._note_bad_evacuation(data_centre, "unknown data centre")
        if not _is_json_object(item.value):
            self._note_bad_evacuation(data_centre, "malformed value")
        self.groups.note_evacuation(data_centre, item.revision)

    def _note_bad_evacuation(self, data_centre, reason):
        self.metrics.count("refused.bad_evacuation")
        logs.warn("bad_evacuation", data_centre=data_centre[:100], reason=reason)

    # The configuration of another instance

    async def fetch(self, instance):
        """Fetch the configuration from another instance."""
        if self._fetching:
            return
        self._fetching = True
        try:
            body = await self.cluster.call(
                instance, "configuration", b"", FETCH_TIMEOUT_S
            )
            document = unpack(idl.Document, body)
            data = zlib.decompress(document.compressed)
        except (LinkLost, zlib.error) as exc:
            logs.event("configuration_not_fetched", instance=instance, error=str(exc))
            return
        finally:
            self._fetching = False
        self._apply_configuration(data, "peer")

    def document(self):
        """Return the configuration for another instance."""
        return pack(
            idl.Document(
                revision=self.confirmed_revision.number, compressed=self._compressed
            )
        )
