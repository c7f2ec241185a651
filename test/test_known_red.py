"""What CI passes over: exactly the listed tests and scenarios."""

import contextlib
import io
import pathlib
import tempfile

import testtools

from scenarios import __main__ as scenarios
from test import known_red

LISTED = """A fault
test: test.test_a.B.test_c
scenario: lost
seen: scenario: another one
"""


class KnownRedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = pathlib.Path(folder) / "KNOWN-RED.txt"
        self.file.write_text(LISTED)

    def test_only_whole_lines_of_a_kind_are_listed(self):
        self.assertEqual({"test.test_a.B.test_c"}, known_red.read("test", self.file))
        self.assertEqual({"lost"}, known_red.read("scenario", self.file))

    # Guards against a listed scenario that fails the run, and against another one that
    # is passed over with it.
    def test_only_a_listed_scenario_may_fail(self):
        listed = known_red.read("scenario", self.file)
        self.patch(known_red, "read", lambda _kind: listed)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(0, scenarios.judge({"lost": "failed: x", "a": "passed"}))
            self.assertEqual(1, scenarios.judge({"lost": "passed", "a": "failed: x"}))
        self.assertIn("known red, lost: failed: x", output.getvalue())
