"""Micro-kernel: services find each other by name and publish typed events."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Protocol

import logbook

log = logbook.Logger(__name__)


class UnknownService(Exception):
    """Raised when no service has the given name."""


class DuplicateService(Exception):
    """Raised when a name is registered twice."""


class Service(Protocol):
    """Start and stop one named part of the process."""

    def start(self) -> None:
        """Begin serving; all services registered before are started."""

    def stop(self) -> None:
        """Stop serving and release everything owned."""


class Kernel:
    """Own the services of one process."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[str] = []
        self._listeners: dict[type, list[Callable[[object], None]]] = (
            collections.defaultdict(list)
        )

    def __enter__(self) -> Kernel:
        self.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    def register(self, name: str, service: Service) -> None:
        """Add a service under a name."""
        if name in self._services:
            raise DuplicateService(name)
        self._services[name] = service

    def find(self, name: str) -> Service:
        """Return the service with the given name."""
        try:
            return self._services[name]
        except KeyError:
            raise UnknownService(name) from None

    def subscribe(self, event: type, listener: Callable[[object], None]) -> None:
        """Call `listener` for each published event of exactly this type."""
        self._listeners[event].append(listener)

    def publish(self, event: object) -> None:
        """Deliver an event; a failing listener is logged and does not stop others."""
        for listener in self._listeners[type(event)]:
            try:
                listener(event)
            except Exception:
                log.exception("listener of {} failed", type(event).__name__)

    def start(self) -> None:
        """Start all services in order of registration."""
        for name, service in self._services.items():
            log.debug("starting service {}", name)
            service.start()
            self._started.append(name)

    def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            name = self._started.pop()
            log.debug("stopping service {}", name)
            self._services[name].stop()
