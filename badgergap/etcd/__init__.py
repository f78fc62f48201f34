"""The hosts under a prefix of an etcd store, followed through its v3 API.

Importing this package imports grpclib and protobuf: only where the operator file sets `[etcd]`.
"""

from badgergap.etcd.client import Login
from badgergap.etcd.follow import Times
from badgergap.etcd.source import EtcdRoom, EtcdSource, Options

__all__ = ["EtcdRoom", "EtcdSource", "Login", "Options", "Times"]
