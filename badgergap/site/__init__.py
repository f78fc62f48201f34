"""The operator file of a small site: read, checked, turned into a configuration and a source of hosts."""

from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.site.convert import combine, to_config
from badgergap.site.read import SiteError, parse_site, read_site
from badgergap.site.schema import Site
from badgergap.site.source import FileSource, SiteRoom

__all__ = [
    "DrainStore",
    "FileSource",
    "Site",
    "SiteError",
    "SiteRoom",
    "combine",
    "parse_site",
    "read_site",
    "to_config",
]
