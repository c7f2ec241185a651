from test import edge_fakes, gateway_case


class OperatorsTest(gateway_case.GatewayCase):
    def put(self, source, version):
        return self.call(
            "PUT", "/v1/config", source, gateway_case.OPERATOR, If_Match=f'"{version}"'
        )

    def test_concurrent_changes_name_both_versions(self):
        changed = edge_fakes.KERNHALDE + "# changed\n"
        status, body, headers = self.put(changed, 1)
        self.assertEqual((200, 2, '"2"'), (status, body["version"], headers["ETag"]))
        # The text in force also conflicts if it is based on an older version.
        answer = self.put(changed, 1)
        self.check_failure(answer, 409, "Conflict")
        error = answer[1]["error"]
        self.assertEqual((2, 1), (error["current_version"], error["given_version"]))

    def test_an_unchanged_text_makes_no_version(self):
        status, body, headers = self.put(edge_fakes.KERNHALDE, 1)
        self.assertEqual((200, 1, '"1"'), (status, body["version"], headers["ETag"]))
        self.assertTrue(body["unchanged"])

    def test_a_refused_text_changes_nothing(self):
        # Guards against a text that is applied in part.
        for source, status in (
            (edge_fakes.KERNHALDE.replace("share: 5", "share: 0"), 400),
            ("", 400),
            (b"\xff", 400),
            ("#" * 600_000, 413),
        ):
            self.assertEqual(status, self.put(source, 1)[0])
        self.assertEqual(
            400, self.call("PUT", "/v1/config", "x", gateway_case.OPERATOR)[0]
        )
        self.assertEqual(1, self.documents.version)

    def test_all_faults_of_a_text_are_named(self):
        source = edge_fakes.KERNHALDE.replace("share: ", "share: -")
        faults = self.put(source, 1)[1]["faults"]
        self.assertEqual(7, len(faults))

    def test_zones_and_teams_must_exist(self):
        for method, path, body in (
            ("POST", "/v1/zones/atlantis/out", None),
            ("POST", "/v1/zones/atlantis/in", None),
            ("POST", "/v1/keys", {"team": "nobody"}),
            ("DELETE", "/v1/keys/nothing", None),
            ("GET", "/v1/reports/nothing", None),
        ):
            answer = self.call(method, path, body, gateway_case.OPERATOR)
            self.check_failure(answer, 404, "NotFound")

    def set_partitions(self, number, generation, key=gateway_case.OPERATOR):
        body, given = {"partitions": number}, f'"{generation}"'
        return self.call("PUT", "/v1/partitions", body, key, If_Match=given)

    def test_the_number_of_partitions_is_based_on_a_generation(self):
        # Guards against a change that silently reverts that of another operator.
        status, shown, *_ = self.call(
            "GET", "/v1/partitions", key=gateway_case.OPERATOR
        )
        self.assertEqual(
            (200, 3, 0), (status, shown["partitions"], shown["generation"])
        )
        status, changed, *_ = self.set_partitions(5, 0)
        self.assertEqual(
            (200, 5, [3]), (status, changed["partitions"], changed["former"])
        )
        self.check_failure(self.set_partitions(7, 0), 409, "Conflict")
        self.check_failure(self.set_partitions(0, 1), 400, "Invalid")
        self.check_failure(
            self.set_partitions(7, 1, "Bearer desk-key"), 403, "Forbidden"
        )
        self.core.find("store").tables.down = True
        self.check_failure(self.set_partitions(7, 1), 503, "StoreUnavailable")
        self.assertEqual(5, self.core.find("layout").layout.current)

    def test_a_zone_that_left_the_text_can_be_returned(self):
        self.documents.out = frozenset({"old-1"})
        self.assertEqual(
            200, self.call("POST", "/v1/zones/old-1/in", key=gateway_case.OPERATOR)[0]
        )
        self.assertEqual(frozenset(), self.documents.out)
