"""Where a statement may run and pass, by the regions that its lists allow.

Answers the load of routes and workspaces whose data must stay in some regions, while
databases, homes and the lists themselves change. A list names regions; the settings
say to which region each data centre belongs. The allowed places of a statement are a
set of data centres, None if no list applies. A data centre without a known region is
in no such set.
"""

from typing import NamedTuple


class Problem(NamedTuple):
    """A list that allows less than its author may expect.

    `event` is "unknown_region" or "disjoint_regions", `fields` are those of its log
    line.
    """

    event: str
    fields: dict


def allowed_data_centres(route, workspace, regions):
    """Return the data centres that a route and a workspace allow, None for all.

    `workspace` is None for callers without one. `regions` maps data centres to
    regions. If both have a list, both apply.
    """
    of_workspace = workspace.allowed_regions if workspace is not None else None
    if not route.allowed_regions and not of_workspace:
        return None
    names = route.allowed_regions or of_workspace
    if of_workspace:
        names &= of_workspace
    return frozenset(place for place, region in regions.items() if region in names)


def common_data_centres(routes, group, regions):
    """Return the data centres that all routes of a group allow, None for all."""
    lists = [
        route.allowed_regions
        for route in routes
        if route.group == group and route.allowed_regions
    ]
    if not lists:
        return None
    names = frozenset.intersection(*lists)
    return frozenset(place for place, region in regions.items() if region in names)


def find_problems(cfg, regions):
    """Return the Problems of a configuration's lists.

    These are unknown regions, and for each route the workspaces that may use no
    region on it.
    """
    known = frozenset(regions.values())
    limited = [item for item in cfg.workspaces.values() if item.allowed_regions]
    problems = []
    for route in cfg.routes.values():
        if not route.allowed_regions:
            continue
        problems += _unknown_regions("route", route, known)
        names = [
            item.name
            for item in limited
            if not item.allowed_regions & route.allowed_regions
        ]
        if names:
            fields = {"route": route.name, "count": len(names), "first": names[0]}
            problems.append(Problem("disjoint_regions", fields))
    for item in limited:
        problems += _unknown_regions("workspace", item, known)
    return problems


def _unknown_regions(kind, item, known):
    unknown = sorted(item.allowed_regions - known)
    if not unknown:
        return []
    fields = {kind: item.name, "regions": ",".join(unknown)}
    return [Problem("unknown_region", fields)]
