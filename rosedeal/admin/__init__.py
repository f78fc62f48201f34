"""The admin socket: what a gateway shows and takes from its operator, over a Unix domain socket."""

from rosedeal.admin.boxes import ABLE, is_last_able
from rosedeal.admin.client import AdminClient, AdminError, NoAnswer, NoGateway, call
from rosedeal.admin.figures import Figures
from rosedeal.admin.paths import default_socket
from rosedeal.admin.protocol import BoxView, ClassView, Failure, LogLine, Said, Snapshot, SourceView, Window
from rosedeal.admin.room import AdminRoom, CallRefused, Keeper

__all__ = [
    "ABLE",
    "AdminClient",
    "AdminError",
    "AdminRoom",
    "BoxView",
    "CallRefused",
    "ClassView",
    "Failure",
    "Figures",
    "Keeper",
    "LogLine",
    "NoAnswer",
    "NoGateway",
    "Said",
    "Snapshot",
    "SourceView",
    "Window",
    "call",
    "default_socket",
    "is_last_able",
]
