import os

import testtools

from toucanspring import bounded_output


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


class OutputTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.clock = Clock()

    def read(self):
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ""

    def output(self, **limits):
        return bounded_output.Output(self.writer, clock=self.clock, **limits)

    def test_lines_are_written_at_once(self):
        self.output().write("one\n")
        self.assertEqual("one\n", self.read())

    def test_lines_beyond_the_rate_are_counted(self):
        output = self.output(lines_per_s=10, burst=3)
        for number in range(8):
            output.write(f"{number}\n")
        self.assertEqual("0\n1\n2\n", self.read())
        self.clock.now += 1
        output.write("later\n")
        self.assertEqual('{"message":"lines_dropped","count":5}\nlater\n', self.read())

    def test_a_stalled_reader_does_not_block_writes(self):
        output = self.output(lines_per_s=1e6, burst=1_000_000)
        for _ in range(3000):
            output.write("x" * 99 + "\n")
        self.assertGreater(output.dropped, 0)
        text = ""
        while part := self.read():
            text += part
        output.write("end\n")
        lines = (text + self.read()).splitlines()
        self.assertEqual({"x" * 99}, set(lines[:-2]))
        self.assertEqual("end", lines[-1])

    def test_a_closed_reader_is_no_error(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        output = bounded_output.Output(writer, clock=self.clock)
        os.close(reader)
        output.write("lost\n")
        self.assertEqual(0, output.dropped)
