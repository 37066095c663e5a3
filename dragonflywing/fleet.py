"""The other entry instances: gossip, shared configuration, votes and loans."""

import asyncio
import random

from dragonflywing import configuration, logs
from dragonflywing.decisions import membership, shares, versions
from dragonflywing.decisions.membership import Member
from dragonflywing.errors import UserError
from dragonflywing.peers import PeerClient, idl
from dragonflywing.supervisor import spawn

# Peers told at once of a new configuration.
PUSH_FANOUT = 4
# How long an instance that had nothing to lend is not asked again, in seconds.
DECLINED_S = 0.3
# Every how many exchanges one goes to another data centre.
FAR_EXCHANGE = 3


def _probers(group, members):
    """Return the members of one data centre that probe a group for it."""
    by_name = {member.instance: member for member in members}
    names = membership.rendezvous_order(group, by_name)[: membership.PROBERS]
    return [by_name[name] for name in names]


class Fleet:
    """What this instance knows of the others, and its calls to them."""

    def __init__(self, cfg, version_state, metrics, on_configuration):
        self.cfg = cfg
        self.versions = version_state
        self.metrics = metrics
        self.on_configuration = on_configuration
        me = Member(
            instance=cfg.instance,
            data_centre=cfg.data_centre,
            address=f"{cfg.host}:{cfg.peer_port}",
            incarnation=random.getrandbits(30),
            heartbeat=0,
            leaving=False,
            store_ok=False,
        )
        self.members = membership.MemberState(me)
        self.leaving = False
        self.store_ok = False
        self._declined = {}
        self.suspects_group = lambda group, term: False
        self.lend = None
        self.take_back = None
        self.report_json = lambda: "{}"
        self._data = b""
        self._clients = {}
        self._tasks = set()
        self._fetching = False

    def _now(self):
        return asyncio.get_running_loop().time()

    def alive(self):
        """Return the records of the other live instances."""
        return membership.alive(
            self.members, self._now(), self.cfg.times.member_timeout_s
        )

    def instances(self):
        """Return the names of the other live instances that are not leaving."""
        return [member.instance for member in self.alive() if not member.leaving]

    def near_instances(self):
        """Return the names of the other live instances of this data centre."""
        place = self.cfg.data_centre
        return [m.instance for m in self.alive() if m.data_centre == place]

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
        """Return what this instance tells its peers."""
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

    def take(self, digest):
        """Use a peer's digest; its sender is the first member."""
        now = self._now()
        fields = Member._fields
        members = [Member(*[getattr(r, f) for f in fields]) for r in digest.members]
        membership.merge(self.members, now, members)
        sender = members[0]
        mine = versions.version(self.versions)
        if digest.config_version > mine:
            spawn(self._tasks, self._fetch(sender.address, sender.instance))
        else:
            versions.confirm(
                self.versions, now, digest.config_version, digest.config_age
            )

    def exchange(self, digest):
        """Answer a peer's digest."""
        self.take(digest)
        return self.digest()

    def configuration_bytes(self):
        """Return the configuration in force as bytes, empty if there is none."""
        return self._data

    def suspects(self, group, term):
        """Return whether this instance suspects a group's primary."""
        return self.suspects_group(group, term)

    async def _fetch(self, address, instance):
        if self._fetching:
            return
        self._fetching = True
        try:
            data = await self._client(address, instance).call("configuration")
        finally:
            self._fetching = False
        if data:
            self.offer(data if isinstance(data, bytes) else data.encode(), "peer")

    def offer(self, data, source):
        """Adopt a configuration if it is newer, and tell some peers."""
        try:
            cfg = configuration.decode(data)
        except UserError as exc:
            self.metrics.count("refused.bad_configuration")
            logs.warn("bad_configuration", source=source, error=str(exc))
            return
        if not versions.adopt(self.versions, cfg):
            return
        self._data = data
        logs.event("configuration", version=cfg.version, source=source)
        self.metrics.count(f"configuration.from_{source}")
        self.on_configuration(cfg)
        alive = self.alive()
        for member in random.sample(alive, min(len(alive), PUSH_FANOUT)):
            spawn(self._tasks, self._exchange_with(member.address, member.instance))

    async def _exchange_with(self, address, instance=None):
        answer = await self._client(address, instance).call("exchange", self.digest())
        if answer is not None and answer.members:
            self.take(answer)

    def _targets(self, turn):
        alive = self.alive()
        if not alive:
            return [(address, None) for address in self.cfg.seeds]
        near = [x for x in alive if x.data_centre == self.cfg.data_centre]
        far = [x for x in alive if x.data_centre != self.cfg.data_centre]
        pool = far if far and (turn % FAR_EXCHANGE == 0 or not near) else near
        member = random.choice(pool)
        targets = [(member.address, member.instance)]
        if turn % 20 == 0 and self.cfg.seeds:
            # Seeds reach parts of the fleet that a cut has made forgotten.
            targets.append((random.choice(self.cfg.seeds), None))
        return targets

    async def run(self):
        """Exchange digests until cancelled."""
        turn = 0
        while True:
            turn += 1
            membership.advance_heartbeat(self.members, self.leaving, self.store_ok)
            membership.remove_silent(
                self.members, self._now(), self.cfg.times.member_timeout_s
            )
            for address, instance in self._targets(turn):
                spawn(self._tasks, self._exchange_with(address, instance))
            await asyncio.sleep(self.cfg.times.gossip_s * random.uniform(0.7, 1.3))

    # Votes and loans

    async def suspecting(self, group, term):
        """Return the other data centres in which an instance suspects a primary."""
        by_place = {}
        for member in self.alive():
            by_place.setdefault(member.data_centre, []).append(member)
        by_place.pop(self.cfg.data_centre, None)
        calls = []
        for place, members in by_place.items():
            for member in _probers(group, members):
                calls.append(self._vote(place, member, group, term))
        answers = await asyncio.gather(*calls)
        return {place for place, vote in answers if vote}

    async def _vote(self, place, member, group, term):
        client = self._client(member.address, member.instance)
        vote = await client.call("suspects", group, term, timeout_s=0.4)
        return place, bool(vote)

    def lenders(self, workspace, count):
        """Return some live instances that have not declined to lend lately."""
        now = self._now()
        able = [
            member.instance
            for member in self.alive()
            if not member.leaving
            and self._declined.get((member.instance, workspace), 0.0) <= now
        ]
        return random.sample(able, min(count, len(able)))

    def note_declined(self, lender, workspace):
        """Leave an instance out for a while after it had nothing to lend."""
        now = self._now()
        self._declined = {key: at for key, at in self._declined.items() if at > now}
        self._declined[(lender, workspace)] = now + DECLINED_S

    async def borrow(self, lender, request):
        """Ask a peer for a share; return its answer, or None."""
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
        """Tell a peer that a loan is over before its time."""
        member = self.members.members.get(lender)
        if member is not None:
            await self._client(member.address, lender).call(
                "give_back", idl.LoanReturn(**message._asdict())
            )

    def close(self):
        """Close the connections to peers."""
        for task in list(self._tasks):
            task.cancel()
        for client in self._clients.values():
            client.close()
