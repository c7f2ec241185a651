"""Fakes of the services that `requests` and `gateway` depend on."""

import dataclasses
import hashlib
import pathlib
import types

import gevent

from test import fake_tables
from toucanspring import errors, job, kernel, metrics
from toucanspring.callers import client_limits, gateway, requests
from toucanspring.cell import claims, freshness, layout
from toucanspring.configuration import reader, records
from toucanspring.owners import log_records, request_log
from toucanspring.reporting import budgets, events, survey
from toucanspring.scheduling import effects

ROOT = pathlib.Path(__file__).resolve().parent.parent
KERNHALDE = (ROOT / "examples" / "kernhalde.yaml").read_text()
OPERATOR_KEY = "operator-secret"


def make_settings(**changes):
    fields = {
        "process": "entry-1",
        "address": "127.0.0.1",
        "http_port": 0,
        "partitions": 3,
        "drain_s": 5.0,
        **dataclasses.asdict(client_limits.Limits()),
        "http_certificate": "",
        "http_key": "",
        "operator_key_hash": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
    }
    return types.SimpleNamespace(**{**fields, **changes})


class NoOpService:
    def start(self):
        pass

    def stop(self):
        pass


class Documents(NoOpService):
    def __init__(self, source=KERNHALDE):
        self.text = source
        self.version = 1
        self.parsed = reader.parse(source)
        self.out = frozenset()
        self.is_fresh = True
        self.secrets = {"desk-key": "desk", "labels-key": "labels"}
        self.log = [records.ConfigVersion(version=1, source=source, operator="a")]

    def cell(self):
        return self.parsed

    def source(self):
        return self.log[0]

    def versions(self):
        return freshness.Versions(self.version, 1, 1)

    def zones_out(self):
        return self.out

    def fresh(self, _now):
        return self.is_fresh

    def check_key(self, secret):
        if secret not in self.secrets:
            return errors.Forbidden(reason="the key is unknown or was withdrawn")
        return records.KeyInfo(secret, self.secrets[secret], "a")

    def keys(self):
        return [records.KeyInfo(name, team, "a") for name, team in self.secrets.items()]

    def grant_key(self, team, operator):
        self.secrets[f"{team}-new"] = team
        return records.GrantedKey(f"{team}-new", team, f"{team}-new")

    def withdraw_key(self, key_id, operator):
        if self.secrets.pop(key_id, None) is None:
            return errors.NotFound(reason=f"no key {key_id}")
        return 2

    def apply(self, source, expected_version, operator):
        if expected_version != self.version:
            return errors.Conflict(
                reason="another configuration is in force",
                current_version=self.version,
                given_version=expected_version,
            )
        if source == self.log[0].source:
            return self.version
        self.version += 1
        self.parsed = reader.parse(source)
        entry = records.ConfigVersion(
            version=self.version, source=source, operator=operator
        )
        self.log.insert(0, entry)
        return self.version

    def history(self):
        return self.log

    def confirmations(self, version):
        return {"entry-1": self.version >= version}

    def set_zone(self, name, out, operator):
        self.out = self.out | {name} if out else self.out - {name}
        return 2


class Partitions(NoOpService):
    def __init__(self):
        self.jobs = {}
        self.refuse = None
        self.requests = {}
        self.begun = []
        self.begin_answer = None
        self.survey = survey.WorkerSurvey([], {})

    def submit(self, specs):
        answers = []
        for spec in specs:
            known = self.jobs.setdefault(spec.id, spec)
            if self.refuse is not None:
                answers.append(self.refuse)
            elif known != spec:
                answers.append(errors.Conflict(reason="other content", key=spec.id))
            else:
                answers.append(spec.id)
        return answers

    def lookup(self, job_id):
        spec = self.jobs.get(job_id)
        if spec is None:
            return errors.NotFound(reason=f"no job {job_id}")
        counts = {"waiting": spec.task_count}
        return effects.JobStatus(job_id, spec.name, spec.team, counts, None, {})

    def cancel(self, job_ids):
        return dict.fromkeys(job_ids, "cancelled")

    def explain(self, job_id):
        return effects.Explanation(job_id, "waiting", 1, [], {}, {})

    def workers(self):
        return self.survey

    def owned(self):
        return {}

    def request_entry(self, request_id):
        return self.requests.get(request_id) or errors.NotFound(reason="unseen")

    def entry_in(self, _number, request_id):
        return self.request_entry(request_id)

    def request_partition(self, request_id):
        return job.partition_of(request_id, 3)

    def begin_request(self, request_id, server):
        if self.begin_answer is not None:
            return self.begin_answer
        entry = self.requests.get(request_id)
        if entry is not None:
            return request_log.Running(entry.server, 1, False)
        self.requests[request_id] = log_records.RequestEntry(server, 1)
        self.begun.append(request_id)
        return request_log.Begun(1)

    def move_request(self, request_id, server):
        self.requests[request_id].server = server
        return self.begin_answer or request_log.Begun(1)

    def finish_request(self, request_id, outcome):
        self.requests[request_id].outcome = outcome


class Claims(NoOpService):
    def __init__(self):
        self.partitions = {0: 1, 1: 1, 2: 1}
        self.owner = "entry-1"

    def owned(self):
        return self.partitions

    def owner_of(self, partition):
        return claims.Owner(self.owner, 1, 1)


class Peers(NoOpService):
    def __init__(self):
        self.handlers = {}
        self.stream = lambda method, body: errors.Unavailable(reason="no peer")

    def handle(self, method, function):
        self.handlers[method] = function

    def call(self, process, method, body, timeout_s, abandon=None):
        result = self.call_stream(process, method, body, timeout_s, abandon)
        return result if isinstance(result, errors.Failure) else b"".join(result)

    def call_stream(self, process, method, body, timeout_s, abandon=None):
        return self.stream(method, body)


@dataclasses.dataclass
class Membership(NoOpService):
    identity: object = dataclasses.field(
        default_factory=lambda: types.SimpleNamespace(process="entry-1")
    )

    def watch(self, _keys, _take):
        pass

    def members(self):
        return {
            "entry-1": {
                "process": "entry-1",
                "availability_zone": "zug-1",
                "address": "127.0.0.1",
                "http_port": 1,
            }
        }

    def reachable(self):
        return {"entry-1"}


class Store(NoOpService):
    def __init__(self, listed=()):
        self.listed = list(listed)
        self.kept = {}
        self.vms = types.SimpleNamespace(list=lambda _age=0.0: list(self.listed))
        self.tables = fake_tables.FakeTables().client()
        self.objects = types.SimpleNamespace(
            put=self.kept.__setitem__, get=self.kept.__getitem__
        )


def build(client=None, listed=(), **changes):
    """Return a kernel with fakes and the real `requests` and `gateway`."""
    core = kernel.Kernel()
    chosen = make_settings(**changes)
    for name, service in (
        ("metrics", metrics.Service(core, chosen)),
        ("store", Store(listed)),
        ("peers", Peers()),
        ("events", events.Service(core, chosen)),
        ("membership", Membership()),
        ("layout", layout.Service(core, chosen)),
        ("documents", Documents()),
        ("claims", Claims()),
        ("partitions", Partitions()),
        ("requests", requests.Service(core, chosen, client)),
        ("budgets", budgets.Service(core, chosen)),
        ("gateway", gateway.Service(core, chosen)),
    ):
        core.register(name, service)
    return core


def run_together(function, count):
    """Return the results of `count` concurrent calls."""
    jobs = [gevent.spawn(function, index) for index in range(count)]
    gevent.joinall(jobs, raise_error=True)
    return [each.value for each in jobs]
