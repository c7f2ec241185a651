"""Count and log the clients that a listener refuses or disconnects."""

from __future__ import annotations

import collections

import logbook

from toucanspring import log as structured
from toucanspring import metrics, uptime
from toucanspring.callers import client_limits

log = logbook.Logger(__name__)

LOG_INTERVAL_S = 10.0


class Refusals:
    """Count the refusals of one listener by reason; log one line per interval."""

    def __init__(self, registry: metrics.Service | None, listener: str) -> None:
        self._listener = listener
        self._counter = registry and registry.counter(
            "toucanspring_clients_refused_total",
            "Requests and connections refused or closed, by listener and reason",
        )
        self._gauge = registry and registry.gauge(
            "toucanspring_clients_held",
            "Connections of clients and bytes of their bodies by listener",
        )
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._logged_at = float("-inf")  # seconds of `uptime`

    def count(self, reason: client_limits.Reason, client: str) -> None:
        """Count one refusal; the line names the client of the last one."""
        if self._counter is not None:
            labels = {"listener": self._listener, "reason": reason.value}
            self._counter.inc(labels)
        self._unlogged[reason.value] += 1
        now = uptime.now()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        structured.decide(
            log, "clients_refused", listener=self._listener, last_client=client,
            **self._unlogged,
        )  # fmt: skip
        self._logged_at = now
        self._unlogged.clear()

    def measure(self, table: client_limits.Table) -> None:
        """Set the gauges to what a listener holds."""
        if self._gauge is not None:
            for what, value in (
                ("connections", len(table)),
                ("bytes", table.held_bytes),
            ):
                self._gauge.set({"listener": self._listener, "what": what}, value)
