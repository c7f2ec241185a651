import json
import pathlib
import tempfile

import testtools

from toucanspring import errors
from toucanspring.commands import story
from toucanspring.terminal import console

JOB = "5c0e7a21d94b36f8"


def line(second, message, prefix="", **fields):
    time = f"2026-12-04T10:00:{second:02d}.000000"
    entry = {"time": time, "level": "info", "logger": "l", "message": message}
    return prefix + json.dumps({**entry, **fields})


class StoryTest(testtools.TestCase):
    def write(self, name, *lines):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / name
        path.write_text("\n".join(lines))
        return str(path)

    def setUp(self):
        super().setUp()
        self.entry = self.write("entry-1.log", line(1, "job_accepted", job=JOB))
        self.coordinator = self.write(
            "entry-2.log",
            "Traceback: no JSON here",
            line(0, "seat_taken", epoch=1),
            line(4, "run_ended", task=f"{JOB}.0.0.0", how="lapsed", worker="w1"),
            line(2, "starts_recorded", placed={f"{JOB}.0.0": ["0#1@w1"]}),
            line(3, "seat_taken", epoch=2),
            line(3, "run_ended", task="f" * 16 + ".0.0.0", how="done"),
        )

    def test_lines_of_all_processes_are_in_order(self):
        result = story.run(None, JOB, self.entry, self.coordinator)
        self.assertEqual(
            ["job_accepted", "starts_recorded", "seat_taken", "run_ended"],
            [entry["message"] for entry in result.value],
        )
        self.assertEqual("entry-1", result.value[0]["process"])
        self.assertIn("entry-2 run_ended", result.text)

    def test_a_prefix_may_name_the_process(self):
        path = self.write("all.log", line(1, "job_learned", "  1.25 edge-7 ", job=JOB))
        [entry] = story.run(None, JOB, path).value
        self.assertEqual("edge-7", entry["process"])

    def test_the_id_of_a_request_leads_to_its_job(self):
        first = line(0, "request_refused", request="a1", path=f"/q/{JOB}", status=504)
        other = line(0, "request_refused", request="b2", path="/q/" + "e" * 16)
        path = self.write("entry-3.log", first, other)
        result = story.run(None, "a1", self.entry, self.coordinator, path)
        self.assertEqual(
            [
                "seat_taken",
                "request_refused",
                "job_accepted",
                "starts_recorded",
                "seat_taken",
                "run_ended",
            ],
            [entry["message"] for entry in result.value],
        )

    def test_an_unknown_id_is_not_found(self):
        failed = self.assertRaises(
            console.CommandError, story.run, None, "0" * 16, self.entry
        )
        self.assertIsInstance(failed.failure, errors.NotFound)

    def test_a_missing_file_is_invalid(self):
        failed = self.assertRaises(console.CommandError, story.run, None, JOB, "absent")
        self.assertIsInstance(failed.failure, errors.Invalid)
