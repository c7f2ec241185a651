import dataclasses
import io

import logbook
import msgspec
import testtools

from toucanspring import errors, log, settings


class SettingsTest(testtools.TestCase):
    def test_every_flag_is_also_an_environment_variable(self):
        # Guards against a setting that only a flag or only a variable can set.
        chosen = settings.Settings(process="p1", lease_s=3.5, log_format="json")
        environment = settings.to_environment(chosen)
        names = {field.name for field in dataclasses.fields(settings.Settings)}
        self.assertEqual(
            {"TOUCANSPRING_" + name.upper() for name in names}, set(environment)
        )
        self.assertEqual(chosen, settings.load([], environment))
        flags = [
            part
            for name in names
            for part in ("--" + name.replace("_", "-"), str(getattr(chosen, name)))
        ]
        loaded = settings.load(flags, {})
        self.assertEqual(dataclasses.asdict(chosen), dataclasses.asdict(loaded))

    def test_flags_win_over_environment_variables(self):
        environment = {"TOUCANSPRING_PROCESS": "a", "TOUCANSPRING_PARTITIONS": "7"}
        loaded = settings.load(["--process", "b"], environment)
        self.assertEqual(("b", 7), (loaded.process, loaded.partitions))

    def test_values_are_checked(self):
        # Guards against values that would break ownership or leave the cell unsecured.
        for name, value in (
            ("process", ""),
            ("process", "a/b"),
            ("partitions", "0"),
            ("partitions", "many"),
            ("peer_port", "70000"),
            ("renew_s", "2"),
            ("operator_key_hash", "secret"),
            ("log_level", "loud"),
            ("tls_certificate", "only.pem"),
            ("http_certificate", "only.pem"),
            ("http_key", "only.key"),
        ):
            environment = {
                "TOUCANSPRING_PROCESS": "p",
                "TOUCANSPRING_" + name.upper(): value,
            }
            loaded = settings.load([], environment)
            self.assertIsInstance(loaded, errors.Invalid, f"{name}={value}")


class LogTest(testtools.TestCase):
    def write(self, form):
        output = io.StringIO()
        handler = log.set_up("info", form, output)
        try:
            logger = logbook.Logger("test")
            with log.context(request="r1", team="t1"):
                logger.warning("refused {}", "it")
            logger.info("plain")
            logger.debug("hidden")
            try:
                raise ValueError("fault")
            except ValueError:
                logger.exception("failed")
        finally:
            handler.pop_application()
        return output.getvalue()

    def test_json_lines_carry_the_ids(self):
        first, second, third = map(msgspec.json.decode, self.write("json").splitlines())
        self.assertEqual(
            ("refused it", "r1", "t1", "warning"),
            (first["message"], first["request"], first["team"], first["level"]),
        )
        # Guards against IDs that leak into records of other requests.
        self.assertNotIn("request", second)
        self.assertIn("ValueError: fault", third["exception"])

    def test_plain_lines_carry_the_ids(self):
        text = self.write("plain")
        self.assertIn("WARNING test: refused it request=r1 team=t1\n", text)
        self.assertIn("INFO test: plain\n", text)
        self.assertNotIn("hidden", text)
        self.assertIn("ValueError: fault", text)
