import subprocess
import sys

import testtools

from toucanspring import metrics


class MetricsTest(testtools.TestCase):
    def test_render_shows_counters_gauges_and_histograms(self):
        service = metrics.Service(None, None)
        service.counter("starts_total", "Starts.").add({"team": "a"}, 2)
        service.counter("starts_total", "Starts.").add({"team": "a"}, 1)
        service.histogram("wait_seconds", "Waits.", (0.1, 1.0)).add({}, 0.5)
        depth = service.gauge("depth", "Depth.")
        service.on_render(lambda: depth.set({}, 4))
        text = service.render().decode()
        self.assertIn('starts_total{team="a"} 3', text)
        self.assertIn('wait_seconds_bucket{le="1.0"} 1', text)
        self.assertIn("depth 4", text)

    def test_rendering_needs_no_asyncio_loop(self):
        # Guards against an asyncio loop in a second thread next to gevent's hub.
        program = (
            "import asyncio\n"
            "asyncio.new_event_loop = asyncio.get_event_loop = None\n"
            "from toucanspring import metrics\n"
            "service = metrics.Service(None, None)\n"
            "service.counter('a_total', 'A.').add({}, 1)\n"
            "assert b'a_total 1' in service.render()\n"
        )
        subprocess.run([sys.executable, "-c", program], check=True, timeout=30)
