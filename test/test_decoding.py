import msgspec
import testtools

from toucanspring import decoding, errors
from toucanspring.coordinator import job_specs, rows


class DecodingTest(testtools.TestCase):
    def test_a_value_is_decoded(self):
        decoder = msgspec.json.Decoder(list[int])
        self.assertEqual([1], decoding.decode(decoder, b"[1]", "row"))

    def test_each_fault_of_the_bytes_is_one_failure(self):
        decoder = msgspec.json.Decoder()
        deep = b"[" * 2000 + b"]" * 2000
        for value in (b"", b"\xff", b"[", b'"\\ud800"', b"1e999", deep):
            found = decoding.decode(decoder, value, "row x")
            self.assertIsInstance(found, errors.Malformed)
            self.assertIn("row x: ", found.reason)

    def test_a_deeply_nested_row_is_malformed(self):
        # Guards against RecursionError, which ended each epoch during its recovery.
        progress = b"\x93\xa6active\x90" + b"\x91" * 2000 + b"\x90"
        for kind in (rows.Progress, job_specs.Job, rows.LeaderLease, rows.MemberRow):
            for value in (progress, b"\x91" * 2000 + b"\x90"):
                self.assertIsInstance(rows.decode(kind, value), errors.Malformed)
