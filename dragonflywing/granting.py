"""Permits that the holder of the duty gives to the instances, and revokes.

See `decisions/permits.py`.
"""

import asyncio

from dragonflywing import logs
from dragonflywing.acknowledgements import pack_permits, unpack_permits
from dragonflywing.clock import boottime
from dragonflywing.decisions import permits
from dragonflywing.links import LinkLost, idl, pack, unpack
from dragonflywing.supervisor import spawn

# How long an instance may take to confirm that permits were revoked: several round
# trips between regions. It is asked again after a pause while its permits last.
REVOKE_TIMEOUT_S = 0.3
REVOKE_RETRY_S = 0.1
# The same for one that is told by the instance that has passed permits on to it.
FORWARD_TIMEOUT_S = 0.15
OWN_RENEW_S = 0.3


class Granting:
    """The permits that this instance gives while it holds the duty.

    `may_order()` says whether it holds the duty.
    """

    def __init__(self, settings, groups, cluster, may_order):
        self.settings = settings
        self.groups = groups
        self.cluster = cluster
        self.may_order = may_order
        self.state = None  # the permits.GrantState while the duty is held
        self._passed_on = {}  # when the permits of other instances lapse
        self._tasks = set()

    def begin(self, token):
        """Begin to give permits under the token of a duty that was just acquired."""
        self.state = permits.GrantState(token, boottime())

    def end(self):
        """Give no more permits, as the duty was lost or is released."""
        self.state = None

    def leader(self, group):
        """Return the permits.Leader of a group, None if none is permitted."""
        return self.state.leaders.get(group) if self.state else None

    def give(self, instance, data_centre=None):
        """Give permits to an instance; return (Version, {group: Leader}, seconds).

        Return None if this instance doesn't hold the duty. The other one may pass them
        on to those of its data centre, if that is given.
        """
        if self.state is None or not self.may_order():
            return None
        valid_s = permits.note_given(self.state, boottime(), instance, data_centre)
        return self.state.version, self.state.leaders, valid_s

    def renew_own(self):
        """Renew this instance's own permits if it holds the duty and they are older."""
        known = self.groups.permits
        is_current = self.state is not None and known.version == self.state.version
        if is_current and boottime() - known.granted_at < OWN_RENEW_S:
            return
        given = self.give(self.settings.instance)
        if given is not None:
            version, leaders, valid_s = given
            self.groups.note_permits(version, leaders, boottime(), valid_s)

    def permit(self, group, leader):
        """Permit a group's primary, and tell the instances at once."""
        if self.state is None or not permits.permit(self.state, group, leader):
            return
        logs.event(
            "permitted",
            group=group,
            token=self.state.version.token,
            database=leader.database,
            term=leader.term,
            base_term=leader.base.term,
            base_index=leader.base.index,
            voters=logs.join(leader.voters or ()),
        )
        self.renew_own()
        body = self._pack()
        for instance in list(self.cluster.peers):
            spawn(self._tasks, self._tell(instance, body, REVOKE_TIMEOUT_S))

    def _pack(self):
        """Return the present permits for a call that revises earlier ones."""
        return pack(pack_permits(self.state.version, self.state.leaders))

    def exclude(self, group, databases):
        """Tell all instances which databases of a group count for no commit any more.

        Those that are voters in the group's permit still do. Return whether there are
        more of them than before.
        """
        if self.state is None:
            return False
        now = boottime()
        revocation = permits.exclude(
            self.state, group, databases, self._data_centres(), now
        )
        if revocation is not None:
            self.renew_own()
            revocation.confirm(self.settings.instance, now, self._left_s())
            waiting = self._await(revocation, self._pack(), permits.ALONE_S)
            spawn(self._tasks, waiting)
        return revocation is not None

    def excluded(self, group):
        """Return the databases of a group that no instance counts any more."""
        return permits.excluded(self.state, group, boottime()) if self.state else set()

    def _data_centres(self):
        return {x.instance: x.data_centre for x in self.cluster.peers.values()}

    def withdraw(self, group):
        """Permit no primary of a group any longer; permits that were given lapse."""
        if self.leader(group) is not None:
            permits.withdraw(self.state, group)
            token = self.state.version.token
            logs.event("permit_withdrawn", group=group, token=token)

    async def _tell(self, instance, body, timeout_s):
        """Tell an instance of revised permits; return its Revised, None if it failed.

        A refused connection doesn't show that its process has ended: a network may
        refuse too.
        """
        try:
            answer = await self.cluster.call(instance, "permits", body, timeout_s)
        except LinkLost:
            return None
        return unpack(idl.Revised, answer)

    async def revoke(self, group):
        """Return once no instance has a permit for a group any more.

        That is when all have confirmed it, or the permits of the others have lapsed.
        """
        state, started_at = self.state, boottime()
        permits.withdraw(state, group)
        self.renew_own()
        revocation = permits.Revocation(state, self._data_centres(), started_at)
        revocation.confirm(self.settings.instance, started_at, self._left_s())
        await self._await(revocation, pack(pack_permits(state.version, state.leaders)))
        logs.event(
            "permits_revoked",
            group=group,
            token=state.version.token,
            number=state.version.number,
            took_s=boottime() - started_at,
            lapsed=logs.join(revocation.pending),
        )

    async def _await(self, revocation, body, alone_s=0.0):
        """Return once no instance relies on revoked permits any more.

        They may do so for `alone_s` after these have lapsed.
        """
        while revocation.wait_s(boottime(), alone_s) > 0:
            await self._tell_pending(revocation, body, alone_s)
            left_s = revocation.wait_s(boottime(), alone_s)
            await asyncio.sleep(min(REVOKE_RETRY_S, max(0.0, left_s)))

    async def _tell_pending(self, revocation, body, alone_s):
        """Tell the instances that have not confirmed yet, until none has a permit."""
        calls = {
            asyncio.create_task(self._tell(name, body, REVOKE_TIMEOUT_S)): name
            for name in revocation.pending
        }
        waiting = set(calls)
        try:
            while waiting and revocation.wait_s(boottime(), alone_s) > 0:
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=revocation.wait_s(boottime(), alone_s),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for call in done:
                    answer = call.result()
                    if answer is not None:
                        for name in answer.confirmed:
                            revocation.confirm(name, boottime(), {})
                        passed_on = answer.passed_on
                        revocation.confirm(calls[call], boottime(), passed_on)
        finally:
            for call in waiting:
                call.cancel()

    # At the other instances

    def note_passed_on(self, instance, lapses_at):
        """Note that this instance has passed permits on, which lapse at a time."""
        self._passed_on[instance] = lapses_at

    def _left_s(self):
        """Return for how many seconds permits last that this instance passed on."""
        now = boottime()
        self._passed_on = {x: end for x, end in self._passed_on.items() if end > now}
        return {name: end - now for name, end in self._passed_on.items()}

    async def revise(self, body):
        """Apply revised permits; return a packed Revised.

        Those to which this instance has passed permits on are told too. The holder of
        the duty may not reach them.
        """
        version, leaders = unpack_permits(unpack(idl.Permits, body))
        is_new = self.groups.revise_permits(version, leaders)
        names = list(self._left_s()) if is_new else []
        answers = await asyncio.gather(
            *[self._tell(name, body, FORWARD_TIMEOUT_S) for name in names]
        )
        confirmed = [x for x, answer in zip(names, answers, strict=True) if answer]
        left_s = self._left_s()
        passed_on = {x: end for x, end in left_s.items() if x not in confirmed}
        return pack(idl.Revised(confirmed=confirmed, passed_on=passed_on))
