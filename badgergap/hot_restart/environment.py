"""Creates the coordinator of a gateway that is configured by environment variables."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from pathlib import Path

from badgergap.hot_restart.coordinator import HotRestartCoordinator
from badgergap.hot_restart.rendezvous import Rendezvous
from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.proxy.lifecycle.config import Config

log = logging.getLogger(__name__)


def coordinator_from_environment(environ: Mapping[str, str], config: Config) -> HotRestartCoordinator | None:
    """Create the coordinator of a gateway that is configured by environment variables.

    Return None without a second address, a listener, or a $TMPDIR that only this user can write to.
    """
    folder = environ.get("TMPDIR")
    if config.console is None or config.listen is None or not folder:
        return None
    try:
        rendezvous = Rendezvous(Path(folder))
    except OSError as error:
        log.warning("no other process can take over from this one: %s", error)
        return None
    return HotRestartCoordinator(rendezvous, config, DrainStore(rendezvous.folder))
