"""Answer of a daemon to an HTTP call."""

from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer; `status` 0 means that the call was sent but no answer arrived."""

    status: int
    body: bytes = b""

    @property
    def failure(self) -> str:
        """Return the type of the failure, or an empty string."""
        if 0 < self.status < 400:
            return ""
        return str(self.error.get("type", "Ambiguous"))

    @property
    def error(self) -> dict:
        """Return the fields of the failure."""
        try:
            found = json.loads(self.body)["error"]
        except (ValueError, KeyError, TypeError):
            return {}
        return found if isinstance(found, dict) else {}

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body)
