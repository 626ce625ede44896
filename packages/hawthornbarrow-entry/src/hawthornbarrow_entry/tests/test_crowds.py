"""Processes of the own interface under crowds of clients that finish no request.

Each process has less memory than usual. Without bounds of its own it keeps what the
crowd sends, which is more than it has.
"""

import time
import unittest

from hawthornbarrow.http import HttpClientError

from hawthornbarrow_entry.tests._crowds import (
    DESCRIPTORS,
    FEW,
    MANY,
    MAX_BODY_BYTES,
    MEMORY_MB,
    Crowd,
    Meter,
    UnfinishedRequests,
    whole_body,
)
from hawthornbarrow_entry.tests._deployment import (
    MEMBER_TOKEN,
    Deployment,
    echo_job,
    has_expected_results,
)

AGENT_BODY_BYTES = 4 * 1024 * 1024
ORDINARY_TRIES = 60
RETRY_S = 0.5

SUBMISSION = (
    f"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {MEMBER_TOKEN}\r\n"
    "Idempotency-Key: {}\r\n"
)


class CrowdsTest(UnfinishedRequests, unittest.TestCase):
    """Crowds at the entry and at the agent."""

    oversized_count = MANY

    @staticmethod
    def submission(number):
        return SUBMISSION.format(f"crowd-{number}").encode()

    def setUp(self):
        deployment = Deployment(entries=1, agents=1, slots=4)
        deployment.environment |= {
            "HAWTHORNBARROW_MAX_BODY_BYTES": str(MAX_BODY_BYTES),
            "HAWTHORNBARROW_MEMORY_MB": str(MEMORY_MB),
            "HAWTHORNBARROW_MAX_DESCRIPTORS": str(DESCRIPTORS),
        }
        self.deployment = self.enterContext(deployment)
        self.job_number = 0

    def check(self, wires, process="entry-1", port=None):
        """Checks a process while a crowd stays and once it has left."""
        deployment = self.deployment
        meter = Meter(deployment.processes[process].pid, deployment.host)
        port = port or deployment.ports["entry-1"]["http"]
        with Crowd((deployment.host, port), wires, meter) as crowd:
            crowd.send()
            self.check_process(process, meter)
            self.check_ordinary_job()
        self.check_ordinary_job()
        self.check_process(process, meter)
        self.check_ordinary_job(size=MAX_BODY_BYTES)

    def check_process(self, process, meter):
        self.assertIsNone(self.deployment.processes[process].poll(), "it has ended")
        self.assertLessEqual(meter.memory_bytes / 2**20, MEMORY_MB)
        self.assertLessEqual(meter.descriptors, DESCRIPTORS)

    def check_ordinary_job(self, size=0):
        """Submits a job as often as a caller would, padded with blanks to a size."""
        for _ in range(ORDINARY_TRIES):
            self.job_number += 1
            key = f"ordinary-{self.job_number}"
            body = echo_job(key, 2, 1, repeatable=False).ljust(size)
            try:
                response = self.deployment.call_with_key(
                    "entry-1", key, body, MEMBER_TOKEN
                )
            except HttpClientError:
                response = None
            if response is not None and response.status == 200:
                self.assertTrue(has_expected_results(response, key, 2))
                return
            time.sleep(RETRY_S)
        self.fail("the ordinary job was not served")

    def test_whole_body_of_many_small_objects(self):
        """Guards against a body that is decoded to many times its size."""
        body = b'{"service":"echo","tasks":[' + b"{}," * 87_000 + b"{}]}"
        wires = [
            [self.submission(n) + b"Content-Length: %d\r\n\r\n" % len(body), body]
            for n in range(FEW)
        ]
        self.check(wires)

    def test_whole_jobs_with_large_texts_one_after_the_other(self):
        """Guards against ended jobs that keep many times what a caller may submit."""
        process = self.deployment.processes["entry-1"]
        meter = Meter(process.pid, self.deployment.host)
        for number in range(MANY):
            key = f"large-{number}"
            nonce = b'"nonce":"' + b"x" * (MAX_BODY_BYTES - 1_000)
            body = echo_job(key, 1, 1, repeatable=False)
            body = body.replace(b'"nonce":"', nonce)
            response = self.deployment.call_with_key("entry-1", key, body, MEMBER_TOKEN)
            self.assertIn(response.status, (200, 400, 409, 429, 503))
        self.check_process("entry-1", meter)
        self.check_ordinary_job()

    def test_bodies_at_the_agent(self):
        """Guards against an agent that runs out of memory."""
        head = b"PUT /v1/upstreams/x HTTP/1.1\r\nHost: x\r\n"
        wires = [whole_body(head, AGENT_BODY_BYTES) for _ in range(FEW)]
        port = self.deployment.agent_ports["agent-1"]
        self.check(wires, process="agent-1", port=port)
