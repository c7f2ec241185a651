"""Check of the size that a submission has once decoded, before it is decoded.

The length of a list is otherwise checked only when all of its items are in memory;
15 MB of small jobs took a process to 287 MB.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from toucanspring.callers import submission

# Of each of the lists of a job, as JSON: IDs of 128 characters, each as an escape.
MAX_LIST_BYTES = submission.MAX_AFTER * (128 * 6 + 4)


class _Job(msgspec.Struct):
    after: msgspec.Raw = msgspec.Raw()
    zones: msgspec.Raw = msgspec.Raw()

    # Decoding does not switch greenlets, so one count is enough.
    decoded: ClassVar[int] = 0

    def __post_init__(self) -> None:
        _Job.decoded += 1
        if _Job.decoded > submission.MAX_JOBS:
            raise ValueError(f"more than {submission.MAX_JOBS} jobs")
        if max(len(self.after), len(self.zones)) > MAX_LIST_BYTES:
            raise ValueError(f"a list of more than {MAX_LIST_BYTES} bytes")


class _Submission(msgspec.Struct):
    jobs: list[_Job] = []


_decoder = msgspec.json.Decoder(_Submission)


def check(body: bytes) -> None:
    """Raise `msgspec.ValidationError` for too many jobs or too long lists of a job.

    Other faults are left to the decoding of the whole; raises its errors for JSON that
    is malformed.
    """
    _Job.decoded = 0
    _decoder.decode(body)
