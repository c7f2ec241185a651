import pathlib

import testtools

from scenarios import language, names

HEAD = 'scenario "Title"\ndeployment kernhalde\ndaemons 3\n'
DIRECTORY = pathlib.Path(language.__file__).parent


def parse(*lines):
    return language.parse(HEAD + "\n".join(lines) + "\n", "trial.scenario")


class ParseTest(testtools.TestCase):
    def steps(self, *lines):
        return [(step.verb, step.args) for step in parse(*lines).steps]

    def test_settings_have_defaults_and_can_be_given(self):
        scenario = parse("wait 1 s")
        self.assertEqual("Title", scenario.title)
        self.assertEqual("trial", scenario.name)
        self.assertEqual(3, scenario.settings["daemons"])
        self.assertEqual(language.DEFAULTS["workers"], scenario.settings["workers"])

    def test_times_have_units(self):
        # Guards against a value in milliseconds that is taken for seconds.
        self.assertEqual(
            [("wait", (2.0,)), ("wait", (0.3,)), ("wait", (1.5,))],
            self.steps("wait 2 s", "wait 300 ms", "wait 1.5 s"),
        )

    def test_values_and_options(self):
        self.assertEqual(
            [
                (
                    "submit",
                    (
                        4,
                        "proofs",
                        "proof-rendering",
                        {"tasks": 8, "running": 0.3, "not_idempotent": True},
                    ),
                ),
                ("apply", (language.Ceiling("desk", 40), "entry-1")),
                ("apply", (None, None)),
                ("lose", (language.Place("rack", 2, "zug-1"), 3.0)),
                ("lose", (language.Place("worker", 5), None)),
                ("list_as", (language.Host("executor", 2), "leaving")),
            ],
            self.steps(
                "submit 4 jobs as proofs from proof-rendering with 8 tasks "
                "running 300 ms not idempotent",
                "apply the text with ceiling of desk at 40 cpus through entry-1",
                "apply the text",
                "lose rack 2 of zug-1 for 3 s",
                "lose worker 5",
                "list executor 2 as leaving",
            ),
        )

    def test_expectations(self):
        self.assertEqual(
            [
                ("expect_count", (language.Amount("all"), "a", "done", 3.0)),
                ("expect_count", (language.Amount("exactly", 0), "a", "unknown", None)),
                ("expect_count", (language.Amount("at least", 5), "a", "running", 1)),
                ("expect_more", (7, "a", "done", 2.0)),
            ],
            self.steps(
                "expect all of a done within 3 s",
                "expect none of a unknown",
                "expect at least 5 of a running within 1 s",
                "expect at least 7 more of a done within 2 s",
            ),
        )

    def test_blocks_hold_steps_and_comments_are_left_out(self):
        scenario = parse(
            "# a comment",
            "repeat 2 times  # another",
            "  # and one inside",
            "  pause entry-1",
            "  at the same time",
            "    resume entry-1",
            "    wait 1 s",
            "  end",
            "end",
        )
        (repeat,) = scenario.steps
        self.assertEqual(("repeat", (2,)), (repeat.verb, repeat.args))
        self.assertEqual(["pause", "together"], [step.verb for step in repeat.steps])
        self.assertEqual(6, repeat.steps[0].line - 1)
        self.assertEqual(2, len(repeat.steps[1].steps))

    def test_all_scenarios_of_the_project_are_valid(self):
        paths = sorted(DIRECTORY.glob("*.scenario"))
        self.assertGreaterEqual(len(paths), 14)
        for path in paths:
            names.check(language.load(path))


class ErrorTest(testtools.TestCase):
    def fails(self, *lines):
        def check():
            names.check(parse(*lines))

        return self.assertRaises(language.ScenarioError, check)

    def test_a_fault_names_file_line_and_expectation(self):
        failed = self.fails("start all daemons", "wait 3", "wait 1 s")
        self.assertEqual(("trial.scenario", 5), (failed.file, failed.line))
        self.assertIn("a time such as 3 s", failed.expected)
        self.assertIn("trial.scenario:5: ", str(failed))

    def test_an_unknown_word_is_reported_with_the_words_in_its_place(self):
        failed = self.fails("expect all of proofs dine")
        self.assertIn('"dine"', failed.problem)
        self.assertIn("a state such as done", failed.expected)

    def test_a_character_outside_the_language(self):
        failed = self.fails("wait 3 s ;")
        self.assertEqual(4, failed.line)
        self.assertIn('";"', failed.problem)
        self.assertIn("the end of the line", failed.expected)

    def test_a_block_without_an_end(self):
        failed = self.fails("repeat 2 times", "wait 1 s")
        self.assertIn('"end"', failed.expected)

    def test_an_incomplete_line(self):
        failed = self.fails("pause")
        self.assertEqual(4, failed.line)
        self.assertIn("a name", failed.expected)

    def test_names_that_the_cell_does_not_have(self):
        # Guards against a misspelt name with which an expectation checks nothing.
        submit = "submit 1 jobs as proofs from proof-rendering"
        for line, kind, expected in (
            ("pause entry-4", "daemon entry-4", "entry-3"),
            ("kill first", "daemon first", "entry-1"),
            ("grant a key to nobody", "team nobody", "desk"),
            ("take zone sofia-1 out", "zone sofia-1", "zug-1"),
            ("lose rack 1 of sofia-1", "zone sofia-1", "zug-1"),
            ("lose worker 13", "worker 13", "1 to 12"),
            ("list executor 7 as gone", "executor 7", "1 to 6"),
            ("expect all of proof done", "load proof", "proofs"),
            ("submit 1 jobs as a from proof", "job proof", "proof-rendering"),
            ("let first be the owner of partition 3", "partition 3", "2"),
            (
                "keep sending requests as a of class urgent by 1 callers",
                "class urgent",
                "check",
            ),
            (
                "apply the text with ceiling of nobody at 3 cpus",
                "team nobody",
                "desk",
            ),
            ("submit 1 jobs as a from invoice-run through e", "daemon e", "entry-1"),
            ("submit 1 jobs as a from invoice-run in zone e", "zone e", "zug-1"),
        ):
            failed = self.fails(submit, "wait 1 s", line)
            self.assertEqual(6, failed.line, line)
            self.assertIn(f"no {kind}", failed.problem)
            self.assertIn(expected, failed.expected)

    def test_a_named_owner_can_be_used_after_its_line_only(self):
        let = "let first be the owner of partition 0"
        names.check(parse(let, "kill first"))
        self.assertEqual(4, self.fails("kill first", let).line)

    def test_an_unknown_deployment(self):
        def check():
            names.check(language.parse('scenario "x"\ndeployment z\nwait 1 s\n', "f"))

        failed = self.assertRaises(language.ScenarioError, check)
        self.assertIn("kernhalde", failed.expected)


class AmountTest(testtools.TestCase):
    def test_all_of_nothing_does_not_hold(self):
        # Guards against an expectation that passes although no work was accepted.
        self.assertFalse(language.Amount("all").holds(0, 0))
        self.assertTrue(language.Amount("all").holds(3, 3))
        self.assertFalse(language.Amount("all").holds(2, 3))

    def test_bounds(self):
        for word, number, count, holds in (
            ("at least", 3, 2, False),
            ("at least", 3, 3, True),
            ("at most", 3, 3, True),
            ("at most", 3, 4, False),
            ("exactly", 0, 0, True),
            ("exactly", 0, 1, False),
        ):
            amount = language.Amount(word, number)
            self.assertEqual(holds, amount.holds(count, 9), (word, count))
