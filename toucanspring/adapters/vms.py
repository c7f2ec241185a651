"""Client of the platform's VM list, which lags behind the actual state."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from toucanspring import errors, resources, uptime
from toucanspring.adapters import exchange, platform

# The list is read once a second; `callers.listing` relies on a limit for each read.
TIMEOUT_S = 1.5
MAX_LIST_BYTES = 1 << 26
# Two services read the list every second; accepting this age, they share answers.
SHARED_AGE_S = 0.5


class Role(enum.StrEnum):
    """What a VM is for."""

    WORKER = "worker"
    BACKEND_SERVER = "backend_server"
    ENTRY = "entry"


class State(enum.StrEnum):
    """State of a VM in the list; a VM that is gone is absent from it."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one listed VM; `service` names what a backend server serves."""

    id: str
    role: Role
    availability_zone: str
    rack: str = ""
    address: str
    port: int
    state: State = State.LIVE
    service: str = ""
    resources: resources.Resources = resources.ZERO


class VmClient(Protocol):
    """Read the VM list."""

    def list(self, max_age_s: float = 0.0) -> list[Vm] | errors.Failure:
        """Return all listed VMs, from an answer of at most the given age."""

    def close(self) -> None:
        """Close idle connections."""


_decoder = msgspec.json.Decoder(list[Vm])


class HttpVmClient(platform.HttpClient):
    """Call the VM list over HTTP."""

    service = "VM list"

    def __init__(
        self, address: str, port: int, client: str = "", timeout_s: float = TIMEOUT_S
    ) -> None:
        super().__init__(address, port, client, timeout_s)
        self._body = b""
        self._listed: list[Vm] = []
        self._read_at = float("-inf")

    def list(self, max_age_s: float = 0.0) -> list[Vm] | errors.Failure:
        """Return all listed VMs; the same list object while nothing has changed."""
        requested_at = uptime.now()
        if requested_at - self._read_at < max_age_s:
            return self._listed
        reply = self._endpoint.call(
            "GET", "/v1/vms", timeout_s=self._timeout_s, max_bytes=MAX_LIST_BYTES
        )
        match reply:
            case exchange.Reply(status=200):
                if reply.body != self._body:
                    listed = self._decode(_decoder, reply.body)
                    if isinstance(listed, errors.Failure):
                        return listed
                    self._body, self._listed = reply.body, listed
                self._read_at = requested_at
                return self._listed
            case _:
                return self._read_failure(reply)
