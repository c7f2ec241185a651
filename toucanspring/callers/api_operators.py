"""HTTP resources for operators: configuration, availability zones, keys."""

from __future__ import annotations

import falcon
import logbook
import msgspec

from toucanspring import errors, kernel
from toucanspring.callers import api
from toucanspring.configuration import reader, syntax, text

log = logbook.Logger(__name__)

MAX_KEY_REQUEST_BYTES = 4096
YAML = "application/yaml"


class KeyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/keys`."""

    team: str


class Resource:
    """Base class of the resources for operators."""

    def __init__(self, core: kernel.Kernel, access: api.Access) -> None:
        self._kernel = core
        self._access = access

    @property
    def _documents(self):
        return self._kernel.find("documents")


class Config(Resource):
    """`GET` and `PUT /v1/config`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the configuration in force; `ETag` is its version."""
        self._access.require_operator(request)
        source = self._documents.source()
        response.content_type = YAML
        response.set_header("ETag", f'"{source.version}"')
        response.set_header("X-Operator", source.operator)
        response.data = source.source.encode()

    def on_put(self, request: falcon.Request, response: falcon.Response) -> None:
        """Apply a configuration if `If-Match` names the version in force."""
        operator = self._access.require_operator(request)
        expected = expected_version(request)
        body = api.read_body(request, syntax.MAX_TEXT_BYTES)
        try:
            source = body.decode()
        except UnicodeDecodeError as error:
            raise api.ApiError(errors.Malformed(reason=f"not UTF-8: {error.reason}"))
        cell = reader.parse_all(source)
        if isinstance(cell, list):
            faults = [errors.to_dict(fault) for fault in cell]
            raise api.ApiError(cell[0], extra={"faults": faults})
        if not cell.name:
            raise api.ApiError(
                errors.Invalid(
                    reason="empty configuration", path="cell", expected="a cell"
                )
            )
        before = self._documents.cell()
        version = api.unwrap(self._documents.apply(source, expected, operator))
        unchanged = version == expected
        if not unchanged:
            log.info("operator {} applied configuration {}", operator, version)
        # The autostart service submits these jobs once the configuration is in force.
        jobs_to_start = [] if unchanged else text.jobs_to_start(before, cell)
        starts = [text.apply_id(each) for each in jobs_to_start]
        api.send_json(
            response,
            {"version": version, "unchanged": unchanged, "starts": starts},
            ETag=f'"{version}"',
        )


def expected_version(request: falcon.Request) -> int:
    """Return the version in `If-Match`; raise `ApiError` without one."""
    given = (request.get_header("If-Match") or "").strip('" ')
    if not given.isdecimal() or len(given) > 18:
        raise api.ApiError(
            errors.Invalid(
                reason="If-Match is required, so that no concurrent change is lost",
                path="If-Match",
                value=given[:80],
                expected="the version that the change is based on",
            )
        )
    return int(given)


class ConfigHistory(Resource):
    """`GET /v1/config/history`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the versions, the newest first; `source=1` adds their content."""
        self._access.require_operator(request)
        with_source = request.get_param_as_bool("source", default=False)
        items = []
        for version in api.unwrap(self._documents.history()):
            fields = msgspec.to_builtins(version)
            if not with_source:
                fields.pop("source", None)
            items.append(fields)
        api.send_json(response, {"versions": items})


class Confirmations(Resource):
    """`GET /v1/config/confirmations?version=<n>`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the processes and whether the version is in force there.

        `unreachable` names those that this process cannot reach. They have stopped,
        or are partitioned from the cell, and then accept no keyed work and start
        nothing.
        """
        self._access.require_operator(request)
        version = request.get_param_as_int("version", required=True, min_value=0)
        found = self._documents.confirmations(version)
        membership = self._kernel.find("membership")
        reachable = membership.reachable() | {membership.identity.process}
        api.send_json(
            response,
            {
                "version": version,
                "processes": found,
                "unreachable": sorted(set(found) - reachable),
            },
        )


class Zones(Resource):
    """`GET /v1/zones`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the availability zones and whether they are in service."""
        self._access.require_operator(request)
        out = self._documents.zones_out()
        zones = [
            {"name": name, "region": zone.region, "out": name in out}
            for name, zone in self._documents.cell().availability_zones.items()
        ]
        # A zone that was taken out stays out when the configuration no longer names it.
        declared = {zone["name"] for zone in zones}
        zones += [
            {"name": name, "region": "", "out": True} for name in sorted(out - declared)
        ]
        api.send_json(
            response, {"version": self._documents.versions().zones, "zones": zones}
        )


class ZoneChange(Resource):
    """`POST /v1/zones/<name>/out` and `/in`."""

    def __init__(self, core: kernel.Kernel, access: api.Access, out: bool) -> None:
        super().__init__(core, access)
        self._out = out

    def on_post(self, request, response, name: str) -> None:
        """Take a zone out of service or return it."""
        operator = self._access.require_operator(request)
        documents = self._documents
        known = name in documents.cell().availability_zones
        if not known and not (name in documents.zones_out() and not self._out):
            unknown = errors.NotFound(reason=f"no availability zone {name[:80]}")
            raise api.deny(self._kernel, unknown)
        version = api.unwrap(documents.set_zone(name, self._out, operator))
        log.info(
            "operator {} {} availability zone {}",
            operator,
            "took out" if self._out else "returned",
            name,
        )
        api.send_json(response, {"version": version, "name": name, "out": self._out})


class MemberGone(Resource):
    """`POST /v1/members/<name>/gone`."""

    def on_post(self, request: falcon.Request, response: falcon.Response, name) -> None:
        """Confirm that a process was destroyed and never runs again."""
        operator = self._access.require_operator(request)
        api.unwrap(self._kernel.find("membership").confirm_gone(name))
        log.info("operator {} confirmed that process {} is gone", operator, name)
        api.send_json(response, {"process": name, "gone": True})


class Keys(Resource):
    """`GET` and `POST /v1/keys`."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the keys in force, without their secrets."""
        self._access.require_operator(request)
        api.send_json(response, {"keys": self._documents.keys()})

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Grant a key; only this answer contains its secret."""
        operator = self._access.require_operator(request)
        body = api.read_json(request, KeyRequest, MAX_KEY_REQUEST_BYTES)
        if body.team not in self._documents.cell().teams:
            unknown = errors.NotFound(reason=f"no team {body.team[:80]}")
            raise api.deny(self._kernel, unknown)
        granted = api.unwrap(self._documents.grant_key(body.team, operator))
        log.info("operator {} granted key {} to {}", operator, granted.id, body.team)
        api.send_json(response, granted, 201, Cache_Control="no-store")


class Key(Resource):
    """`DELETE /v1/keys/<id>`."""

    def on_delete(self, request, response, key_id: str) -> None:
        """Withdraw a key."""
        operator = self._access.require_operator(request)
        version = api.unwrap(self._documents.withdraw_key(key_id, operator))
        log.info("operator {} withdrew key {}", operator, key_id)
        api.send_json(response, {"version": version, "id": key_id})
