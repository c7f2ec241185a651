import re
from xml.etree import ElementTree

import testtools

from toucanspring.reporting import page

# The configuration rejects such names, but a page must not rely on that.
NAME = """<script>alert("x")</script>&'"""
VALUES = {
    "share": {
        "teams": [
            {
                "team": NAME,
                "organisation": "a&b",
                "entitled": 0.5,
                "used": 0.25,
                "deviation": -0.25,
                "of_ceiling": 0.1,
            }
        ],
    },
    "waiting": {
        "jobs": [{"team": NAME, "class": "normal", "tasks": 9, "oldest_s": 300.0}],
        "requests": [{"service": NAME, "class": "check", "requests": 3}],
    },
    "burn": {
        "budgets": [
            {
                "service": NAME,
                "team": NAME,
                "objective": 99.9,
                "windows": [{"seconds": 300, "good": 1, "bad": 1, "rate": 20.0}],
                "left": -1.5,
                "alert": "fast",
                "history": [0.0, 0.02, 0.01],
            }
        ],
        "store_missing": NAME,
        "lost": 2,
    },
}


class PageTest(testtools.TestCase):
    def render(self, name):
        return page.render(name, {**VALUES[name], "missing": [NAME]})

    def test_pages_are_well_formed_escape_names_and_need_no_other_file(self):
        # Guards against a name that breaks the page or runs as a script.
        for name in VALUES:
            shown = self.render(name)
            # Well-formed XML except for the doctype and the only void element.
            body = shown.removeprefix("<!doctype html>\n")
            body = body.replace('<meta charset="utf-8">', "")
            found = {each.tag for each in ElementTree.fromstring(body).iter()}
            self.assertFalse(any(tag.endswith("script") for tag in found))
            self.assertNotIn(NAME, shown)
            self.assertIn("&lt;script&gt;alert(&quot;x&quot;)&lt;/script&gt;", shown)
            for reference in ("src=", "href=", "@import", "url("):
                self.assertNotIn(reference, shown)

    def test_each_plot_has_an_axis_with_quantity_and_unit(self):
        # Guards against plots without a readable scale.
        for name, labels in (
            ("share", ["part of the cell by the scarcest resource, %"]),
            ("waiting", ["waiting tasks", "waiting time, s"]),
            ("burn", ["hours ago"]),
        ):
            plots = re.findall(r"<svg.*?</svg>", self.render(name))
            self.assertEqual(len(labels), len(plots), name)
            for plot, label in zip(plots, labels, strict=True):
                texts = [each.text for each in ElementTree.fromstring(plot).iter()]
                self.assertIn(label, texts)
        self.assertIn("bad requests, %", texts)
        self.assertIn("budget 0.1%", texts)

    def test_pages_without_content_and_with_gaps(self):
        empty = {"teams": [], "jobs": [], "requests": [], "budgets": [], "missing": []}
        for name in VALUES:
            self.assertIn("<h1>", page.render(name, empty))
        shown = self.render("burn")
        self.assertIn("without 2 requests", shown)
        self.assertIn("the store was not read", shown)
