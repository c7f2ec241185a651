import hypothesis
import testtools
from hypothesis import strategies

from toucanspring import errors, frames

DETERMINISTIC = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
FRAMES = strategies.builds(
    frames.Frame,
    strategies.sampled_from(frames.Kind),
    strategies.integers(0, 2**63 - 1),
    strategies.binary(max_size=300),
)
TEXT = strategies.text(max_size=20)
FAILURES = strategies.one_of(
    strategies.builds(errors.Unavailable, reason=TEXT),
    strategies.builds(
        errors.Conflict,
        reason=TEXT,
        key=TEXT,
        current_version=strategies.integers(0, 2**62),
        given_version=strategies.integers(0, 2**62),
    ),
    strategies.builds(
        errors.Overloaded,
        reason=TEXT,
        retry_after_s=strategies.floats(0, 1e6, allow_nan=False),
    ),
    strategies.builds(errors.Invalid, path=TEXT, line=strategies.integers(0, 10**9)),
)


class FramesTest(testtools.TestCase):
    @DETERMINISTIC
    @hypothesis.given(FRAMES)
    def test_a_frame_survives_the_codec(self, frame):
        self.assertEqual(frame, frames.decode(frames.encode(frame)))

    @DETERMINISTIC
    @hypothesis.given(FAILURES)
    def test_a_failure_survives_the_codec(self, failure):
        body = frames.encode_failure(failure)
        self.assertEqual(failure, frames.decode_failure(body))

    @DETERMINISTIC
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_decode_or_are_malformed(self, body):
        # Guards against an exception that would end a receiving greenlet.
        self.assertIsInstance(frames.decode(body), frames.Frame | errors.Malformed)
        self.assertIsInstance(frames.decode_failure(body), errors.Failure)
        for kind in (frames.Hello, frames.Welcome, frames.Call, int):
            self.assertIsInstance(frames.decode_as(kind, body), kind | errors.Malformed)

    @DETERMINISTIC
    @hypothesis.given(FRAMES, strategies.integers(0, 10**6), strategies.integers(0, 7))
    def test_a_damaged_frame_decodes_or_is_malformed(self, frame, position, bit):
        whole = frames.encode(frame)
        self.assertIsInstance(frames.decode(whole[:-1]), errors.Malformed)
        body = bytearray(whole)
        body[position % len(body)] ^= 1 << bit
        self.assertIsInstance(
            frames.decode(bytes(body)), frames.Frame | errors.Malformed
        )
