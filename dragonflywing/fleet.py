"""Other entry instances: gossip, configuration, suspicion votes and loans."""

import asyncio
import random

from dragonflywing import configuration, logs
from dragonflywing.decisions import membership, shares, versions
from dragonflywing.decisions.membership import Member
from dragonflywing.errors import UserError
from dragonflywing.peers import PeerClient, idl
from dragonflywing.supervisor import spawn

# Number of peers that are notified immediately of a new configuration.
PUSH_FANOUT = 4
# Time without further requests for a workspace to an instance that declined a loan.
DECLINED_RETRY_S = 0.3
# One in this many exchanges goes to another data centre.
REMOTE_EXCHANGE_PERIOD = 3


def _probers(group, members):
    """Return the members that probe a group on behalf of their data centre."""
    by_name = {member.instance: member for member in members}
    names = membership.rendezvous_order(group, by_name)[: membership.PROBERS]
    return [by_name[name] for name in names]


class Fleet:
    """Known state of the other instances, and calls to them."""

    def __init__(self, cfg, version_state, metrics, on_configuration):
        self.cfg = cfg
        self.versions = version_state
        self.metrics = metrics
        self.on_configuration = on_configuration
        own_record = Member(
            instance=cfg.instance,
            data_centre=cfg.data_centre,
            address=f"{cfg.host}:{cfg.peer_port}",
            incarnation=random.getrandbits(30),
            heartbeat=0,
            leaving=False,
            store_ok=False,
        )
        self.members = membership.MemberState(own_record)
        self.leaving = False
        self.store_ok = False
        self._declined = {}
        self.suspects_group = lambda group, term: False
        self.lend = None
        self.take_back = None
        self.report_json = lambda: "{}"
        self._configuration_data = b""
        self._clients = {}
        self._tasks = set()
        self._is_fetching = False

    def _now(self):
        return asyncio.get_running_loop().time()

    def alive(self):
        """Return the membership records of the other live instances."""
        return membership.alive(
            self.members, self._now(), self.cfg.times.member_timeout_s
        )

    def instances(self):
        """Return the names of the other live instances that are not leaving."""
        return [member.instance for member in self.alive() if not member.leaving]

    def local_instances(self):
        """Return the names of the other live instances of this data centre."""
        data_centre = self.cfg.data_centre
        return [m.instance for m in self.alive() if m.data_centre == data_centre]

    def is_watcher(self):
        """Return whether this instance watches the store for its data centre."""
        timeout_s = self.cfg.times.member_timeout_s
        return membership.is_watcher(self.members, self._now(), timeout_s)

    def _client(self, address, instance=None):
        address = self.cfg.addresses.get(instance, address)
        if address not in self._clients:
            self._clients[address] = PeerClient(
                address, self.cfg.peer_secret, self.metrics
            )
        return self._clients[address]

    # Exchange of digests

    def digest(self):
        """Return the digest of the state that this instance sends to peers."""
        now = self._now()
        records = membership.sample(
            self.members, now, self.cfg.times.member_timeout_s, random
        )
        age = versions.age(self.versions, now)
        return idl.Digest(
            members=[idl.MemberRecord(**record._asdict()) for record in records],
            config_version=versions.version(self.versions),
            config_age=min(age, 1e9),
        )

    def merge_digest(self, digest):
        """Merge a peer's digest, whose first member is the sender."""
        now = self._now()
        fields = Member._fields
        members = [Member(*[getattr(r, f) for f in fields]) for r in digest.members]
        membership.merge(self.members, now, members)
        sender = members[0]
        own_version = versions.version(self.versions)
        if digest.config_version > own_version:
            spawn(
                self._tasks, self._fetch_configuration(sender.address, sender.instance)
            )
        else:
            versions.confirm(
                self.versions, now, digest.config_version, digest.config_age
            )

    def exchange(self, digest):
        """Merge a peer's digest and return this instance's."""
        self.merge_digest(digest)
        return self.digest()

    def configuration_bytes(self):
        """Return the current configuration as bytes, empty if there is none."""
        return self._configuration_data

    def suspects(self, group, term):
        """Return whether this instance suspects a group's primary."""
        return self.suspects_group(group, term)

    async def _fetch_configuration(self, address, instance):
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            data = await self._client(address, instance).call("configuration")
        finally:
            self._is_fetching = False
        if data:
            self.offer(data if isinstance(data, bytes) else data.encode(), "peer")

    def offer(self, data, source):
        """Apply a configuration if it is newer, and announce it to some peers."""
        try:
            cfg = configuration.decode(data)
        except UserError as exc:
            self.metrics.count("refused.bad_configuration")
            logs.warn("bad_configuration", source=source, error=str(exc))
            return
        if not versions.adopt(self.versions, cfg):
            return
        self._configuration_data = data
        logs.event("configuration", version=cfg.version, source=source)
        self.metrics.count(f"configuration.from_{source}")
        self.on_configuration(cfg)
        alive = self.alive()
        for member in random.sample(alive, min(len(alive), PUSH_FANOUT)):
            spawn(self._tasks, self._exchange_with(member.address, member.instance))

    async def _exchange_with(self, address, instance=None):
        answer = await self._client(address, instance).call("exchange", self.digest())
        if answer is not None and answer.members:
            self.merge_digest(answer)

    def _choose_targets(self, round_number):
        alive = self.alive()
        if not alive:
            return [(address, None) for address in self.cfg.seeds]
        local = [x for x in alive if x.data_centre == self.cfg.data_centre]
        remote = [x for x in alive if x.data_centre != self.cfg.data_centre]
        pool = (
            remote
            if remote and (round_number % REMOTE_EXCHANGE_PERIOD == 0 or not local)
            else local
        )
        member = random.choice(pool)
        targets = [(member.address, member.instance)]
        if round_number % 20 == 0 and self.cfg.seeds:
            # Members on the other side of a network partition may be forgotten;
            # exchanges with seeds find them again.
            targets.append((random.choice(self.cfg.seeds), None))
        return targets

    async def run(self):
        """Exchange digests until cancelled."""
        round_number = 0
        while True:
            round_number += 1
            membership.advance_heartbeat(self.members, self.leaving, self.store_ok)
            membership.remove_silent(
                self.members, self._now(), self.cfg.times.member_timeout_s
            )
            for address, instance in self._choose_targets(round_number):
                spawn(self._tasks, self._exchange_with(address, instance))
            await asyncio.sleep(self.cfg.times.gossip_s * random.uniform(0.7, 1.3))

    # Votes and loans

    async def suspecting_data_centres(self, group, term):
        """Return the other data centres in which an instance suspects a primary."""
        by_data_centre = {}
        for member in self.alive():
            by_data_centre.setdefault(member.data_centre, []).append(member)
        by_data_centre.pop(self.cfg.data_centre, None)
        calls = []
        for data_centre, members in by_data_centre.items():
            for member in _probers(group, members):
                calls.append(self._request_vote(data_centre, member, group, term))
        answers = await asyncio.gather(*calls)
        return {data_centre for data_centre, vote in answers if vote}

    async def _request_vote(self, data_centre, member, group, term):
        client = self._client(member.address, member.instance)
        vote = await client.call("suspects", group, term, timeout_s=0.4)
        return data_centre, bool(vote)

    def lenders(self, workspace, count):
        """Return up to `count` live instances that did not decline a loan recently."""
        now = self._now()
        candidates = [
            member.instance
            for member in self.alive()
            if not member.leaving
            and self._declined.get((member.instance, workspace), 0.0) <= now
        ]
        return random.sample(candidates, min(count, len(candidates)))

    def note_declined(self, lender, workspace):
        """Exclude a lender from requests for a workspace for `DECLINED_RETRY_S`."""
        now = self._now()
        self._declined = {key: at for key, at in self._declined.items() if at > now}
        self._declined[(lender, workspace)] = now + DECLINED_RETRY_S

    async def borrow(self, lender, request):
        """Request a share from a peer; return its answer, or None on failure."""
        member = self.members.members.get(lender)
        if member is None:
            return None
        answer = await self._client(member.address, lender).call(
            "borrow", idl.LoanRequest(**request._asdict())
        )
        if answer is None:
            return None
        return shares.BorrowAnswer(
            answer.loan_id, answer.workspace, answer.share, answer.tokens
        )

    async def give_back(self, lender, message):
        """Return a loan to a peer before its end."""
        member = self.members.members.get(lender)
        if member is not None:
            await self._client(member.address, lender).call(
                "give_back", idl.LoanReturn(**message._asdict())
            )

    def close(self):
        """Cancel running tasks and close the connections to peers."""
        for task in list(self._tasks):
            task.cancel()
        for client in self._clients.values():
            client.close()
