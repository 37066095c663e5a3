"""A model of the replacement of a group's primary, driven step by step.

The decisions of a replacement run over a model of the group. Not part of it: reads and
their fences, failures of the store, relays, databases that are started again under
their name, and the order of pauses in an evacuation.

Any database may be unlisted, out of reach or receive nothing while it runs, also one
that has just joined and that no instance knows.
"""

from dragonflywing.control import STATUS_TIMEOUT_S
from dragonflywing.decisions import orders, permits, replacement, rosters
from dragonflywing.decisions.permits import Verdict
from dragonflywing.decisions.positions import (
    ZERO,
    Status,
    confirmed_primary,
    intersecting_quorum,
)
from dragonflywing.replacer import (
    LEASE_MARGIN_S,
    PAUSED_FOR_S,
    PROMOTE_TIMEOUT_S,
    PROMOTION_EFFECT_TIMEOUT_S,
)
from dragonflywing.standin import group_model

INITIAL = ["a", "b", "c"]
INSTANCES = ("x", "y")
SYNC_REPLICAS = 1
G = "g"
STEPS = ["read_list", "pause", "choose", "send", "await_effect", "end"]


class Instance:
    """One instance: its permits and what it knows of the group."""

    def __init__(self):
        self.permits = permits.PermitState()
        self.orders = orders.OrderState()
        self.primary = INITIAL[0]
        self.term = 1
        # The round of status queries that is under way.
        self.witnesses = {}
        self.trusted_before = 0.0
        self.asked_at = 0.0
        # The positions that replicas have reported.
        self.received = {}

    def note_primary(self, name, term):
        if term > self.term:
            self.primary, self.term = name, term

    def note_permits(self):
        """Note the primary that is permitted."""
        leader = self.permits.leaders.get(G)
        if leader is not None:
            self.note_primary(leader.database, leader.term)

    def find_order(self, stored, now):
        """Apply the order in the store, as a new holder of the duty does."""
        known = orders.pending(self.orders, G, now)
        if stored is None or (known is not None and known.term > stored.term):
            return
        orders.record(self.orders, G, stored, now)


class Replacement:
    """A replacement that is under way; `steps` are those that remain."""

    def __init__(self, statuses, term, steps, is_unfinished):
        self.statuses = statuses
        self.term = term
        self.steps = steps
        self.is_unfinished = is_unfinished  # begun for an order without effect
        self.members = set(statuses)
        self.revocation = None
        self.to_pause = []
        self.paused = []
        self.paused_at = 0.0
        self.earlier = (None, None)  # the orders.Order and when it was Sent
        self.record = None
        self.sent = None  # the group_model.Order, sent at `sent_at`
        self.sent_at = 0.0


class Holder:
    """The instance that holds the duty, with what it has read from the store."""

    def __init__(self, name, token, now):
        self.name = name
        self.since = now
        self.grants = permits.GrantState(token, now)
        self.receiving = None
        self.roster = rosters.RosterState()
        self.replacement = None


class ReplacementModel:
    """A group, two instances and the replacements of its primary.

    `told` holds the positions of the commits that callers were told of; `has_permits`,
    `has_voters` and `has_records` switch parts of the protocol off.
    """

    has_permits = True
    has_voters = True
    has_records = True

    def __init__(self):
        self.now = 100.0
        self.group = group_model.Group(INITIAL, SYNC_REPLICAS)
        self.instances = {name: Instance() for name in INSTANCES}
        self.stored_order = None
        self.roster = set(INITIAL)
        self.unlisted = set()
        self.held = []  # (instance, Commit): acknowledgements that callers wait for
        self.owners = {}  # {Commit: instance}
        self.told = []
        self.token = 1
        self.holder = Holder("x", self.token, self.now - 10.0)
        self.answers = []  # permits on their way to instances
        self.lost = 0
        self.progress = 0
        self.check()
        for name in INSTANCES:
            self.exchange(name, False)

    def assert_kept(self):
        """Check the leader, and the databases that an order may promote now."""
        ordered = {x.database for x in self.group.orders if x.until >= self.now}
        self.note_progress(ordered)
        for name in sorted(ordered & self.running() | {self.group.leader}):
            for position in self.told:
                holds = self.group.databases[name].holds(position)
                assert holds, f"{name} lacks {position}"

    def note_progress(self, ordered):
        """Guide the search to what may lose a commit that callers were told of.

        That is an order that is late, or a quorum without the commit.
        """
        term = self.group.term
        is_told = term > 1 and any(position.term == term for position in self.told)
        score = 2 * min(term, 3) + 3 * is_told + 2 * bool(ordered)
        score += 4 * (is_told and bool(ordered))
        self.progress = max(self.progress, score, self.quorum_without())

    def quorum_without(self):
        """Return how near the counted databases are to a quorum that lacks a commit."""
        names, running = self.voters(), self.running()
        lacking = [
            sum(n in running and not self.group.databases[n].holds(x) for n in names)
            for x in self.told
        ]
        return 10 * max(lacking, default=0) / self.quorum()

    # The platform

    def running(self):
        """Return the names of the databases that aren't lost for good."""
        return {x.name for x in self.group.databases.values() if not x.is_gone}

    def primaries(self):
        return {n for n in self.running() if self.group.databases[n].is_primary}

    def has_both(self):
        return self.primaries() and self.running() > self.primaries()

    def reaches(self, one, other):
        return group_model.reaches(self.group, one, other)

    def cut_off(self, one, other):
        if one != other:
            self.group.broken.add(frozenset((one, other)))

    def partition(self, side):
        """Let some of the parties reach none of the others."""
        for one in side:
            for other in self.running() | set(INSTANCES):
                if other not in side:
                    self.group.broken.add(frozenset((one, other)))

    def reconnect(self, name):
        self.group.broken = {pair for pair in self.group.broken if name not in pair}

    def wait(self, seconds, is_usual):
        """Let time pass; usually all do then what they do regularly."""
        self.now += seconds
        if not is_usual:
            return
        for name in sorted(self.running()):
            self.catch_up(name)
        if self.holder.replacement is None:
            self.check()
        for name in INSTANCES:
            self.exchange(name, False)

    def restart(self, name):
        group_model.restart(self.group, name, self.now)

    def join(self, primary):
        self.hold(group_model.join(self.group, "d", primary, self.now))

    def lose(self, name):
        self.lost += 1
        group_model.lose(self.group, name)

    def change_list(self, name):
        """Let the platform no longer list a database, or list it again."""
        self.unlisted ^= {name}

    def take_effect(self):
        """Let the earliest order take effect; a late one never does."""
        order = self.group.orders[0]
        if order.until >= self.now:
            group_model.take_effect(self.group, order)
        else:
            self.group.orders.remove(order)

    def catch_up(self, name):
        """Let a database follow the leader if it can, or else a former primary."""
        leader, database = self.group.leader, self.group.databases[name]
        if database.term < self.group.term and self.reaches(name, leader):
            group_model.follow(self.group, name)
        for primary in sorted(self.primaries()):
            self.receive(primary, name)

    def receive(self, primary, replica):
        if group_model.may_receive(self.group, primary, replica):
            self.hold(group_model.receive(self.group, primary, replica))

    # Callers

    def hold(self, commits):
        for item in commits:
            self.held.append((self.owners[item], item))

    def write(self, instance, primary, replica):
        """Commit through an instance; one replica may receive it at once."""
        if primary not in self.primaries() or not self.reaches(instance, primary):
            return
        self.owners[group_model.commit(self.group, primary)] = instance
        self.receive(primary, replica)

    def tell(self):
        """Tell callers of the commits that their instances' permits cover."""
        for instance, item in list(self.held):
            verdict = self.judge(instance, item)
            if verdict is Verdict.PERMITTED and not self.is_held(instance, item):
                continue
            if verdict is Verdict.PERMITTED:
                self.told.append(item.position)
            # A round of queries that is under way may still confirm it.
            in_round = self.now - self.instances[instance].asked_at <= STATUS_TIMEOUT_S
            if verdict is Verdict.PERMITTED or (
                verdict is Verdict.REPLACED and not in_round
            ):
                self.held.remove((instance, item))

    def judge(self, instance, item):
        if not self.has_permits:
            return Verdict.PERMITTED
        self.renew_own()
        state = self.instances[instance].permits
        return permits.judge(state, self.now, G, item.database, item.position)

    def is_held(self, instance, item):
        """Return whether enough voters are known to hold a permitted commit."""
        asker = self.instances[instance]
        leader = asker.permits.leaders.get(G)
        if not self.has_voters or leader is None:
            return True
        return permits.is_held(leader, item.position, asker.received, SYNC_REPLICAS)

    def ask_voters(self, instance):
        """Query what the voters have received, if an instance awaits it."""
        asker = self.instances[instance]
        leader = asker.permits.leaders.get(G)
        if leader is None or leader.voters is None:
            return
        for name in leader.voters:
            item = self.group.databases[name]
            if self.reaches(instance, name) and not item.is_primary:
                asker.received[name] = item.received

    def ask_databases(self, instance):
        """Query the roster's databases; the round may last until a time-out."""
        asker = self.instances[instance]
        asker.asked_at = self.now
        asker.trusted_before = permits.trusted_before(asker.permits, G)
        asker.witnesses = {
            name: permits.Witness(
                x.is_primary, max(x.term, x.promised), x.received, x.started_at
            )
            for name, x in self.group.databases.items()
            if name in self.roster and self.reaches(instance, name)
        }

    def confirm(self, instance):
        asker = self.instances[instance]
        if self.now - asker.asked_at > STATUS_TIMEOUT_S:
            return
        counted = permits.counted_without_permit(asker.permits, G, asker.witnesses)
        witnesses = [asker.witnesses[name] for name in counted]
        for owner, item in list(self.held):
            if (
                owner == instance
                and self.judge(instance, item) is not Verdict.REPLACED
                and permits.is_confirmed(
                    item.position, witnesses, asker.trusted_before, SYNC_REPLICAS
                )
            ):
                self.held.remove((owner, item))
                self.told.append(item.position)

    # Permits

    def give_permits(self, name):
        """Return the arguments of permits.apply for an instance that asks now."""
        grants = self.holder.grants
        valid_s = permits.note_given(grants, self.now, name)
        return grants.version, dict(grants.leaders), self.now, valid_s

    def renew_own(self):
        permits.apply(self.own.permits, *self.give_permits(self.holder.name))
        self.own.note_permits()

    def exchange(self, instance, is_late):
        """Let an instance ask the holder for permits, whose answer may come late."""
        holder = self.holder
        if instance == holder.name:
            self.renew_own()
        elif self.reaches(instance, holder.name):
            self.answers.append((instance, self.give_permits(instance)))
            asker = self.instances[instance]
            asker.note_primary(self.own.primary, self.own.term)
            if not is_late:
                self.deliver()

    def deliver(self):
        instance, answer = self.answers.pop()
        permits.apply(self.instances[instance].permits, *answer)
        self.instances[instance].note_permits()

    def tell_permits(self, name):
        """Return whether an instance has confirmed the holder's permits."""
        grants = self.holder.grants
        if not self.reaches(name, self.holder.name):
            return False
        permits.revise(
            self.instances[name].permits, grants.version, dict(grants.leaders)
        )
        self.instances[name].note_permits()
        return True

    def permit(self, leader):
        if permits.permit(self.holder.grants, G, leader):
            self.renew_own()
            for name in INSTANCES:
                self.tell_permits(name)

    def withdraw(self):
        if G in self.holder.grants.leaders:
            permits.withdraw(self.holder.grants, G)

    # The holder of the duty

    def listed(self):
        return self.running() - self.unlisted

    def statuses(self, names):
        """Return the databases that the holder reaches, as (primary, term, ...)."""
        found = {}
        for name in sorted(names):
            if not self.reaches(self.holder.name, name):
                continue
            item = self.group.databases[name]
            found[name] = (item.is_primary, item.term, item.promised, item.received)
            if item.is_primary:
                self.own.note_primary(name, item.term)
        return found

    @property
    def own(self):
        return self.instances[self.holder.name]

    def voters(self):
        """Return the databases that count for the quorum."""
        listed = self.listed()
        if any(self.group.databases[name].is_primary for name in listed):
            return self.roster | listed
        return self.roster

    def quorum(self):
        return intersecting_quorum(len(self.voters()), SYNC_REPLICAS)

    def pending_order(self):
        if not self.has_records:
            return None
        self.note_leader()
        return orders.pending(self.own.orders, G, self.now)

    def may_still_promote(self):
        self.note_leader()
        return orders.is_unfinished(self.own.orders, G, self.now)

    def note_leader(self):
        orders.note_leader(self.own.orders, G, self.own.primary, self.own.term)

    def settle_order(self):
        """Forget the holder's order once it can have no effect any more."""
        known = self.own.orders
        if G not in known.orders or self.may_still_promote():
            return
        if orders.is_old(known, G, self.now) or not known.orders[G].may_repeat:
            self.stored_order = None
            orders.settle(known, G)

    def take_over(self, name, knows_term):
        """Let another instance acquire the duty once the lease has ended.

        The former holder has acted until the margin before that.
        """
        if name == self.holder.name:
            return
        self.now += LEASE_MARGIN_S
        if self.holder.replacement is not None:
            self.end_call(self.holder.replacement)
        self.token += 1
        asker = self.instances[name]
        if not knows_term:
            asker.primary, asker.term, asker.orders = None, 0, orders.OrderState()
        if self.has_records:
            asker.find_order(self.stored_order, self.now)
        else:
            asker.orders = orders.OrderState()
        self.holder = Holder(name, self.token, self.now)

    def check(self):
        """Check the group as the holder does every now and then."""
        holder, listed = self.holder, self.listed()
        excluded = self.excluded(listed)
        reached = self.statuses(listed)
        votes = [
            Status(n, is_primary, max(term, promised), received, received, False, 0)
            for n, (is_primary, term, promised, received) in reached.items()
        ]
        needed = rosters.votes_needed(
            self.quorum(), listed, set(reached), SYNC_REPLICAS
        )
        primary = confirmed_primary(votes, len(listed), needed)
        if primary is not None and primary.term < self.own.term:
            primary = None
        self.update_roster(listed, reached, primary, excluded)
        if self.has_records and self.finish_order():
            return
        if primary is not None and self.has_permits:
            self.update_permit(primary, reached)
        if self.has_voters:
            self.exclude(self.roster - listed)
        if G in holder.grants.leaders:
            self.settle_order()
        leading = [term for is_primary, term, _, _ in reached.values() if is_primary]
        if leading and self.now - holder.since >= PROMOTION_EFFECT_TIMEOUT_S:
            forgotten = [n for n, x in reached.items() if x[2] > max(leading)]
            self.resume(forgotten)

    def excluded(self, listed):
        """Return the databases that no instance counts for a commit any more."""
        if not self.has_voters:
            return self.roster - listed
        return permits.excluded(self.holder.grants, G, self.now)

    def exclude(self, names):
        """Tell the instances that databases are no voters any more."""
        data_centres = dict.fromkeys(INSTANCES, "dc")
        grants = self.holder.grants
        permits.exclude(grants, G, names, data_centres, self.now)
        for name in INSTANCES:
            is_told = self.tell_permits(name)
            if is_told or name == self.holder.name:
                self.renew_own()
                for revocation in grants.excluded.values():
                    revocation.confirm(name, self.now, {})

    def voters_of(self, roster):
        """Return the databases of a roster that count for commits."""
        return frozenset(roster & self.listed()) if self.has_voters else None

    def update_roster(self, listed, reached, primary, excluded):
        self.roster = rosters.compute_roster(
            self.holder.roster,
            self.roster,
            listed,
            primary.database if primary else None,
            {n: received for n, (_, _, _, received) in reached.items()},
            SYNC_REPLICAS,
            excluded,
        )

    def finish_order(self):
        """Complete an order that has had no effect; return whether there is one."""
        if not self.may_still_promote():
            return False
        self.withdraw()
        if orders.may_resend(self.own.orders, G, self.now):
            self.begin(is_unfinished=True)
        return True

    def update_permit(self, primary, reached):
        holder = self.holder
        received = [
            x[3]
            for name, x in reached.items()
            if name in self.roster and name != primary.database
        ]
        if holder.receiving is None:
            holder.receiving = replacement.HealthState(self.now)
        replacement.record_positions(
            holder.receiving, self.now, primary.received, received
        )
        is_unsafe = holder.receiving.is_behind or (
            len(self.roster) > 1 and not received
        )
        if is_unsafe and not self.has_voters:
            self.withdraw()
            return
        known = holder.grants.leaders.get(G)
        if known is not None and known[:2] == (primary.database, primary.term):
            base = known.base
        else:
            order = self.own.orders.orders.get(G)
            is_ordered = order is not None and order.database == primary.database
            base = order.base if is_ordered and order.term < primary.term else ZERO
        voters = self.voters_of(self.roster)
        self.permit(permits.Leader(primary.database, primary.term, base, voters))

    # A replacement, in steps between which anything may happen

    def replace(self, until, is_late):
        """Begin a replacement or go on with it until one of its next steps.

        An order that isn't late takes effect at once.
        """
        if self.holder.replacement is None and not self.begin():
            return
        work = self.holder.replacement
        while work.steps[0](work):
            if work.steps.pop(0) == self.send and not is_late:
                group_model.take_effect(self.group, work.sent)
            if work.steps[0].__name__ == until:
                break

    def begin(self, is_unfinished=False):
        """Begin a replacement; return whether enough databases are reached."""
        reached = self.statuses(self.listed())
        if len(reached.keys() & self.voters()) < self.quorum():
            return False
        terms = [max(x[1], x[2]) for x in reached.values()]
        steps = [self.revoke, self.read_list, self.choose]
        if not self.has_permits:
            steps.remove(self.revoke)
        term = max([self.own.term, *terms]) + 1
        self.holder.replacement = Replacement(reached, term, steps, is_unfinished)
        return True

    def end(self):
        self.holder.replacement = None
        return False

    def revoke(self, work):
        holder = self.holder
        if work.revocation is None:
            permits.withdraw(holder.grants, G)
            self.renew_own()
            work.revocation = permits.Revocation(
                holder.grants, dict.fromkeys(INSTANCES, "dc"), self.now
            )
            work.revocation.confirm(holder.name, self.now, {})
        for name in list(work.revocation.pending):
            if self.tell_permits(name):
                work.revocation.confirm(name, self.now, {})
        if work.revocation.wait_s(self.now) > 0:
            return False
        if work.is_unfinished and not self.may_still_promote():
            return self.end()
        return True

    def read_list(self, work):
        work.paused_at = self.now
        listed = self.listed()
        if self.has_permits:
            work.statuses |= self.statuses(listed - work.members)
        work.to_pause = [name for name in work.statuses if name in listed]
        work.steps[1:1] = [self.pause] * len(work.to_pause)
        return True

    def pause(self, work):
        """Step down or pause one of the databases, if it is reached."""
        name = work.to_pause.pop(0)
        if not self.reaches(self.holder.name, name):
            return True
        is_primary, _, _, received = work.statuses[name]
        command = group_model.step_down if is_primary else group_model.pause
        command(self.group, name, work.term)
        item = self.group.databases[name]
        is_void = item.received < received or not (is_primary or item.term < work.term)
        if not item.is_primary and not (is_void and self.has_permits):
            work.paused.append(
                replacement.PausedDatabase(name, item.received, False, False)
            )
        return True

    def choose(self, work):
        voters = self.voters()
        if self.has_permits:
            paused = [x._replace(is_voter=x.database in voters) for x in work.paused]
        else:
            paused = [x for x in work.paused if x.database in voters]
        earlier = self.pending_order()
        only = earlier and earlier.database
        chosen = replacement.choose(paused, self.quorum(), only)
        if chosen is None or chosen not in self.listed():
            self.resume([x.database for x in work.paused])
            return self.end()
        base = next(x.received for x in work.paused if x.database == chosen)
        known_term = max([self.own.term, *[x[1] for x in work.statuses.values()]])
        work.earlier = (earlier, self.own.orders.sent.get(G))
        work.record = orders.Order(chosen, known_term, base, earlier is not None)
        self.stored_order = work.record
        orders.record(self.own.orders, G, work.record, self.now)
        work.steps += [self.send, self.await_effect]
        return True

    def send(self, work):
        if self.has_permits and self.now - work.paused_at > PAUSED_FOR_S:
            self.take_back(work)
            self.resume([x.database for x in work.paused])
            return self.end()
        until = self.now + orders.LATE_S
        work.sent = group_model.Order(work.record.database, until)
        work.sent_at = self.now
        self.group.orders.append(work.sent)
        return True

    def take_back(self, work):
        """Record that an order was not sent."""
        earlier, sent = work.earlier
        orders.settle(self.own.orders, G)
        if earlier is not None:
            orders.restore(self.own.orders, G, earlier, sent)
        self.stored_order = earlier

    def end_call(self, work):
        """Let the platform have accepted an order at the end of its call."""
        if work.sent is not None:
            end = min(self.now, work.sent_at + PROMOTE_TIMEOUT_S)
            work.sent.until = end + orders.LATE_S
            orders.record(self.own.orders, G, work.record, end)

    def await_effect(self, work):
        """End the call, and the replacement if the order has taken effect."""
        database, base = work.record.database, work.record.base
        self.end_call(work)
        last_at = self.own.orders.sent[G].last_at
        status = self.statuses([database]).get(database)
        is_late = self.now - last_at > PROMOTION_EFFECT_TIMEOUT_S
        if status is None or not status[0] or is_late:
            return self.end()
        names = self.listed() | {x.database for x in work.paused}
        if self.has_permits:
            base = base if status[3] >= base else ZERO
            names = rosters.roster_after_promotion(
                self.roster,
                self.listed(),
                {x.database: x.received for x in work.paused},
                work.record.base,
                SYNC_REPLICAS,
            )
            voters = self.voters_of(self.roster & names)
            self.permit(permits.Leader(database, status[1], base, voters))
        self.settle_order()
        self.roster = names
        return self.end()

    def resume(self, names):
        if self.may_still_promote():
            return
        for name in names:
            if self.reaches(self.holder.name, name):
                group_model.resume(self.group, name)
