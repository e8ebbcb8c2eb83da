"""The document of all sites that loss plans are made from, checked by the schema of gateway settings."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from swiftwell.settings.document import Node, SettingsError, parse, read_document
from swiftwell.settings.schema import Reader, setting


@dataclass(frozen=True, kw_only=True)
class SiteWorkers:
    """The workers of one kind at a site."""

    kind: str = setting(arg=True, low=1, doc="kind of machine, for information only")
    count: int = setting(low=1, high=100_000, doc="number of workers")
    cores: float = setting(low=0.01, high=10_000, doc="cores of a worker")
    speed: float = setting(
        1.0, low=0.01, high=100, doc="speed of a core, relative to the one that work-ms refers to"
    )
    memory_mb: float = setting(low=1, high=1e9, doc="memory of a worker for loaded copies in MB")


@dataclass(frozen=True, kw_only=True)
class SiteLoad:
    """Calls of one class that arrive at a site on a usual busy day."""

    request_class: str = setting(arg=True, node="band", low=1, doc="class of calls")
    tenant: str = setting("", doc="tenant, if tenants are planned separately")
    rate: float = setting(low=0.001, high=1e7, doc="calls a second")
    work_ms: float = setting(low=0.01, high=1e7, doc="mean ms of work of a call on a core of speed 1")
    worth: float = setting(1.0, low=0.0, high=1e6, doc="value of an answer")
    functions: int = setting(
        1, low=1, high=1_000_000, doc="number of functions that the calls are spread over"
    )
    memory_mb: float = setting(100.0, low=0.01, high=1e6, doc="memory of a loaded copy in MB")


@dataclass(frozen=True, kw_only=True)
class SiteDefinition:
    """A site with its workers and load."""

    name: str = setting(arg=True, low=1, doc="name, the zone of its workers")
    workers: tuple[SiteWorkers, ...] = setting(node="workers", doc="the workers of one kind")
    loads: tuple[SiteLoad, ...] = setting((), node="load", doc="calls of one class that arrive at the site")
    served_by: tuple[str, ...] = setting(
        (), doc="sites that may serve its calls, itself included; by default all"
    )


@dataclass(frozen=True, kw_only=True)
class Crossing:
    """The cost of serving a call at another site."""

    origin: str = setting(arg=True, low=1, doc="site where the call arrives")
    to: str = setting(low=1, doc="site where it is served")
    worth: float = setting(low=0.0, high=1e6, doc="value that each such call loses")


@dataclass(frozen=True, kw_only=True)
class SitesDocument:
    """All sites."""

    sites: tuple[SiteDefinition, ...] = setting(node="site", doc="a site")
    sacrifice: tuple[str, ...] = setting(
        (), doc="classes in the order in which they are refused, the first one first"
    )
    crossings: tuple[Crossing, ...] = setting(
        (), node="crossing", doc="cost of serving a call at another site"
    )


def read(text: str, file: str) -> SitesDocument:
    """Parses a document of sites; raises SettingsError with all problems."""
    reader = Reader(file)
    document: SitesDocument = reader.read(SitesDocument, Node("", [], {}, parse(text, file), 1))
    names = [site.name for site in document.sites or ()]
    request_classes = {load.request_class for site in document.sites or () for load in site.loads}
    if len(names) < 2:
        reader.add_problem(1, "expected at least two `site NAME`: with one, no other site can take its calls")
    for site in document.sites or ():
        if names.count(site.name) > 1:
            reader.add_problem(reader.line_of(site), f"site {site.name!r} is given twice")
        for other in site.served_by:
            if other not in names:
                reader.add_problem(
                    reader.line_of(site), f"site {site.name}: served-by names an unknown site {other!r}"
                )
        load_keys = [(load.request_class, load.tenant) for load in site.loads]
        for load in site.loads:
            if load_keys.count((load.request_class, load.tenant)) > 1:
                reader.add_problem(
                    reader.line_of(load), f"site {site.name}: load {load.request_class!r} is given twice"
                )
    for crossing in document.crossings:
        for name in (crossing.origin, crossing.to):
            if name not in names:
                reader.add_problem(reader.line_of(crossing), f"crossing names an unknown site {name!r}")
    for request_class in document.sacrifice:
        if request_class not in request_classes:
            reader.add_problem(1, f"sacrifice names a class {request_class!r} that no load has")
    if not request_classes:
        reader.add_problem(1, "no load: expected at least one `load CLASS rate=... work-ms=...` at a site")
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return document


def load(path: Path) -> SitesDocument:
    """Reads a document of sites; raises SettingsError, also if the file can't be read."""
    return read(read_document(path), str(path))
