"""Settings of the daemon from flags and environment variables."""

from __future__ import annotations

import dataclasses
import os
import re
import types
import typing
from collections.abc import Mapping, Sequence

from toucanspring import errors
from toucanspring.callers import client_limits

PREFIX = "TOUCANSPRING_"
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
SHA256_HEX = re.compile(r"[0-9a-f]{64}")
LOG_LEVELS = ("debug", "info", "notice", "warning", "error", "critical")
LOG_FORMATS = ("plain", "json")
MAX_PARTITIONS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one process; times are in seconds.

    :param process: name of this process, unique in the cell and kept over restarts
    :param cell: name of the deployment
    :param address: IP address on which the process serves and is reached
    :param http_port: port for callers and operators
    :param peer_port: port for other toucanspring processes
    :param availability_zone: availability zone of this VM
    :param partitions: number of partitions, the same in all processes
    :param tables: table service as address:port
    :param objects: object store as address:port
    :param vms: VM list as address:port
    :param peer_token: shared secret that peers present to each other
    :param tls_certificate: PEM file with the certificate for peer streams
    :param tls_key: PEM file with the private key for peer streams
    :param tls_ca: PEM file with the authority that signs peer certificates
    :param http_certificate: PEM file with the certificate for callers and operators
    :param http_key: PEM file with the private key for callers and operators
    :param operator_key_hash: SHA-256 of the operators' key in hexadecimal
    :param log_level: minimum level that is logged
    :param log_format: plain or json
    :param lease_s: ownership lease
    :param renew_s: interval of renewals in the table service
    :param poll_s: interval of reads of the head, member and ownership rows
    :param heartbeat_s: interval of heartbeats between processes
    :param drain_s: limit on waiting for in-flight requests at shutdown
    :param moves: on, or off to keep each worker in its first partition
    :param spread_move_s: interval of moves of services to emptier zones; 0 for none
    :param max_body_bytes: largest body of one call of a client
    :param held_body_bytes: bytes of all bodies and unread answers; 0: by memory
    :param max_connections: connections of clients; 0: by memory and descriptors
    :param client_share: share of held_body_bytes and max_connections for one address
    :param socket_buffer_bytes: of a connection, each way; 0: by memory
    :param max_peer_streams: from other processes; 0: by descriptors
    :param plugins: names of plugins to load, separated by commas
    """

    process: str
    cell: str = "cell"
    address: str = "127.0.0.1"
    http_port: int = 8080
    peer_port: int = 8081
    availability_zone: str = ""
    partitions: int = 1
    tables: str = "127.0.0.1:9001"
    objects: str = "127.0.0.1:9002"
    vms: str = "127.0.0.1:9003"
    peer_token: str = ""
    tls_certificate: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    http_certificate: str = ""
    http_key: str = ""
    operator_key_hash: str = ""
    log_level: str = "info"
    log_format: str = "plain"
    lease_s: float = 2.5
    renew_s: float = 1.0
    poll_s: float = 0.5
    heartbeat_s: float = 0.5
    drain_s: float = 30.0
    moves: str = "on"
    spread_move_s: float = 10.0
    max_body_bytes: int = client_limits.MAX_BODY_BYTES
    held_body_bytes: int = 0
    max_connections: int = 0
    client_share: float = client_limits.CLIENT_SHARE
    socket_buffer_bytes: int = 0
    max_peer_streams: int = 0
    plugins: str = ""


FIELDS = {field.name: field for field in dataclasses.fields(Settings)}
TYPES = typing.get_type_hints(Settings)


def check(settings: Settings) -> errors.Invalid | None:
    """Return a failure for the first invalid setting."""
    rules: list[tuple[str, bool, str]] = [
        ("process", bool(NAME.fullmatch(settings.process)), "a name of letters, "
         "digits, '.', '_' and '-'"),
        ("cell", bool(NAME.fullmatch(settings.cell)), "a name"),
        ("address", bool(settings.address), "an IP address"),
        ("http_port", 0 <= settings.http_port < 65536, "a port"),
        ("peer_port", 0 <= settings.peer_port < 65536, "a port"),
        ("partitions", 0 < settings.partitions <= MAX_PARTITIONS,
         f"1 to {MAX_PARTITIONS}"),
        ("operator_key_hash", not settings.operator_key_hash
         or bool(SHA256_HEX.fullmatch(settings.operator_key_hash)),
         "64 hexadecimal digits in lower case"),
        ("log_level", settings.log_level in LOG_LEVELS, " or ".join(LOG_LEVELS)),
        ("log_format", settings.log_format in LOG_FORMATS, " or ".join(LOG_FORMATS)),
        ("lease_s", settings.lease_s > 0, "more than 0"),
        # A lease must outlast one lost renewal, else a single timeout ends ownership.
        ("renew_s", 0 < settings.renew_s * 2 <= settings.lease_s,
         "at most half of lease_s"),
        ("poll_s", 0 < settings.poll_s <= 1, "more than 0, at most 1"),
        ("heartbeat_s", 0 < settings.heartbeat_s <= 1, "more than 0, at most 1"),
        ("moves", settings.moves in ("on", "off"), "on or off"),
        ("spread_move_s", settings.spread_move_s >= 0, "0 or more"),
        ("max_peer_streams", settings.max_peer_streams >= 0, "0 or more"),
        ("drain_s", settings.drain_s >= 0, "0 or more"),
        ("tls_key", bool(settings.tls_certificate) == bool(settings.tls_key),
         "set together with tls_certificate"),
        ("tls_ca", bool(settings.tls_certificate) == bool(settings.tls_ca),
         "set together with tls_certificate"),
        ("http_key", bool(settings.http_certificate) == bool(settings.http_key),
         "set together with http_certificate"),
    ]  # fmt: skip
    for name, holds, expected in rules:
        if not holds:
            return errors.Invalid(
                reason=f"setting {name} must be {expected}",
                path=name,
                value=str(getattr(settings, name)),
                expected=expected,
            )
    return client_limits.select(settings, client_limits.Limits()).check()


def from_environment(environment: Mapping[str, str]) -> dict | errors.Invalid:
    """Return the settings named in environment variables, with their types."""
    values: dict[str, object] = {}
    for name, kind in TYPES.items():
        variable = PREFIX + name.upper()
        if variable not in environment:
            continue
        try:
            values[name] = kind(environment[variable])
        except ValueError:
            return errors.Invalid(
                reason=f"{variable} must be of type {kind.__name__}",
                path=variable,
                value=environment[variable],
                expected=kind.__name__,
            )
    return values


def to_environment(settings: Settings) -> dict[str, str]:
    """Return environment variables that hold all settings."""
    return {PREFIX + name.upper(): str(getattr(settings, name)) for name in TYPES}


def load(
    arguments: Sequence[str],
    environment: Mapping[str, str] = types.MappingProxyType(os.environ),
) -> Settings | errors.Invalid:
    """Build checked settings; flags override environment variables."""
    values = from_environment(environment)
    if isinstance(values, errors.Invalid):
        return values
    if not arguments and "process" in values:
        parsed = Settings(**values)
    else:
        # The import costs 5 MB of memory, which a daemon configured only by
        # environment variables avoids.
        import defopt

        parsed = defopt.run(
            with_defaults(values), argv=list(arguments), cli_options="all", short={}
        )
    return check(parsed) or parsed


def with_defaults(values: Mapping[str, object]) -> type[Settings]:
    """Return a settings class whose defaults are the given values."""
    fields = []
    for name, field in FIELDS.items():
        default = values.get(name, field.default)
        if default is dataclasses.MISSING:
            fields.append((name, TYPES[name]))
        else:
            fields.append((name, TYPES[name], dataclasses.field(default=default)))
    return dataclasses.make_dataclass(
        "Settings",
        fields,
        bases=(Settings,),
        namespace={"__doc__": Settings.__doc__},
        frozen=True,
        kw_only=True,
    )
