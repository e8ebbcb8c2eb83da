"""The sites of a plan: a KDL document of its own, checked by the same schema as a gateway's settings."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from swiftwell.settings.document import Node, SettingsError, parse, read_document
from swiftwell.settings.schema import Reader, setting


@dataclass(frozen=True, kw_only=True)
class SiteWorkers:
    """Workers of one kind at a site."""

    kind: str = setting(arg=True, low=1, doc="kind of machine, for people")
    count: int = setting(low=1, high=100_000, doc="how many")
    cores: float = setting(low=0.01, high=10_000, doc="cores of one")
    speed: float = setting(
        1.0, low=0.01, high=100, doc="speed of a core, against the one that work is told for"
    )
    memory_mb: float = setting(low=1, high=1e9, doc="MB of one for loaded copies")


@dataclass(frozen=True, kw_only=True)
class SiteLoad:
    """Calls of one class that come at a site on a usual busy day."""

    band: str = setting(arg=True, low=1, doc="class of calls")
    tenant: str = setting("", doc="tenant, where they are planned apart")
    rate: float = setting(low=0.001, high=1e7, doc="calls a second")
    work_ms: float = setting(low=0.01, high=1e7, doc="ms of work of one on a core of speed 1, on average")
    worth: float = setting(1.0, low=0.0, high=1e6, doc="what an answer is worth")
    functions: int = setting(1, low=1, high=1_000_000, doc="functions that they spread over")
    memory_mb: float = setting(100.0, low=0.01, high=1e6, doc="MB of one loaded copy")


@dataclass(frozen=True, kw_only=True)
class OneSite:
    """A site."""

    name: str = setting(arg=True, low=1, doc="name, the zone of its workers")
    workers: tuple[SiteWorkers, ...] = setting(node="workers", doc="workers of one kind")
    loads: tuple[SiteLoad, ...] = setting((), node="load", doc="calls of one class that come here")
    served_by: tuple[str, ...] = setting(
        (), doc="sites that may serve its calls, itself included; none is all"
    )


@dataclass(frozen=True, kw_only=True)
class Crossing:
    """What it costs to serve a call elsewhere."""

    origin: str = setting(arg=True, low=1, doc="site where the call comes")
    to: str = setting(low=1, doc="site where it is served")
    worth: float = setting(low=0.0, high=1e6, doc="worth that each such call loses")


@dataclass(frozen=True, kw_only=True)
class SitesDocument:
    """All sites."""

    sites: tuple[OneSite, ...] = setting(node="site", doc="a site")
    sacrifice: tuple[str, ...] = setting(
        (), doc="classes in the order in which they are refused, first one first"
    )
    crossings: tuple[Crossing, ...] = setting((), node="crossing", doc="what a call served elsewhere costs")


def read(text: str, file: str) -> SitesDocument:
    """Raises SettingsError with everything that is wrong."""
    reader = Reader(file)
    found: SitesDocument = reader.read(SitesDocument, Node("", [], {}, parse(text, file), 1))
    names = [one.name for one in found.sites or ()]
    request_classes = {load.band for one in found.sites or () for load in one.loads}
    if len(names) < 2:
        reader.add_problem(1, "at least two `site NAME` are expected: with one there is nowhere to go")
    for one in found.sites or ():
        if names.count(one.name) > 1:
            reader.add_problem(reader.line_of(one), f"site {one.name!r} is given twice")
        for other in one.served_by:
            if other not in names:
                reader.add_problem(reader.line_of(one), f"site {one.name}: served-by names no site {other!r}")
        seen = [(load.band, load.tenant) for load in one.loads]
        for load in one.loads:
            if seen.count((load.band, load.tenant)) > 1:
                reader.add_problem(
                    reader.line_of(load), f"site {one.name}: load {load.band!r} is given twice"
                )
    for cross in found.crossings:
        for name in (cross.origin, cross.to):
            if name not in names:
                reader.add_problem(reader.line_of(cross), f"crossing names no site {name!r}")
    for request_class in found.sacrifice:
        if request_class not in request_classes:
            reader.add_problem(1, f"sacrifice names a class {request_class!r} that no load has")
    if not request_classes:
        reader.add_problem(
            1, "no load: what comes at the sites is expected, `load CLASS rate=... work-ms=...`"
        )
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return found


def load(path: Path) -> SitesDocument:
    """Read a file; raises SettingsError."""
    return read(read_document(path), str(path))
