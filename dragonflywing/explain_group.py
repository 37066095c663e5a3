"""Describes the replacements of a group's primaries from the logs of all instances.

The lines carry the times of the machines' clocks, which may differ. Positions are
written as term/index.
"""

import collections
import datetime
import json
import re
from typing import NamedTuple

# Steps of the instance that replaces a primary, in lines with the group.
STEPS = frozenset(
    {
        "replacement_started",
        "replacement_refused",
        "replacement_stopped",
        "replacement_not_needed",
        "permits_revoked",
        "databases_not_read",
        "evacuation_waits",
        "evacuation_late",
        "paused",
        "not_paused",
        "chosen",
        "order_found",
        "order_awaited",
        "order_not_written",
        "promotion_ordered",
        "promotion",
        "promotion_failed",
        "promoted",
        "promotion_not_seen",
        "permitted",
        "permit_withdrawn",
        "resumed",
        "not_resumed",
        "forgotten_pause",
        "databases_stay_paused",
        "roster_not_written",
    }
)
# What any instance learns of the group.
OBSERVED = frozenset(
    {
        "primary",
        "primary_denied",
        "no_leader",
        "roster",
        "database",
        "database_gone",
        "database_reborn",
        "database_caught_up",
    }
)
DUTY = frozenset({"duty_taken", "duty_lost", "duty_left", "duty_not_given_up"})
# What callers were told, and whether lines of it are missing.
TOLD = frozenset({"committed", "failed", "acknowledgement_held", "lines_left_out"})
# What callers were told is counted from so long before a replacement to as long after.
NEAR_S = 2.0
MAX_SHOWN_LINES = 60  # for each replacement
MAX_SHOWN_COMMITS = 5
# An order takes effect within this time, or never.
EFFECT_S = 15.0
OLD_LIST_S = 2.0  # a list of databases of this age is out of the ordinary
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Event(NamedTuple):
    """A log line with its time, as written and in seconds, and its fields."""

    at: float
    timestamp: str
    source: str
    kind: str
    fields: dict
    text: str

    def number(self, key):
        """Return a field as a number, 0 if the line has none, as it was cut off."""
        text = self.fields.get(key, "")
        try:
            return int(text) if text.isdigit() else float(text)
        except ValueError:
            return 0


class Replacement(NamedTuple):
    """A replacement of a primary: its lines, and the steps that are looked at.

    `effect` is the first line of any instance that has the ordered database as the
    primary of a later term. `end` is its time. If there is none, `end` is that of the
    next replacement's start, or when an order would be too late.
    """

    start: Event
    lines: list
    paused: list
    choice: Event | None
    order: Event | None
    effect: Event | None
    end: float

    def token(self):
        """Return the fencing token of its holder."""
        return self.start.number("token")


def to_events(lines):
    """Return those explain.Lines that may be shown as Events in order of time."""
    kinds = STEPS | OBSERVED | DUTY | TOLD
    events = [
        Event(_seconds(x.timestamp), *x[:3], parse_fields(x.text), x.text)
        for x in lines
        if x.kind in kinds
    ]
    return sorted(events, key=lambda item: (item.at, item.source))


def _seconds(timestamp):
    # The lines have no year; this one has a 29th of February.
    time = datetime.datetime.strptime(f"2000{timestamp}", "%Y%m%d %H:%M:%S.%f")
    return time.replace(tzinfo=datetime.UTC).timestamp()


def parse_fields(text):
    """Return the fields of a line of key=value pairs."""
    return {key: _unquote(value) for key, value in _FIELD.findall(text)}


def _unquote(value):
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


def _position(text):
    """Return the position in a field as a tuple, None if there is none."""
    term, _, index = (text or "").partition("/")
    return (int(term), int(index)) if term.isdigit() and index.isdigit() else None


def find_replacements(group, events):
    """Return the Replacements of a group in order of time."""
    own = [x for x in events if x.fields.get("group") == group or x.kind in DUTY]
    starts = [x for x in own if x.kind == "replacement_started"]
    lines = collections.defaultdict(list)
    for item in own:
        number = _section(item, starts)
        if number is not None:
            lines[number].append(item)
    return [
        _collect(number, starts, lines[number], own) for number in range(len(starts))
    ]


def _section(item, starts):
    """Return the number of the replacement to which a line belongs, or None."""
    begun = [n for n, start in enumerate(starts) if start.at <= item.at]
    own = [n for n in begun if starts[n].source == item.source]
    if item.kind in STEPS:
        return own[-1] if own else begun[-1] if begun else None
    is_observed = item.kind in OBSERVED or item.kind in DUTY
    return begun[-1] if begun and is_observed else None


def _collect(number, starts, lines, events):
    start = starts[number]
    own = [item for item in lines if item.source == start.source]
    order = next((x for x in own if x.kind == "promotion_ordered"), None)
    if order is None:  # logs of earlier versions
        order = next((x for x in own if x.kind == "promotion"), None)
    effect = None if order is None else _effect(order, events)
    end = (order or start).at + EFFECT_S
    if number + 1 < len(starts):
        end = min(end, starts[number + 1].at)
    return Replacement(
        start,
        lines,
        [item for item in own if item.kind == "paused"],
        next((item for item in own if item.kind == "chosen"), None),
        order,
        effect,
        effect.at if effect else end,
    )


def _effect(order, events):
    known_term = order.number("term") - 1
    if "known_term" in order.fields:
        known_term = order.number("known_term")
    for item in events:
        if (
            item.kind in ("primary", "promoted")
            and order.at <= item.at <= order.at + EFFECT_S
            and item.fields.get("database") == order.fields.get("database")
            and item.number("term") > known_term
        ):
            return item
    return None


# What is out of the ordinary


def notes(replacement, earlier, later, events):
    """Return what is out of the ordinary in a Replacement, as texts.

    `earlier` and `later` are the other replacements of the group.
    """
    return [
        *_token_notes(replacement, earlier),
        *_age_notes(replacement),
        *_step_notes(replacement),
        *_pause_notes(replacement, events),
        *_join_notes(replacement, events),
        *_order_notes(replacement, later),
        *_choice_notes(replacement),
        *_commit_notes(replacement, events),
        *_missing_line_notes(replacement, events),
    ]


def _token_notes(replacement, earlier):
    greatest = max(earlier, key=Replacement.token, default=replacement)
    if replacement.token() < greatest.token():
        yield (
            f"token {replacement.token()} is lower than {greatest.token()}, "
            f"with which {greatest.start.source} began an earlier replacement"
        )


def _age_notes(replacement):
    for item in (replacement.start, replacement.choice):
        age_s = item.number("list_age_s") if item else 0
        if age_s > OLD_LIST_S:
            yield f"the list of databases was {age_s:.1f} s old at {item.kind}"


def _step_notes(replacement):
    for item in replacement.lines:
        if item.kind == "permits_revoked" and item.fields.get("lapsed"):
            yield f"permits lapsed unconfirmed: {item.fields.get('lapsed')}"
        elif item.kind == "databases_not_read":
            yield f"the list could not be read: {item.fields.get('error')}"
        elif item.kind == "order_awaited":
            yield f"an earlier order of {item.fields.get('database')} was awaited"
        elif item.kind == "not_paused":
            yield f"{item.fields.get('database')} did not answer, or stayed the primary"


def _pause_notes(replacement, events):
    """Yield which databases did not stay paused until the effect."""
    if replacement.order is None:
        return
    first_told = _first_told(events)
    for pause in replacement.paused:
        name, received = pause.fields.get("database"), pause.fields.get("received")
        if pause.number("promised") < pause.number("for_term"):
            if pause.fields.get("command") == "pause":
                yield f"{name} answered a pause without promising its term"
        for item in events:
            if not pause.at < item.at <= replacement.end:
                continue
            if item.fields.get("database") != name:
                continue
            what = _end_of_pause(item, pause, first_told)
            if what:
                yield (
                    f"{name}, paused at {received}, was {what} "
                    f"{item.at - pause.at:.3f} s later ({item.source}), "
                    f"{_before_effect(replacement, item)}"
                )


def _end_of_pause(item, pause, first_told):
    """Return how a line ends a pause, None if it doesn't."""
    if item.kind in ("resumed", "not_resumed"):
        return "resumed" if item.kind == "resumed" else "told to resume, unanswered"
    if item.kind == "database_gone" and first_told.get(_gone_key(item)) is item:
        return "removed from the list"
    is_restart = item.kind in ("database", "database_reborn")
    is_later = item.fields.get("born") != pause.fields.get("born")
    if is_restart and is_later and first_told.get(_born_key(item)) is item:
        return f"restarted or joined (born={item.fields.get('born')})"
    return None


def _born_key(item):
    return item.fields.get("database"), item.fields.get("born")


def _gone_key(item):
    return (*_born_key(item), "gone")


def _first_told(events):
    """Return the first lines that tell of a database's start and end.

    Each instance learns of them on its own, and of all databases when it starts.
    """
    first_told = {}
    for item in events:
        if "born" not in item.fields:
            continue
        is_gone = item.kind == "database_gone"
        first_told.setdefault(_gone_key(item) if is_gone else _born_key(item), item)
    return first_told


def _before_effect(replacement, item):
    if replacement.effect is None:
        return "no effect of an order seen"
    return f"{replacement.effect.at - item.at:.3f} s before the effect"


def _join_notes(replacement, events):
    """Yield which databases started that had not been paused."""
    if replacement.order is None:
        return
    paused = {item.fields.get("database") for item in replacement.paused}
    first_told = _first_told(events)
    for item in replacement.lines:
        is_start = item.kind == "database_reborn" or item.fields.get("joined") == "True"
        if (
            is_start
            and item.at <= replacement.end
            and item.fields.get("database") not in paused
            and first_told[_born_key(item)] is item
        ):
            yield (
                f"{item.fields.get('database')} restarted or joined unpaused "
                f"{item.at - replacement.start.at:.3f} s after the start, "
                f"{_before_effect(replacement, item)}"
            )


def _order_notes(replacement, later):
    order, effect = replacement.order, replacement.effect
    if order is None:
        return
    if effect is None:
        yield f"no effect of the order of {order.fields.get('database')} was seen"
    for other in later:
        if other.order is None:
            continue
        if effect is not None and other.order.at < effect.at:
            yield (
                f"the effect came after a later order, of "
                f"{other.order.fields.get('database')} by {other.order.source}"
            )


def _choice_notes(replacement):
    chosen = _chosen_position(replacement)
    for pause in replacement.paused:
        received = _position(pause.fields.get("received"))
        if chosen and received and received > chosen:
            yield (
                f"{pause.fields.get('database')} was paused at "
                f"{pause.fields.get('received')}, with a longer log than the chosen one"
            )


def _chosen_position(replacement):
    """Return the position at which the chosen database was paused, or None."""
    if replacement.order is None:
        return None
    for pause in replacement.paused:
        if pause.fields.get("database") == replacement.order.fields.get("database"):
            return _position(pause.fields.get("received"))
    return None


def _commit_notes(replacement, events):
    """Yield the acknowledged commits that the promoted database may lack."""
    chosen = _chosen_position(replacement)
    if chosen is None or replacement.effect is None:
        return
    new_term = replacement.effect.number("term")
    names = _names(replacement)
    commits = []
    for item in events:
        if item.kind == "committed" and item.fields.get("database") in names:
            position = item.number("term"), item.number("index")
            if chosen < position and position[0] < new_term:
                commits.append(item)
    for item in commits[:MAX_SHOWN_COMMITS]:
        yield (
            f"request {item.fields.get('request')} was acknowledged by {item.source} "
            f"at {item.fields.get('database')} "
            f"{item.fields.get('term')}/{item.fields.get('index')}, after the position "
            f"{chosen[0]}/{chosen[1]} of the chosen database"
        )
    if len(commits) > MAX_SHOWN_COMMITS:
        yield f"and {len(commits) - MAX_SHOWN_COMMITS} more such requests"


def _names(replacement):
    """Return the names of the databases that a replacement knew."""
    fields = replacement.start.fields
    names = {item.fields.get("database") for item in replacement.paused}
    names |= {fields.get("primary")}
    for key in ("voters", "listed", "roster"):
        names |= set(fields.get(key, "").split(","))
    return names - {None, "", "None"}


def _missing_line_notes(replacement, events):
    for item in _near(replacement, events):
        if item.kind == "lines_left_out":
            count, kind = item.fields.get("count"), item.fields.get("kind")
            yield f"{item.source} left out {count} lines of {kind}"


# What callers were told


def _near(replacement, events):
    first = replacement.start.at - NEAR_S
    last = replacement.end
    if replacement.effect is None:
        last = min(last, max(x.at for x in replacement.lines))
    return [item for item in events if first <= item.at <= last + NEAR_S]


def told(replacement, events):
    """Return what callers were told of writes near a Replacement, as texts."""
    names, counts, last = _names(replacement), collections.Counter(), {}
    for item in _near(replacement, events):
        fields = item.fields
        if fields.get("database") not in names:
            continue
        if item.kind == "committed":
            key = f"acknowledged at {fields.get('database')}"
            position = f"{fields.get('term')}/{fields.get('index')}"
            last[key] = (
                f", the last {position} by {item.source} "
                f"at {item.at - replacement.start.at:+.3f}"
            )
        elif item.kind == "failed" and fields.get("kind") in ("write", "commit"):
            key = f"{fields.get('code')} at {fields.get('database')}"
        elif item.kind == "acknowledgement_held":
            key = f"held, {fields.get('verdict')} at {fields.get('database')}"
        else:
            continue
        counts[key] += 1
    return [f"{key}: {counts[key]}{last.get(key, '')}" for key in sorted(counts)]


# The text


def describe(group, lines):
    """Return the history of a group's replacements as lines of text, if any."""
    events = to_events(lines)
    found = find_replacements(group, events)
    if not found:
        return []
    sources = {item.source for item in events}
    text = [
        f"{len(found)} replacements of {group} in {len(sources)} logs, "
        "ordered by the machines' clocks, which may differ"
    ]
    for number, item in enumerate(found):
        text += ["", _title(number, item)]
        text += _shown_lines(item, events)
        text += [f"  callers: {told_of}" for told_of in told(item, events)]
        text += [
            f"  note: {note}"
            for note in notes(item, found[:number], found[number + 1 :], events)
        ]
    return text


def _title(number, replacement):
    start, order, effect = replacement.start, replacement.order, replacement.effect
    text = (
        f"replacement {number + 1}: {start.timestamp} by {start.source}, "
        f"token {replacement.token()}, "
        f"reason {start.fields.get('reason')}, "
        f"{start.fields.get('primary')} -> "
        f"{order.fields.get('database') if order else 'none ordered'}"
    )
    if effect is not None:
        text += (
            f", in effect as term {effect.fields.get('term')} "
            f"{effect.at - order.at:.3f} s after the order"
        )
    return text


def _shown_lines(replacement, events):
    """Return the lines of a replacement; of equal news only the first."""
    start, seen, shown = replacement.start, set(), []
    taken = [
        item
        for item in events
        if item.kind == "duty_taken"
        and item.source == start.source
        and item.at <= start.at
    ]
    for item in taken[-1:] + replacement.lines:
        if item.kind in OBSERVED:
            news = item.kind, item.text.partition(" was=")[0]
            if news in seen:
                continue
            seen.add(news)
        shown.append(f"  {item.at - start.at:+.3f} {item.source} {item.text}")
    if len(shown) > MAX_SHOWN_LINES:
        left_out = len(shown) - MAX_SHOWN_LINES
        shown = [*shown[:MAX_SHOWN_LINES], f"  and {left_out} more lines"]
    return shown
