"""RunSupervisor: the sans-I/O state machine that guards one worker's upstream.

It starts, holds and stops runs by the orders of the dispatcher whose term is the
highest, never beyond the worker's room, and never holds anything longer than its lease
with that dispatcher.
"""

import collections
import random

import structlog

from hawthornbarrow.cells._allegiance import Allegiance
from hawthornbarrow.cells._end_log import EndLog
from hawthornbarrow.cells._held import Held, Phase
from hawthornbarrow.cells._messages import (
    AttachWorker,
    ClaimAgents,
    DispatcherHeartbeat,
    GrantClaim,
    StartTasks,
    StopTasks,
    WorkerReport,
)
from hawthornbarrow.cells._parts import (
    HeldRun,
    Resources,
    RunOutcome,
    StartOrder,
    TaskKey,
    WorkerRecord,
)
from hawthornbarrow.cells._timing import RunLeaseTiming
from hawthornbarrow.cells._upstream_calls import (
    ListedEndedRun,
    ListedRun,
    Listing,
    StartCall,
    StartResponse,
    StopCall,
)

REPORT_AGAIN_S = 0.4
STOP_AGAIN_S = 0.25
SILENT_AFTER_S = 0.7
_SESSION_BITS = 48

_log = structlog.get_logger()


class RunSupervisor:
    """Guards one upstream.

    Args:
        timing: Lengths of the leases.
        generator: Source of session numbers.
        now_s: Current time.
    """

    def __init__(
        self, *, timing: RunLeaseTiming, generator: random.Random, now_s: float
    ) -> None:
        """Starts without an upstream, as if it had just followed a dispatcher."""
        self._timing = timing
        self._generator = generator
        self._worker: WorkerRecord | None = None
        self._is_leaving = False
        self._allegiance = Allegiance(timing=timing, now_s=now_s)
        self._session = 0
        self._is_attached = False
        self._is_clean = False
        self._lease_until_s = -1e9
        self._held_until_s = -1e9
        self._listed_at_s = -1e9
        self._was_silent = False
        self._used = Resources()
        self._held: dict[TaskKey, Held] = {}
        self._ends = EndLog()
        self._reported_at_s = -1e9
        self._seen_cursor = 0
        self._messages: list[tuple[str, object]] = []
        self._calls: list[StartCall | StopCall] = []
        self._strangers: dict[tuple[str, int], float] = {}
        self._has_news = False
        self._offered_at_s = -1e9
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of events of each kind."""
        return self._counts

    @property
    def term(self) -> int:
        """Highest term of a dispatcher seen, the fencing token towards upstreams."""
        return self._allegiance.term

    @property
    def upstream(self) -> str:
        """Incarnation of the upstream, empty when there is none."""
        return self._worker.upstream if self._worker else ""

    @property
    def is_attached(self) -> bool:
        """Whether the dispatcher has taken the present session."""
        return self._is_attached

    @property
    def lease_until_s(self) -> float:
        """Until when runs may be held."""
        return self._lease_until_s

    @property
    def acknowledged(self) -> int:
        """The upstream's number of the last end that needs no listing any more.

        Jobs need not be kept, so an end that this process holds in memory will do: when
        the process is lost with it, the task's run counts as lost.
        """
        return self._seen_cursor

    @property
    def run_count(self) -> int:
        """Runs that are started, held or being stopped."""
        return len(self._held)

    def is_silent(self, now_s: float) -> bool:
        """Tells whether the upstream has given no listing for too long."""
        return now_s - self._listed_at_s > SILENT_AFTER_S

    def may_poll(self, now_s: float) -> bool:
        """Tells whether to ask the upstream what runs there, without holding it."""
        if self._worker is None or not self.term:
            return False
        return not self._is_clean or self.is_silent(now_s)

    def may_renew(self, now_s: float) -> bool:
        """Tells whether the upstream's runs may be held now."""
        if self._worker is None or now_s >= self._lease_until_s:
            return False
        return not self.is_silent(now_s)

    def record_renewal(self, until_s: float) -> None:
        """Notes until when a call that is about to be made lets runs go on."""
        self._held_until_s = max(self._held_until_s, until_s)

    def take_messages(self) -> list[tuple[str, object]]:
        """Returns the messages to send, by receiver, and forgets them."""
        messages, self._messages = self._messages, []
        return messages

    def take_calls(self) -> list[StartCall | StopCall]:
        """Returns the calls to make, and forgets them."""
        calls, self._calls = self._calls, []
        return calls

    # --- upstream ------------------------------------------------------------

    def announce(self, worker: WorkerRecord, is_leaving: bool, now_s: float) -> None:
        """Takes the upstream's announcement of itself."""
        if self._worker is None or worker.upstream != self._worker.upstream:
            self._replace_upstream(worker, now_s)
        if is_leaving and not self._is_leaving:
            self._is_leaving = True
            self._has_news = True
            _log.info("upstream_leaving", upstream=worker.upstream)

    def withdraw(self, upstream: str, now_s: float) -> None:
        """Takes the upstream's leave."""
        if self._worker is not None and self._worker.upstream == upstream:
            _log.info("upstream_left", upstream=upstream, held=len(self._held))
            self._lose_all("the upstream left", now_s)
            self._worker = None
            self._end_session()

    def on_upstream_gone(self, upstream: str, now_s: float) -> None:
        """Notes that nothing listens at the upstream's address any more.

        The worker is offered again once an upstream announces itself.
        """
        if self._worker is not None and self._worker.upstream == upstream:
            _log.warning("upstream_gone", upstream=upstream, held=len(self._held))
            self._lose_all("the upstream is gone", now_s)
            self._worker = None
            self._end_session()

    def _replace_upstream(self, worker: WorkerRecord, now_s: float) -> None:
        _log.info(
            "upstream_announced",
            upstream=worker.upstream,
            former=self.upstream,
            held=len(self._held),
        )
        self._lose_all("the upstream is another incarnation", now_s)
        self._worker = worker
        self._is_leaving = False
        self._is_clean = False
        self._listed_at_s = -1e9
        self._seen_cursor = 0
        self._strangers.clear()
        self._end_session()

    # --- dispatcher ----------------------------------------------------------

    def on_heartbeat(self, peer: str, pulse: DispatcherHeartbeat, now_s: float) -> None:
        """Takes a dispatcher's pulse, which renews the lease."""
        former, former_term = self._allegiance.dispatcher, self.term
        if not self._allegiance.follow(peer, pulse.term, now_s):
            return
        if pulse.term > former_term:
            _log.info(
                "dispatcher_found",
                dispatcher=peer,
                term=pulse.term,
                former=former,
                held=len(self._held),
            )
            self._is_attached = False
            self._new_session()
        lease_until_s = pulse.heard_at_s + self._timing.run_lease_s
        if now_s > self._lease_until_s and self._held:
            self._lapse(now_s)
        if pulse.session == self._session and self._session:
            self._lease_until_s = max(self._lease_until_s, lease_until_s)
            if not self._is_attached:
                self._is_attached = True
                self._has_news = True
            self._ends.note(pulse.noted)
        elif self._is_attached:
            # The dispatcher has given this session up.
            self._lose_all("the dispatcher gave the session up", now_s)
            self._end_session()
        self._offer(now_s)

    def on_claim(self, peer: str, claim: ClaimAgents, now_s: float) -> None:
        """Promises to follow a standby, once all that runs here has lost its lease."""
        if self._allegiance.grant(peer, claim.term, now_s):
            self._messages.append((peer, GrantClaim(term=claim.term)))

    def on_link_down(self, peer: str) -> None:
        """Notes that the link to a process is down."""
        if peer == self._allegiance.dispatcher:
            _log.warning("dispatcher_link_lost", dispatcher=peer, term=self.term)

    def on_orders(self, message: StartTasks | StopTasks, now_s: float) -> None:
        """Takes the dispatcher's orders of the present session."""
        if message.term != self.term or message.session != self._session:
            return
        self._is_attached = True
        if isinstance(message, StopTasks):
            for task in message.tasks:
                self._stop(task, RunOutcome.STOPPED, "", now_s)
            return
        for order in message.orders:
            self._take_start(order, now_s)

    def _take_start(self, order: StartOrder, now_s: float) -> None:
        reason = self._refusal(order, now_s)
        if reason:
            _log.info("start_refused", task=str(order.task), reason=reason)
            self._add_end(order, RunOutcome.LOST, now_s, reason=reason)
            return
        self._held[order.task] = Held(order=order, phase=Phase.STARTING, since_s=now_s)
        self._used = self._used.plus(order.needs)
        self._calls.append(
            StartCall(upstream=self.upstream, order=order, term=self.term)
        )

    def _refusal(self, order: StartOrder, now_s: float) -> str:
        """Returns why a start is refused, or an empty string."""
        if self._worker is None or not self.may_renew(now_s):
            return "no lease"
        if self._is_leaving:
            return "the upstream is leaving"
        if order.task in self._held:
            return "held already"
        if not self._used.plus(order.needs).fits_into(self._worker.capacity):
            return "no room"
        return ""

    # --- answers of the upstream ---------------------------------------------

    def on_start_response(
        self, call: StartCall, verdict: StartResponse, now_s: float
    ) -> None:
        """Takes the upstream's answer to a start, or the lack of one."""
        held = self._held.get(call.order.task)
        if held is None or held.order.attempt != call.order.attempt:
            return
        held.answered_at_s = now_s
        task = call.order.task
        if verdict is StartResponse.STARTED:
            held.note_started(now_s)
            return
        _log.info(
            "start_not_done",
            task=str(task),
            attempt=call.order.attempt,
            verdict=verdict.value,
        )
        if verdict is StartResponse.GONE:
            self.on_upstream_gone(call.upstream, now_s)
            return
        if verdict is StartResponse.NO_ANSWER:
            self._stop(task, RunOutcome.LOST, "no answer to the start", now_s)
            return
        end = RunOutcome.LOST
        if verdict is StartResponse.SUPERSEDED:
            end = RunOutcome.SUPERSEDED
        elif verdict in (StartResponse.DECLINED, StartResponse.NO_ROOM):
            end = RunOutcome.REFUSED
        self._drop(task, end, verdict.value, now_s)

    def on_stop_response(
        self, call: StopCall, is_confirmed: bool, now_s: float
    ) -> None:
        """Takes the upstream's answer to a stop.

        A confirmed stop fences starts that are still to come, but a run that has begun
        unseen takes a moment to end; the next listing after that tells.
        """
        held = self._held.get(call.task)
        if held is not None and held.order.attempt == call.attempt and is_confirmed:
            held.stop_confirmed_at_s = min(held.stop_confirmed_at_s, now_s)

    def on_listing(self, listing: Listing, now_s: float) -> None:
        """Takes what the upstream says of itself."""
        if listing.upstream != self.upstream:
            return
        self._listed_at_s = max(self._listed_at_s, listing.asked_at_s)
        for ended in listing.ended:
            self._take_listed_end(ended, now_s)
        running = {run.task: run for run in listing.running}
        for task, held in list(self._held.items()):
            self._compare(task, held, running.pop(str(task), None), listing, now_s)
        self._stop_strangers(list(running.values()), now_s)
        self._report_stalls(now_s)

    def _compare(
        self,
        task: TaskKey,
        held: Held,
        run: ListedRun | None,
        listing: Listing,
        now_s: float,
    ) -> None:
        if run is not None and run.attempt == held.order.attempt:
            held.note_started(now_s)
            held.note_progress(run.percent, now_s)
            return
        stopped_at_s = held.stop_confirmed_at_s + self._timing.stop_s
        if listing.asked_at_s > stopped_at_s:
            self._drop(task, held.end, held.reason, now_s)
            return
        was_known = held.started_at_s and held.answered_at_s
        if was_known and listing.asked_at_s > held.answered_at_s:
            self._drop(task, RunOutcome.LOST, "not listed any more", now_s)

    def _take_listed_end(self, ended: ListedEndedRun, now_s: float) -> None:
        if ended.number <= self._seen_cursor:
            return
        self._seen_cursor = ended.number
        key = TaskKey.parse(ended.task)
        held = self._held.get(key) if key else None
        if key is None or held is None or held.order.attempt != ended.attempt:
            return
        run_s = now_s - (held.started_at_s or held.since_s)
        self._drop(key, ended.end, held.reason, now_s, run_s=run_s)

    def _stop_strangers(self, runs: list[ListedRun], now_s: float) -> None:
        """Stops runs that this process did not start, as before its restart."""
        if not runs:
            if not self._is_clean:
                self._is_clean = True
                self._offer(now_s)
            return
        for run in runs:
            key = TaskKey.parse(run.task)
            if key is None:
                continue
            stopped_at_s = self._strangers.get((run.task, run.attempt), -1e9)
            if now_s - stopped_at_s >= STOP_AGAIN_S:
                self._strangers[(run.task, run.attempt)] = now_s
                _log.warning("stranger_stopped", task=run.task, attempt=run.attempt)
                self._calls.append(
                    StopCall(
                        upstream=self.upstream,
                        task=key,
                        attempt=run.attempt,
                        term=self.term,
                    )
                )

    def _report_stalls(self, now_s: float) -> None:
        stalled = [task for task, held in self._held.items() if held.has_stalled(now_s)]
        if stalled and self._is_attached:
            for task in stalled:
                self._held[task].progressed_at_s = now_s
            self._send(
                WorkerReport(
                    session=self._session,
                    is_leaving=self._is_leaving,
                    ended=[],
                    stalled=stalled,
                    is_silent=self._was_silent,
                )
            )

    # --- time ----------------------------------------------------------------

    def tick(self, now_s: float) -> None:
        """Lets time pass."""
        if self._held and now_s > self._lapsed_at_s:
            self._lapse(now_s)
        self._watch_silence(now_s)
        for task, held in self._held.items():
            is_due = now_s - held.stop_sent_at_s >= STOP_AGAIN_S
            if held.phase is Phase.STOPPING and is_due:
                self._call_stop(task, held, now_s)
        self._ends.forget_old(now_s)
        is_due = (
            self._ends.has_unnoted and now_s - self._reported_at_s >= REPORT_AGAIN_S
        )
        if self._is_attached and (self._has_news or is_due):
            self._report(now_s)

    @property
    def _lapsed_at_s(self) -> float:
        """When the upstream has surely ended what was held last."""
        return self._lease_until_s + (
            self._timing.lost_after_s - self._timing.run_lease_s
        )

    def _watch_silence(self, now_s: float) -> None:
        """Tells of an upstream that stops or begins to answer.

        A silent upstream is not held any more, so its runs end with the last lease.
        """
        if self._worker is None or not self._is_attached:
            return
        is_silent = self.is_silent(now_s)
        if is_silent != self._was_silent:
            self._was_silent = is_silent
            self._has_news = True
            _log.warning(
                "upstream_silent" if is_silent else "upstream_answers_again",
                upstream=self.upstream,
                held=len(self._held),
                silent_s=round(now_s - self._listed_at_s, 3),
            )
        grace_s = self._timing.lost_after_s - self._timing.run_lease_s
        if is_silent and self._held and now_s > self._held_until_s + grace_s:
            self._lose_all("the upstream is silent", now_s)
            self._end_session()

    def _lapse(self, now_s: float) -> None:
        """Gives the session up: the upstream has ended what was not held."""
        self._counts["lease_lapsed"] += 1
        _log.warning(
            "lease_lapsed",
            term=self.term,
            dispatcher=self._allegiance.dispatcher,
            late_s=round(now_s - self._lease_until_s, 3),
            held=len(self._held),
        )
        self._lose_all("the lease lapsed", now_s)
        self._end_session()

    def _report(self, now_s: float) -> None:
        self._has_news = False
        self._reported_at_s = now_s
        self._send(
            WorkerReport(
                session=self._session,
                is_leaving=self._is_leaving,
                ended=self._ends.unnoted(),
                is_silent=self._was_silent,
            )
        )

    def _send(self, message: object) -> None:
        self._messages.append((self._allegiance.dispatcher, message))

    # --- sessions and runs ---------------------------------------------------

    def _new_session(self) -> None:
        self._session = self._generator.getrandbits(_SESSION_BITS) + 1
        self._offered_at_s = -1e9

    def _end_session(self) -> None:
        self._is_attached = False
        self._new_session()

    def _offer(self, now_s: float) -> None:
        """Offers the worker to the dispatcher, once nothing unknown runs there."""
        if self._is_attached or not self._allegiance.dispatcher:
            return
        if self._worker is not None and not self._is_clean:
            return
        if now_s - self._offered_at_s < REPORT_AGAIN_S:
            return
        self._offered_at_s = now_s
        running = [
            HeldRun(
                task=task,
                attempt=held.order.attempt,
                needs=held.order.needs,
                age_s=now_s - held.since_s,
            )
            for task, held in self._held.items()
        ]
        self._send(
            AttachWorker(
                term=self.term,
                session=self._session,
                worker=self._worker,
                is_leaving=self._is_leaving,
                running=running,
                ended=self._ends.kept(),
            )
        )

    def _stop(self, task: TaskKey, end: RunOutcome, reason: str, now_s: float) -> None:
        held = self._held.get(task)
        if held is None or held.phase is Phase.STOPPING:
            return
        if held.phase is Phase.STARTING and end is RunOutcome.STOPPED:
            # Its start is on the way; the stop fences it if it is still to come.
            held.reason = "stopped while it started"
        held.phase = Phase.STOPPING
        held.end = end
        held.reason = reason
        self._call_stop(task, held, now_s)

    def _call_stop(self, task: TaskKey, held: Held, now_s: float) -> None:
        held.stop_sent_at_s = now_s
        self._calls.append(
            StopCall(
                upstream=self.upstream,
                task=task,
                attempt=held.order.attempt,
                term=self.term,
            )
        )

    def _drop(
        self,
        task: TaskKey,
        end: RunOutcome,
        reason: str,
        now_s: float,
        *,
        run_s: float = 0.0,
    ) -> None:
        held = self._held.pop(task)
        self._used = self._used.minus(held.order.needs)
        self._add_end(held.order, end, now_s, reason=reason, run_s=run_s)

    def _lose_all(self, reason: str, now_s: float) -> None:
        if self._held:
            self._is_clean = False
        for task in list(self._held):
            self._drop(task, RunOutcome.LOST, reason, now_s)

    def _add_end(
        self,
        order: StartOrder,
        end: RunOutcome,
        now_s: float,
        *,
        reason: str = "",
        run_s: float = 0.0,
    ) -> None:
        self._counts[f"run_{end.value}"] += 1
        self._ends.add(
            order, end, now_s, upstream=self.upstream, reason=reason, run_s=run_s
        )
        self._has_news = True
