import unittest

import msgspec

from hawthornbarrow.ledger import (
    ApplyConfiguration,
    Claim,
    ClaimDecision,
    Complete,
    ExpireEntry,
    Forget,
    LedgerState,
    RegisterAgent,
    RegisterEntry,
    decode_command,
    job_id_of,
)

DAY_S = 86400.0


class LedgerStateTest(unittest.TestCase):
    def setUp(self):
        self.state = LedgerState(retention_s=3600.0)
        self.index = 0
        for name in ("a", "b", "c"):
            self.apply(RegisterEntry(name=name, incarnation=1, address=name))

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, command)

    def claim(self, key="k", owner="a", digest=b"d", time_s=10.0, incarnation=1):
        return self.apply(
            Claim(
                member="m",
                key=key,
                digest=digest,
                owner=owner,
                incarnation=incarnation,
                repeatable=False,
                task_count=1,
                body=b"",
                time_s=time_s,
            )
        )

    def test_first_claim_is_granted_and_resends_get_its_record(self):
        self.assertEqual(self.claim().verdict, ClaimDecision.GRANTED)
        again = self.claim(owner="b")
        self.assertEqual(again.verdict, ClaimDecision.EXISTING)
        self.assertEqual(again.claim.owner, "a")
        other = self.claim(owner="b", digest=b"other")
        self.assertEqual(other.verdict, ClaimDecision.MISMATCH)

    def test_expired_entry_cannot_claim(self):
        self.apply(ExpireEntry(name="a", incarnation=1))
        self.assertEqual(self.claim().verdict, ClaimDecision.NOT_MEMBER)

    def test_claims_of_a_dead_entry_are_reassigned_to_live_entries(self):
        for number in range(30):
            self.claim(key=f"k{number}")
        moved = self.apply(ExpireEntry(name="a", incarnation=1)).moved
        self.assertEqual(len(moved), 30)
        owners = {self.state.claim(job).owner for job in moved}
        self.assertEqual(owners, {"b", "c"})
        self.assertTrue(all(self.state.claim(job).epoch == 2 for job in moved))

    def test_orphaned_claims_wait_for_a_live_entry(self):
        self.claim()
        for name in ("b", "c", "a"):
            self.apply(ExpireEntry(name=name, incarnation=1))
        registered = self.apply(RegisterEntry(name="b", incarnation=2, address="b"))
        self.assertEqual(registered.moved, (job_id_of("m", "k"),))

    def test_only_the_current_owner_closes_a_job(self):
        self.claim()
        job = job_id_of("m", "k")
        self.apply(ExpireEntry(name="a", incarnation=1))
        stale = Complete(job=job, epoch=1, status="completed", answer=b"", time_s=11.0)
        self.assertFalse(self.apply(stale).accepted)
        valid = Complete(job=job, epoch=2, status="failed", answer=b"{}", time_s=12.0)
        self.assertTrue(self.apply(valid).accepted)
        self.assertTrue(self.apply(valid).accepted, "a resend has no effect")
        self.assertEqual(self.state.claim(job).answer, b"{}")

    def test_forget_keeps_recent_and_open_claims(self):
        self.claim(key="open")
        self.claim(key="closed")
        job = job_id_of("m", "closed")
        self.apply(Complete(job=job, epoch=1, status="failed", answer=b"", time_s=20.0))
        self.apply(Forget(before_s=DAY_S, time_s=30.0))
        self.assertIsNotNone(self.state.claim(job), "within the retention time")
        self.apply(Forget(before_s=DAY_S, time_s=DAY_S))
        self.assertIsNone(self.state.claim(job))
        self.assertIsNotNone(self.state.claim(job_id_of("m", "open")))

    def test_uuid_v7_key_older_than_the_retention_time_is_expired(self):
        old_ms = 1_000_000
        key = f"{old_ms:012x}70008000000000000000"
        key = f"{key[:8]}-{key[8:12]}-{key[12:16]}-{key[16:20]}-{key[20:32]}"
        now_s = old_ms / 1000 + 2 * 3600.0
        self.assertEqual(
            self.claim(key=key, time_s=now_s).verdict, ClaimDecision.EXPIRED
        )

    def test_each_configuration_version_has_one_winner_and_resends_keep_it(self):
        def apply(request, expect, operator):
            return self.apply(
                ApplyConfiguration(
                    request=request,
                    expect_version=expect,
                    document=operator.encode(),
                    operator=operator,
                    time_s=1.0,
                )
            )

        self.assertTrue(apply("q1", 0, "ana").accepted)
        conflict = apply("q2", 0, "ben")
        self.assertEqual((conflict.accepted, conflict.winner), (False, "ana"))
        resent = apply("q1", 0, "ana")
        self.assertEqual((resent.accepted, resent.version), (True, 1))
        self.assertEqual(self.state.configuration.document, b"ana")

    def test_new_incarnation_of_an_agent_gets_a_new_index(self):
        self.apply(RegisterAgent(name="x", incarnation=1))
        first = self.state.agents["x"]
        self.apply(RegisterAgent(name="x", incarnation=1))
        self.assertEqual(self.state.agents["x"], first)
        self.apply(RegisterAgent(name="x", incarnation=2))
        self.assertGreater(self.state.agents["x"].index, first.first_index)

    def test_directory_keeps_the_last_worker_of_an_agent(self):
        self.apply(RegisterAgent(name="x", incarnation=0, worker=b"u1"))
        self.assertEqual(b"u1", self.state.agents["x"].worker)
        first = self.state.agents["x"]
        self.apply(RegisterAgent(name="x", incarnation=0, worker=b"u2"))
        self.assertEqual(b"u2", self.state.agents["x"].worker)
        self.assertEqual(first.index, self.state.agents["x"].index)
        self.apply(RegisterAgent(name="x", incarnation=0))
        self.assertEqual(b"", self.state.agents["x"].worker)

    def test_records_of_the_version_without_workers_are_read(self):
        command = ["RegisterAgent", 0, "x", 3]
        self.apply(decode_command(msgspec.msgpack.encode(command)))
        self.assertEqual(b"", self.state.agents["x"].worker)
        snapshot = msgspec.msgpack.decode(self.state.encode())
        (agent,) = snapshot[2]
        self.assertEqual(["x", 3], agent[:2])
        self.assertEqual(b"", agent.pop())
        copy = LedgerState(retention_s=3600.0)
        copy.restore(msgspec.msgpack.encode(snapshot))
        self.assertEqual(self.state.agents, copy.agents)

    def test_snapshot_restores_the_whole_state(self):
        self.claim()
        self.apply(RegisterAgent(name="x", incarnation=1, worker=b"u"))
        copy = LedgerState(retention_s=3600.0)
        copy.restore(self.state.encode())
        self.assertEqual(copy.encode(), self.state.encode())
        expire = ExpireEntry(name="a", incarnation=1)
        self.assertEqual(copy.apply(99, expire), self.state.apply(99, expire))


if __name__ == "__main__":
    unittest.main()
