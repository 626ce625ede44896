"""RunSupervisor: the sans-I/O state machine of an agent for its worker's upstream.

It starts, renews and stops runs on the orders of the dispatcher with the highest term.
It never exceeds the worker's capacity and never renews a run beyond its lease with that
dispatcher.
"""

import collections
import math
import random

import msgspec
import structlog

from hawthornbarrow.cells._announced_upstreams import (
    AnnouncedUpstream,
    AnnouncedUpstreams,
)
from hawthornbarrow.cells._announcement_order import OwnService
from hawthornbarrow.cells._dispatcher_path import DispatcherPath
from hawthornbarrow.cells._dispatcher_tracker import DispatcherTracker
from hawthornbarrow.cells._ended_run_log import EndedRunLog
from hawthornbarrow.cells._former_upstreams import FormerUpstreams
from hawthornbarrow.cells._load_features import NO_FEATURES, LoadFeature
from hawthornbarrow.cells._lost_runs import LostRuns
from hawthornbarrow.cells._messages import (
    AttachWorker,
    ClaimAgents,
    DispatcherHeartbeat,
    GrantClaim,
    StartTasks,
    StopTasks,
    Superseded,
    WorkerReport,
)
from hawthornbarrow.cells._parts import (
    ActiveRun,
    Resources,
    RunOutcome,
    StartOrder,
    TaskKey,
    WorkerRecord,
)
from hawthornbarrow.cells._run_record import RunPhase, RunRecord
from hawthornbarrow.cells._start_fences import StartFences
from hawthornbarrow.cells._timing import RunLeaseTiming
from hawthornbarrow.cells._upstream_calls import (
    ListedEndedRun,
    ListedRun,
    Listing,
    StartCall,
    StartResponse,
    StopCall,
)
from hawthornbarrow.cells._upstream_contact import UpstreamContact
from hawthornbarrow.cells._upstream_directory import KnownUpstream

REPORT_RETRY_INTERVAL_S = 0.4
CONFIRMATION_S = 0.5  # in which each heartbeat after a gap is answered by a report
STOP_RETRY_INTERVAL_S = 0.25
MAX_START_CALLS = 3
# Change of the time that a leaving upstream has left, from which it is reported again.
REMAINING_CHANGE_S = 0.1
_SESSION_BITS = 48
# Responses that the upstream did not give, or that were decided before the call.
_UNANSWERED = frozenset(
    {StartResponse.NO_ANSWER, StartResponse.TOO_LATE, StartResponse.GONE}
)

_log = structlog.get_logger()


def _has_same_attributes(worker: WorkerRecord, other: WorkerRecord) -> bool:
    """Returns whether two records differ in the capacity only."""
    return msgspec.structs.replace(worker, capacity=other.capacity) == other


class RunSupervisor:
    """Starts, renews and stops the runs of one upstream.

    Args:
        timing: Durations of the leases.
        generator: Source of session numbers.
        now_s: Current time.
        features: Optional features that the deployment has enabled.
        process: Random number that the process drew when it started.
        service: Service that its upstream serves, empty if the settings name none.
    """

    def __init__(
        self,
        *,
        timing: RunLeaseTiming,
        generator: random.Random,
        now_s: float,
        features: frozenset[LoadFeature] = NO_FEATURES,
        process: int = 0,
        service: str = "",
    ) -> None:
        """Initializes a supervisor without an upstream.

        Claims are evaluated as if a heartbeat had just arrived.
        """
        self._timing = timing
        self._generator = generator
        self._process = process
        self._started_at_s = now_s
        self._inherited_runs_until_s = now_s + timing.lost_after_s
        self._has_had_upstream = False
        self._worker: WorkerRecord | None = None
        self._address = ""
        # Whether the attributes of the current incarnation are known.
        self._is_described = False
        self._has_announced_itself = False
        self._own_service = OwnService(service=service)
        self._is_leaving = False
        self._leaving_until_s: float | None = None
        self._tracker = DispatcherTracker(timing=timing, now_s=now_s)
        self._path = DispatcherPath(timing=timing, now_s=now_s)
        self._session = 0
        self._is_attached = False
        self._attached_at_s = -1e9
        self._has_no_unknown_runs = False
        self._lease_until_s = -1e9
        self._renewed_until_s = -1e9
        self._contact = UpstreamContact()
        self._is_unreachable = False
        self._was_suspect = False
        self._used = Resources()
        self._runs: dict[TaskKey, RunRecord] = {}
        self._ended_runs = EndedRunLog()
        self._reported_at_s = -1e9
        self._last_listed_number = 0
        self._messages: list[tuple[str, object]] = []
        self._calls: list[StartCall | StopCall] = []
        self._unknown_stopped_at_s: dict[tuple[str, int], float] = {}
        self._lost_runs = LostRuns()
        self._announced = AnnouncedUpstreams()
        self._former_upstreams = FormerUpstreams()
        self._fences = StartFences(
            timing=timing, retry_interval_s=STOP_RETRY_INTERVAL_S
        )
        self._needs_report = False
        self._attach_sent_at_s = -1e9
        self._counts: collections.Counter[str] = collections.Counter()
        self._uses_directory = LoadFeature.UPSTREAM_DIRECTORY in features
        self._known_upstream = KnownUpstream(counts=self._counts)
        self._term_since_s = now_s
        # When the dispatcher sent its newest heartbeat, on its clock.
        self._heartbeat_at_s = -math.inf
        self._confirms_until_s = -math.inf

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of events of each kind."""
        return self._counts

    @property
    def term(self) -> int:
        """Highest term of a followed dispatcher, the fencing token for upstreams."""
        return self._tracker.term

    @property
    def dispatcher(self) -> str:
        """Name of the entry whose dispatcher is followed, empty before the first."""
        return self._tracker.dispatcher

    @property
    def relay(self) -> str:
        """Entry that forwards the messages to and from the dispatcher, or empty."""
        return self._path.relay

    def is_probe_due(self, now_s: float) -> bool:
        """Returns whether to ask all relays for the dispatcher now."""
        return self._path.is_probe_due(now_s)

    @property
    def upstream(self) -> str:
        """Incarnation of the upstream, empty when there is none."""
        return self._worker.incarnation if self._worker else ""

    @property
    def listed_worker(self) -> WorkerRecord | None:
        """The worker whose upstream is to list its runs, None when there is none.

        Without an upstream that can be reached, that is the one that announced itself
        last, or else the one that the directory lists.
        """
        announced = self._asked
        if announced is not None:
            return announced.worker
        return self._worker or self._known_upstream.worker

    @property
    def _asked(self) -> AnnouncedUpstream | None:
        """The announced upstream that is asked in place of the current one, if any."""
        if self._worker is not None and not self._is_unreachable:
            return None
        return self._announced.newest

    @property
    def address(self) -> str:
        """Address that the listed worker announced, empty if it is not known."""
        announced = self._asked
        if announced is not None:
            return announced.address
        return self._address if self._worker is not None else ""

    @property
    def is_attached(self) -> bool:
        """Whether the dispatcher has accepted the current session."""
        return self._is_attached

    @property
    def lease_until_s(self) -> float:
        """Time until which runs may be renewed."""
        return self._lease_until_s

    @property
    def acknowledged(self) -> int:
        """The upstream's number of the last ended run that is acknowledged to it.

        Jobs need not be stored, so it suffices that this process has the ended run in
        memory. When the process is lost, the run counts as lost. Zero for an upstream
        that is asked for the first time: the numbers are those of the current one.
        """
        if self._worker is None or self._asked is not None:
            return 0
        return self._last_listed_number

    @property
    def run_count(self) -> int:
        """Number of runs that are starting, running or stopping."""
        return len(self._runs)

    @property
    def contact(self) -> UpstreamContact:
        """Whether the upstream answers."""
        return self._contact

    def may_poll(self, now_s: float) -> bool:
        """Returns whether to request a listing without renewing the runs."""
        if not self.term:
            return False
        if self._worker is None:
            return self.listed_worker is not None
        return not self._has_no_unknown_runs or self._contact.is_silent(now_s)

    @property
    def awaits_clean_listing(self) -> bool:
        """Whether the attach request waits only for a listing without unknown runs."""
        if self._worker is None:
            return self.listed_worker is not None
        return not self._has_no_unknown_runs and self._tracker.dispatcher != ""

    def may_renew(self, now_s: float) -> bool:
        """Returns whether the upstream's runs may be renewed now."""
        if self._worker is None or now_s >= self._lease_until_s:
            return False
        return not self._contact.is_silent(now_s)

    def may_start(self, now_s: float) -> bool:
        """Returns whether a start call may be made now.

        An upstream that broke off a call may have restarted under the same id, so it
        must be listed first.
        """
        return self.may_renew(now_s) and self._contact.broken_at_s is None

    def record_renewal(self, until_s: float) -> None:
        """Records the time until which a call about to be made renews runs."""
        self._renewed_until_s = max(self._renewed_until_s, until_s)

    def take_messages(self) -> list[tuple[str, object]]:
        """Returns the messages to send with their receivers, and clears them."""
        messages, self._messages = self._messages, []
        return messages

    def take_calls(self) -> list[StartCall | StopCall]:
        """Returns the calls to make, and clears them."""
        calls, self._calls = self._calls, []
        return calls

    # Upstream

    def announce(
        self,
        worker: WorkerRecord,
        is_leaving: bool,
        now_s: float,
        *,
        remaining_s: float | None = None,
        address: str = "",
    ) -> bool:
        """Processes an announcement of an upstream.

        An upstream with another id than the current one replaces it once a listing
        shows that it is running. Of the current id, a later start proves a restart.

        Args:
            worker: The upstream. A record that does not say when its incarnation
                started describes the current one of its id.
            is_leaving: Whether it accepts no new tasks.
            now_s: Current time.
            remaining_s: Minimum time until a leaving upstream ends, None if unknown.
            address: Its IP address and port, empty if the calls need none.

        Returns:
            Whether it may be running. An announcement of an incarnation that is known
            to have been replaced was delayed.
        """
        current = self._worker
        if current is not None and worker.upstream == current.upstream:
            born_ms = worker.born_ms or current.born_ms
            worker = msgspec.structs.replace(worker, born_ms=born_ms)
        if self._is_foreign(worker):
            return False
        if worker in self._former_upstreams:
            _log.info(
                "late_announcement_ignored",
                upstream=worker.incarnation,
                current=self.upstream,
            )
            return False
        if current is None or worker.upstream != current.upstream:
            self._add_announced(worker, is_leaving, now_s, remaining_s, address)
            return True
        is_other = worker.incarnation != current.incarnation
        if is_other or worker.service != current.service:
            self._replace_upstream(worker, now_s)
        elif not self._is_described or not _has_same_attributes(worker, current):
            self._describe(worker, now_s)
        elif worker.capacity != current.capacity:
            self._set_capacity(worker)
        self._has_announced_itself = True
        self._address = address
        if is_leaving:
            self._on_leaving(remaining_s, now_s)
        return True

    def _add_announced(
        self,
        worker: WorkerRecord,
        is_leaving: bool,
        now_s: float,
        remaining_s: float | None,
        address: str,
    ) -> None:
        """Keeps an announcement until a listing shows whether its sender is running."""
        announced = AnnouncedUpstream(
            worker=worker,
            address=address,
            is_leaving=is_leaving,
            leaving_until_s=None if remaining_s is None else now_s + remaining_s,
            announced_at_s=now_s,
        )
        if self._announced.add(announced):
            _log.info(
                "announcement_unconfirmed",
                upstream=worker.incarnation,
                current=self.upstream,
                held=len(self._runs),
            )

    def _on_confirmed(self, announced: AnnouncedUpstream, now_s: float) -> None:
        """Makes an upstream the current one after its first listing."""
        self._own_service.on_confirmed(announced.worker.service)
        self._replace_upstream(announced.worker, now_s)
        self._has_announced_itself = True
        self._address = announced.address
        if announced.is_leaving:
            until_s = announced.leaving_until_s
            remaining_s = None if until_s is None else max(0.0, until_s - now_s)
            self._on_leaving(remaining_s, now_s)

    def _remove_late_announcements(self, asked_at_s: float) -> None:
        for announced in self._announced.remove_late(asked_at_s):
            self._counts["late_announcement"] += 1
            _log.info(
                "late_announcement_ignored",
                upstream=announced.worker.incarnation,
                current=self.upstream,
            )

    def _is_foreign(self, worker: WorkerRecord) -> bool:
        """Returns whether an announcement is of another service than this agent's."""
        if self._own_service.is_own(worker.service):
            return False
        self._counts["foreign_announcement"] += 1
        _log.warning(
            "foreign_announcement_ignored",
            upstream=worker.incarnation,
            service=worker.service,
        )
        return True

    def _on_leaving(self, remaining_s: float | None, now_s: float) -> None:
        if not self._is_leaving:
            self._is_leaving = True
            self._needs_report = True
            _log.info(
                "upstream_leaving", upstream=self.upstream, remaining_s=remaining_s
            )
        if remaining_s is None:
            return
        until_s = now_s + remaining_s
        former_until_s = self._leaving_until_s
        if former_until_s is None or abs(until_s - former_until_s) > REMAINING_CHANGE_S:
            self._leaving_until_s = until_s
            self._needs_report = True

    def _remaining_s(self, now_s: float) -> float | None:
        """Returns the minimum time until a leaving upstream ends, None if unknown."""
        if self._leaving_until_s is None:
            return None
        return max(0.0, self._leaving_until_s - now_s)

    def _describe(self, worker: WorkerRecord, now_s: float) -> None:
        """Takes attributes that were not known, and sends them in an attach request."""
        self._worker = worker
        self._is_described = True
        self._end_session()
        self._send_attach_request(now_s)

    def _set_capacity(self, worker: WorkerRecord) -> None:
        """Takes a change of the upstream's capacity into account.

        Runs that no longer fit go on; nothing new starts until they do.
        """
        assert self._worker is not None
        _log.info(
            "capacity_changed",
            upstream=worker.incarnation,
            cpu=worker.capacity.cpu,
            memory_mb=worker.capacity.memory_mb,
            former_cpu=self._worker.capacity.cpu,
            former_memory_mb=self._worker.capacity.memory_mb,
            used_cpu=self._used.cpu,
        )
        self._worker = worker
        self._needs_report = True

    def withdraw(self, upstream: str, now_s: float) -> None:
        """Processes the departure of an upstream, given by its incarnation."""
        self._announced.remove(upstream)
        if self._worker is not None and self.upstream == upstream:
            _log.info("upstream_left", upstream=upstream, held=len(self._runs))
            self._end_all_as_lost("the upstream left", now_s)
            self._lost_runs.take()
            self._worker = None
            self._end_session()

    def on_upstream_gone(self, upstream: str, now_s: float) -> None:
        """Records that nothing listens at the upstream's address any more.

        Attach requests include the worker again once an upstream announces itself.

        Args:
            upstream: Its incarnation.
            now_s: Current time.
        """
        self._known_upstream.on_gone(upstream)
        if self._announced.remove(upstream):
            self._counts["late_announcement"] += 1
            _log.info("announcement_disproved", upstream=upstream)
        if self._worker is not None and self.upstream == upstream:
            self._fence_starts(now_s, only_open=True)
            youngest = max(
                self._runs.values(), key=lambda run: run.ordered_at_s, default=None
            )
            _log.warning(
                "upstream_gone",
                upstream=upstream,
                held=len(self._runs),
                youngest=str(youngest.order.task) if youngest else "",
                ran_s=round(now_s - youngest.ordered_at_s, 3) if youngest else 0.0,
            )
            self._end_after_crash("the upstream is gone", now_s)
            self._worker = None
            self._end_session()

    def _fence_starts(self, now_s: float, *, only_open: bool) -> None:
        """Fences the starts that the next incarnation under the same id may receive.

        Args:
            now_s: Current time.
            only_open: Whether only calls without a response can have reached it.
        """
        worker = self._worker
        if worker is None or not worker.born_ms:
            return
        for run in self._runs.values():
            if run.open_call_count or not only_open:
                self._fences.add(worker.upstream, run, now_s)

    def on_call_broken(self, upstream: str, now_s: float) -> None:
        """Records that the upstream broke off a call without a response."""
        if upstream == self.upstream:
            self._contact.on_call_broken(now_s)

    def _replace_upstream(
        self, worker: WorkerRecord, now_s: float, *, is_described: bool = True
    ) -> None:
        _log.info(
            "upstream_announced" if is_described else "upstream_restarted",
            upstream=worker.incarnation,
            former=self.upstream,
            held=len(self._runs),
        )
        if self._worker is not None:
            self._fence_starts(now_s, only_open=False)
            self._end_after_crash("the upstream is another incarnation", now_s)
        self._fences.on_incarnation(worker.upstream)
        self._has_had_upstream = True
        self._former_upstreams.add_newest(worker)
        self._lost_runs.take()
        self._worker = worker
        self._is_described = is_described
        self._has_announced_itself = False
        self._is_leaving = False
        self._leaving_until_s = None
        self._has_no_unknown_runs = False
        self._contact = UpstreamContact()
        self._is_unreachable = False
        self._last_listed_number = 0
        self._unknown_stopped_at_s.clear()
        self._end_session()

    # Dispatcher

    def on_heartbeat(
        self,
        peer: str,
        heartbeat: DispatcherHeartbeat,
        now_s: float,
        *,
        relay: str = "",
    ) -> None:
        """Processes a dispatcher's heartbeat, which renews the lease.

        Args:
            peer: The dispatcher's entry.
            heartbeat: The heartbeat.
            now_s: Current time.
            relay: Entry that forwarded it, or empty.
        """
        previous_dispatcher, previous_term = self._tracker.dispatcher, self.term
        if self._tracker.silent_s(now_s) > self._timing.suspect_after_s:
            self._confirms_until_s = now_s + CONFIRMATION_S
        if not self._tracker.on_heartbeat(peer, heartbeat.term, now_s):
            if not relay and self._tracker.should_inform(heartbeat):
                self._messages.append((peer, Superseded(term=self.term)))
            return
        self._heartbeat_at_s = heartbeat.sent_at_s
        if heartbeat.term > previous_term:
            _log.info(
                "dispatcher_found",
                dispatcher=peer,
                term=heartbeat.term,
                former=previous_dispatcher,
                held=len(self._runs),
            )
            self._is_attached = False
            self._new_session()
            self._path.reset(relay, now_s)
            self._on_new_term(now_s)
        if self._uses_directory and not self._has_had_upstream:
            self._known_upstream.on_known_worker(heartbeat.known_worker)
        lease_until_s = heartbeat.heard_at_s + self._timing.run_lease_s
        if now_s > self._lease_until_s and self._runs:
            self._expire_lease(now_s)
        if heartbeat.session == self._session and self._session:
            self._lease_until_s = max(self._lease_until_s, lease_until_s)
            if not self._is_attached:
                self._is_attached = True
                self._attached_at_s = now_s
                self._needs_report = True
            self._ended_runs.acknowledge(heartbeat.noted)
            # The dispatcher does not know whether this agent still follows it.
            if now_s <= self._confirms_until_s:
                self._needs_report = True
        elif self._is_attached and heartbeat.heard_at_s > self._attached_at_s:
            # The dispatcher has ended this session. Heartbeats that were sent before it
            # began may arrive late, after a partition of the direct link.
            self._end_all_as_lost("the dispatcher gave the session up", now_s)
            self._end_session()
        if self._path.on_heartbeat(relay, heartbeat.heard_at_s, now_s):
            # Orders on the former path may be lost or late. A new session, with the
            # runs as they are now, lets the dispatcher start from what is known.
            self._end_session()
        self._send_attach_request(now_s)

    def _on_new_term(self, now_s: float) -> None:
        """Requires that an upstream known from the directory is listed in this term.

        Only that fences the starts of a predecessor of this process.
        """
        self._term_since_s = now_s
        self._known_upstream.on_term(now_s)
        if self._worker is not None and not self._has_announced_itself:
            self._has_no_unknown_runs = False

    def on_claim(self, peer: str, claim: ClaimAgents, now_s: float) -> None:
        """Sends a standby the promise to follow it if its claim is granted.

        By then the leases of all runs here have expired.
        """
        if self._tracker.on_claim(peer, claim.term, now_s):
            self._messages.append((peer, GrantClaim(term=claim.term)))

    def on_link_down(self, peer: str) -> None:
        """Processes the loss of the link to an entry."""
        if peer == self._tracker.dispatcher:
            _log.warning("dispatcher_link_lost", dispatcher=peer, term=self.term)

    def on_orders(self, message: StartTasks | StopTasks, now_s: float) -> None:
        """Executes the dispatcher's orders of the current session."""
        if message.term != self.term or message.session != self._session:
            return
        if not self._is_attached:
            self._is_attached = True
            self._attached_at_s = now_s
        if isinstance(message, StopTasks):
            for task in message.tasks:
                self._stop(task, RunOutcome.STOPPED, "", now_s)
            return
        for order in message.orders:
            self._on_start_order(order, now_s)

    def _on_start_order(self, order: StartOrder, now_s: float) -> None:
        reason = self._refusal_reason(order, now_s)
        if reason:
            _log.info("start_refused", task=str(order.task), reason=reason)
            self._record_end(order, RunOutcome.LOST, now_s, reason=reason)
            return
        record = RunRecord(order=order, phase=RunPhase.STARTING, ordered_at_s=now_s)
        self._runs[order.task] = record
        self._used = self._used.plus(order.needs)
        self._call_start(record, now_s)

    def _call_start(self, record: RunRecord, now_s: float) -> None:
        record.called_at_s = now_s
        record.call_count += 1
        record.open_call_count += 1
        assert self._worker is not None
        self._calls.append(
            StartCall(
                upstream=self._worker.upstream,
                order=record.order,
                term=self.term,
                called_at_s=now_s,
                born_ms=self._worker.born_ms,
            )
        )

    def _repeat_overdue_starts(self, now_s: float) -> None:
        """Repeats start calls that are overdue.

        The upstream carries out one call of an attempt at most, so it does not matter
        which of them arrive, or when.
        """
        if not self.may_renew(now_s) or not self._fits:
            return
        for record in self._runs.values():
            is_unanswered = record.phase is RunPhase.STARTING
            is_overdue = now_s - record.called_at_s >= self._contact.overdue_after_s
            if (
                is_unanswered
                and is_overdue
                and record.open_call_count
                and record.call_count < MAX_START_CALLS
            ):
                self._counts["start_repeated"] += 1
                self._call_start(record, now_s)

    @property
    def _fits(self) -> bool:
        """Whether the runs, including those being stopped, fit into the capacity."""
        assert self._worker is not None
        return self._used.fits_into(self._worker.capacity)

    def _refusal_reason(self, order: StartOrder, now_s: float) -> str:
        """Returns why a start is refused, or an empty string."""
        if self._worker is None or not self.may_renew(now_s):
            return "no lease"
        if self._is_leaving:
            return "the upstream is leaving"
        if order.task in self._runs:
            return "held already"
        if not self._used.plus(order.needs).fits_into(self._worker.capacity):
            return "no room"
        return ""

    # Answers of the upstream

    def on_start_response(
        self, call: StartCall, response: StartResponse, now_s: float
    ) -> None:
        """Processes the upstream's response to a start call, or the lack of one.

        While a repeated call may still be answered, the lack of a response to another
        one decides nothing. A refusal of a repeated call does not prove that an earlier
        one is not carried out later, so the run is stopped and its end awaited.
        """
        self._fences.on_start_response(call, response, now_s)
        if not self._is_for_current(call):
            return
        if response not in _UNANSWERED:
            self._contact.on_response(now_s - call.called_at_s, now_s)
        record = self._runs.get(call.order.task)
        if record is None or record.order.attempt != call.order.attempt:
            return
        record.open_call_count -= 1
        task = call.order.task
        if response is StartResponse.STARTED:
            record.answered_at_s = now_s
            record.on_started(now_s)
            return
        if response is StartResponse.NO_ANSWER and record.open_call_count:
            return
        if response is not StartResponse.GONE and record.started_at_s:
            # A listing or the response to another call has shown the run.
            record.answered_at_s = record.answered_at_s or now_s
            return
        record.answered_at_s = now_s
        _log.info(
            "start_not_done",
            task=str(task),
            attempt=call.order.attempt,
            verdict=response.value,
        )
        if response is StartResponse.GONE:
            if record.call_count == 1:
                # The call never arrived, so the run has no part in a crash.
                self._end_run(task, RunOutcome.LOST, response.value, now_s)
            self.on_upstream_gone(self.upstream, now_s)
            return
        if response is StartResponse.NO_ANSWER:
            self._stop(task, RunOutcome.LOST, "no answer to the start", now_s)
            return
        end = RunOutcome.LOST
        if response is StartResponse.SUPERSEDED:
            end = RunOutcome.SUPERSEDED
        elif response in (StartResponse.DECLINED, StartResponse.NO_ROOM):
            end = RunOutcome.REFUSED
        if record.call_count > 1:
            self._stop(task, end, response.value, now_s)
        else:
            self._end_run(task, end, response.value, now_s)

    def on_stop_response(
        self, call: StopCall, is_confirmed: bool, now_s: float
    ) -> None:
        """Processes the upstream's response to a stop call.

        A confirmed stop fences start calls that arrive later. A run that began
        unnoticed takes up to ``stop_s`` to end; a listing after that confirms its end.
        """
        if not is_confirmed or not self._is_for_current(call):
            return
        self._fences.on_stop_confirmed(call, now_s)
        record = self._runs.get(call.task)
        if record is not None and record.order.attempt == call.attempt:
            record.stop_confirmed_at_s = min(record.stop_confirmed_at_s, now_s)

    def _is_for_current(self, call: StartCall | StopCall) -> bool:
        """Returns whether a call was made to the current incarnation."""
        worker = self._worker
        return worker is not None and (call.upstream, call.born_ms) == (
            worker.upstream,
            worker.born_ms,
        )

    def on_listing(self, listing: Listing, now_s: float) -> None:
        """Reconciles the runs with a listing of the upstream."""
        if not self._is_of_current(listing, now_s):
            return
        self._remove_late_announcements(listing.asked_at_s)
        is_newest = self._contact.on_listing(listing.asked_at_s, now_s)
        self._lost_runs.on_listing({run.task for run in listing.running})
        for ended in listing.ended:
            self._on_listed_end(ended, now_s)
        running = {run.task: run for run in listing.running}
        for task, record in list(self._runs.items()):
            self._reconcile(task, record, running.pop(str(task), None), listing, now_s)
        is_fenced = self._fences.on_listing(listing.asked_at_s)
        if is_newest:
            may_attach = is_fenced and (
                self._has_announced_itself or listing.asked_at_s >= self._term_since_s
            )
            self._stop_unknown_runs(list(running.values()), may_attach, now_s)
        self._report_stalls(now_s)

    def _is_of_current(self, listing: Listing, now_s: float) -> bool:
        """Returns whether a listing is of the current incarnation.

        It may be the first sign of it: of an upstream that announced itself or that the
        directory lists, or of an upstream that has restarted under the same id.
        """
        announced = self._announced.confirm(listing)
        if announced is not None and announced.worker not in self._former_upstreams:
            self._on_confirmed(announced, now_s)
            return True
        if self._worker is None:
            known = self._known_upstream.confirm(listing)
            if known is None or known in self._former_upstreams:
                return False
            self._own_service.on_confirmed(known.service)
            self._replace_upstream(known, now_s)
            return True
        if listing.upstream != self._worker.upstream:
            return False
        born_ms = self._worker.born_ms
        if not born_ms or listing.born_ms in (0, born_ms):
            return True
        if listing.born_ms < born_ms:
            self._counts["late_listing"] += 1
            return False
        restarted = msgspec.structs.replace(
            self._worker, born_ms=listing.born_ms, capacity=Resources()
        )
        self._replace_upstream(restarted, now_s, is_described=False)
        return True

    def _reconcile(
        self,
        task: TaskKey,
        record: RunRecord,
        run: ListedRun | None,
        listing: Listing,
        now_s: float,
    ) -> None:
        if run is not None and run.attempt == record.order.attempt:
            record.on_started(now_s)
            record.on_progress(run.percent, now_s)
            return
        stopped_at_s = record.stop_confirmed_at_s + self._timing.stop_s
        if listing.asked_at_s > stopped_at_s:
            self._end_run(task, record.end, record.reason, now_s)
            return
        was_known = record.started_at_s and record.answered_at_s
        if was_known and listing.asked_at_s > record.answered_at_s:
            self._end_run(task, RunOutcome.LOST, "not listed any more", now_s)

    def _on_listed_end(self, ended: ListedEndedRun, now_s: float) -> None:
        if ended.number <= self._last_listed_number:
            return
        self._last_listed_number = ended.number
        key = TaskKey.parse(ended.task)
        record = self._runs.get(key) if key else None
        if key is None or record is None or record.order.attempt != ended.attempt:
            return
        run_s = now_s - (record.started_at_s or record.ordered_at_s)
        self._end_run(key, ended.end, record.reason, now_s, run_s=run_s)

    def _stop_unknown_runs(
        self, runs: list[ListedRun], may_attach: bool, now_s: float
    ) -> None:
        """Stops unknown runs, and sends an attach request once there are none.

        Runs are unknown after a restart of this process, for example.

        Args:
            runs: The unknown runs.
            may_attach: Whether a listing without them proves that none can begin.
            now_s: Current time.
        """
        assert self._worker is not None
        if not runs:
            if not self._has_no_unknown_runs and may_attach:
                self._has_no_unknown_runs = True
                self._send_attach_request(now_s)
            return
        for run in runs:
            key = TaskKey.parse(run.task)
            if key is None:
                continue
            stopped_at_s = self._unknown_stopped_at_s.get((run.task, run.attempt), -1e9)
            if now_s - stopped_at_s >= STOP_RETRY_INTERVAL_S:
                self._unknown_stopped_at_s[(run.task, run.attempt)] = now_s
                _log.warning("stranger_stopped", task=run.task, attempt=run.attempt)
                self._calls.append(
                    StopCall(
                        upstream=self._worker.upstream,
                        task=key,
                        attempt=run.attempt,
                        term=self.term,
                        born_ms=self._worker.born_ms,
                    )
                )

    def _report_stalls(self, now_s: float) -> None:
        stalled = [
            task for task, record in self._runs.items() if record.has_stalled(now_s)
        ]
        if stalled and self._is_attached:
            for task in stalled:
                self._runs[task].progressed_at_s = now_s
                self._runs[task].unchanged_count = 0
            self._send(
                WorkerReport(
                    session=self._session,
                    is_leaving=self._is_leaving,
                    ended=[],
                    stalled=stalled,
                    is_silent=self._was_suspect,
                    capacity=self._worker.capacity if self._worker else None,
                    remaining_s=self._remaining_s(now_s),
                )
            )

    # Time

    def tick(self, now_s: float) -> None:
        """Runs periodic maintenance at ``now_s``."""
        if self._runs and now_s > self._all_ended_at_s:
            self._expire_lease(now_s)
        self._check_upstream_silence(now_s)
        self._check_reachability(now_s)
        self._repeat_overdue_starts(now_s)
        if self._worker is not None:
            self._calls += self._fences.take_calls(self._worker, self.term, now_s)
        for task, record in self._runs.items():
            is_due = now_s - record.stop_sent_at_s >= STOP_RETRY_INTERVAL_S
            if record.phase is RunPhase.STOPPING and is_due:
                self._call_stop(task, record, now_s)
        self._ended_runs.remove_old(now_s)
        is_due = (
            self._ended_runs.has_unacknowledged
            and now_s - self._reported_at_s >= REPORT_RETRY_INTERVAL_S
        )
        if self._is_attached and (self._needs_report or is_due):
            self._report(now_s)

    @property
    def _all_ended_at_s(self) -> float:
        """Time by which the upstream has ended all runs that were renewed last."""
        return self._lease_until_s + (
            self._timing.lost_after_s - self._timing.run_lease_s
        )

    def _check_upstream_silence(self, now_s: float) -> None:
        """Reports when an upstream stops or resumes answering.

        Runs of a silent upstream are not renewed, so they end with their last renewal.
        """
        if self._worker is None or not self._is_attached:
            return
        is_suspect = self._contact.is_suspect(now_s)
        if is_suspect != self._was_suspect:
            self._was_suspect = is_suspect
            self._needs_report = True
            _log.warning(
                "upstream_silent" if is_suspect else "upstream_answers_again",
                upstream=self.upstream,
                held=len(self._runs),
                silent_s=round(self._contact.silent_s(now_s), 3),
                overdue=self._contact.overdue_count,
            )
        grace_s = self._timing.lost_after_s - self._timing.run_lease_s
        if (
            self._contact.is_silent(now_s)
            and self._runs
            and now_s > self._renewed_until_s + grace_s
        ):
            self._end_all_as_lost(
                "the upstream is silent", now_s, is_upstream_silent=True
            )
            self._end_session()

    def _check_reachability(self, now_s: float) -> None:
        """Notices when announced upstreams are to be asked in place of a silent one.

        Its runs have ended by then. It is asked again once no announced one is left.
        """
        was_unreachable = self._is_unreachable
        has_successor = self._worker is not None and bool(self._announced)
        self._is_unreachable = (
            has_successor and not self._runs and self._contact.is_unreachable(now_s)
        )
        if self._is_unreachable and not was_unreachable:
            _log.warning("upstream_unreachable", upstream=self.upstream)

    def _expire_lease(self, now_s: float) -> None:
        """Ends the session, since the upstream has ended runs that were not renewed."""
        self._counts["lease_lapsed"] += 1
        _log.warning(
            "lease_lapsed",
            term=self.term,
            dispatcher=self._tracker.dispatcher,
            late_s=round(now_s - self._lease_until_s, 3),
            held=len(self._runs),
        )
        self._end_all_as_lost("the lease lapsed", now_s)
        self._end_session()

    def _report(self, now_s: float) -> None:
        self._needs_report = False
        self._reported_at_s = now_s
        self._send(
            WorkerReport(
                session=self._session,
                is_leaving=self._is_leaving,
                ended=self._ended_runs.unacknowledged(),
                is_silent=self._was_suspect,
                capacity=self._worker.capacity if self._worker else None,
                remaining_s=self._remaining_s(now_s),
                heartbeat_at_s=self._heartbeat_at_s,
            )
        )

    def _send(self, message: object) -> None:
        self._messages.append((self._tracker.dispatcher, message))

    # Sessions and runs

    def _new_session(self) -> None:
        self._session = self._generator.getrandbits(_SESSION_BITS) + 1
        self._attach_sent_at_s = -1e9

    def _end_session(self) -> None:
        self._is_attached = False
        self._new_session()

    def _send_attach_request(self, now_s: float) -> None:
        """Sends an attach request if no unknown runs exist at the upstream.

        After a restart of this process, an upstream that has not announced itself yet
        may still have runs, until the leases that its predecessor renewed expire.
        """
        if self._is_attached or not self._tracker.dispatcher:
            return
        if self._worker is not None and not self._has_no_unknown_runs:
            return
        if self._worker is None and (self._announced or self._fences.may_run(now_s)):
            return
        if not self._has_had_upstream and now_s < self._inherited_runs_until_s:
            return
        if now_s - self._attach_sent_at_s < REPORT_RETRY_INTERVAL_S:
            return
        self._attach_sent_at_s = now_s
        running = [
            ActiveRun(
                task=task,
                attempt=record.order.attempt,
                needs=record.order.needs,
                age_s=now_s - record.ordered_at_s,
                crashes=record.order.crashes,
            )
            for task, record in self._runs.items()
        ]
        self._send(
            AttachWorker(
                term=self.term,
                session=self._session,
                worker=self._worker if self._is_described else None,
                is_leaving=self._is_leaving,
                running=running,
                ended=self._ended_runs.retained(),
                sent_at_s=now_s,
                recorded_s=now_s - self._started_at_s,
                process=self._process,
                heartbeat_at_s=self._heartbeat_at_s,
            )
        )

    def _stop(self, task: TaskKey, end: RunOutcome, reason: str, now_s: float) -> None:
        record = self._runs.get(task)
        if record is None or record.phase is RunPhase.STOPPING:
            return
        if record.phase is RunPhase.STARTING and end is RunOutcome.STOPPED:
            # The start call is in flight; the stop fences it if it arrives later.
            reason = "stopped while it started"
        record.phase = RunPhase.STOPPING
        record.end = end
        record.reason = reason
        self._call_stop(task, record, now_s)

    def _call_stop(self, task: TaskKey, record: RunRecord, now_s: float) -> None:
        assert self._worker is not None
        record.stop_sent_at_s = now_s
        self._calls.append(
            StopCall(
                upstream=self._worker.upstream,
                task=task,
                attempt=record.order.attempt,
                term=self.term,
                born_ms=self._worker.born_ms,
            )
        )

    def _end_run(
        self,
        task: TaskKey,
        end: RunOutcome,
        reason: str,
        now_s: float,
        *,
        run_s: float = 0.0,
        crashed_at_s: float | None = None,
        is_upstream_silent: bool = False,
    ) -> None:
        record = self._runs.pop(task)
        self._used = self._used.minus(record.order.needs)
        self._record_end(
            record.order,
            end,
            now_s,
            reason=reason,
            run_s=run_s,
            crashed_at_s=crashed_at_s,
            is_upstream_silent=is_upstream_silent,
        )

    def _survived_s(self, record: RunRecord) -> float:
        """Returns for how long the upstream is known to have run since an order."""
        return max(0.0, self._contact.alive_until_s - record.ordered_at_s)

    def _end_all_as_lost(
        self, reason: str, now_s: float, *, is_upstream_silent: bool = False
    ) -> None:
        """Ends all runs whose end at the upstream was not seen."""
        if self._runs:
            self._has_no_unknown_runs = False
        for task, record in list(self._runs.items()):
            self._lost_runs.add(record.order, self._survived_s(record))
            self._end_run(
                task,
                RunOutcome.LOST,
                reason,
                now_s,
                is_upstream_silent=is_upstream_silent,
            )

    def _end_after_crash(self, reason: str, now_s: float) -> None:
        """Ends all runs after the upstream has ended without notice.

        Runs that were lost before, and have not been listed since, are reported again:
        the upstream may have crashed under them. An upstream that was leaving was to
        end, so it has not crashed.
        """
        if self._is_leaving:
            self._end_all_as_lost(reason, now_s)
            self._lost_runs.take()
            return
        if self._runs:
            self._has_no_unknown_runs = False
        broken_at_s = self._contact.broken_at_s
        crashed_at_s = now_s if broken_at_s is None else broken_at_s
        for task, record in list(self._runs.items()):
            is_crashed = record.ordered_at_s <= crashed_at_s
            self._end_run(
                task,
                RunOutcome.LOST,
                reason,
                now_s,
                run_s=self._survived_s(record),
                crashed_at_s=crashed_at_s if is_crashed else None,
            )
        for lost in self._lost_runs.take():
            self._record_end(
                lost.order,
                RunOutcome.LOST,
                now_s,
                reason=reason,
                run_s=lost.survived_s,
                crashed_at_s=crashed_at_s,
            )

    def _record_end(
        self,
        order: StartOrder,
        end: RunOutcome,
        now_s: float,
        *,
        reason: str = "",
        run_s: float = 0.0,
        crashed_at_s: float | None = None,
        is_upstream_silent: bool = False,
    ) -> None:
        self._counts[f"run_{end.value}"] += 1
        self._ended_runs.add(
            order,
            end,
            now_s,
            worker=self._worker,
            reason=reason,
            run_s=run_s,
            crashed_at_s=crashed_at_s,
            is_upstream_silent=is_upstream_silent,
        )
        self._needs_report = True
