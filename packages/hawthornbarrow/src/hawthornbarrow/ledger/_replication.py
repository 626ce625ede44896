"""Replication: log replication from a leader to its followers."""

import collections.abc
import math

from hawthornbarrow.ledger._messages import (
    AppendEntries,
    AppendReply,
    RaftMessage,
    SnapshotReply,
)
from hawthornbarrow.ledger._progress import Progress
from hawthornbarrow.ledger._raft_log import RaftLog
from hawthornbarrow.ledger._snapshot_transfer import snapshot_chunk
from hawthornbarrow.ledger._storage import Snapshot

MAX_ENTRIES_PER_MESSAGE = 256


class Replication:
    """Replicates the log of a leader during one term.

    Args:
        replica: Identity of the leader.
        term: Term of the leader.
        log: Log of the leader.
        snapshot: Newest snapshot of the leader.
        heartbeat_s: Interval between messages to a follower.
        now_s: Current time.
    """

    def __init__(
        self,
        *,
        replica: str,
        term: int,
        log: RaftLog,
        snapshot: Snapshot,
        heartbeat_s: float,
        now_s: float,
    ) -> None:
        """Initializes the progress of all other members of the log."""
        self._replica = replica
        self._term = term
        self._log = log
        self._heartbeat_s = heartbeat_s
        self._messages: list[tuple[str, RaftMessage]] = []
        self.snapshot = snapshot
        self.leading_since_s = now_s
        self.progress: dict[str, Progress] = {}
        self.sync_members(now_s)

    def take_messages(self) -> list[tuple[str, RaftMessage]]:
        """Returns the messages to send and clears them."""
        messages, self._messages = self._messages, []
        return messages

    def recently_heard(self, now_s: float, timeout_s: float) -> set[str]:
        """Returns the replicas heard within the timeout, the leader included."""
        heard = {self._replica}
        for name, progress in self.progress.items():
            if now_s - progress.heard_at_s <= timeout_s:
                heard.add(name)
        return heard

    def has_quorum_contact(self, now_s: float, timeout_s: float) -> bool:
        """Returns whether a quorum was heard within the timeout.

        Returns True in any case until the timeout has passed since the term of this
        leader began, as followers may not have answered yet.
        """
        if now_s - self.leading_since_s <= timeout_s:
            return True
        members = self._log.members
        heard = self.recently_heard(now_s, timeout_s)
        return sum(voter in heard for voter in members.voters) >= members.quorum

    def confirmed_at_s(self, now_s: float) -> float:
        """Returns the time up to which a quorum has confirmed this leader.

        A quorum has answered messages that were sent at that time or later, so none
        of its voters votes for another replica before an election timeout has passed
        since then.
        """
        members = self._log.members
        times_s = sorted(
            now_s if voter == self._replica else self._confirmed_at_s_of(voter)
            for voter in members.voters
        )
        return times_s[len(times_s) - members.quorum]

    def promise_s(self) -> float:
        """Returns the shortest time for which a follower votes for no other replica."""
        promises = (progress.promise_s for progress in self.progress.values())
        return min(promises, default=math.inf)

    def _confirmed_at_s_of(self, voter: str) -> float:
        progress = self.progress.get(voter)
        return progress.confirmed_at_s if progress else -math.inf

    def sync_members(self, now_s: float) -> None:
        """Adds and removes progress records to match the current members."""
        others = set(self._log.members.all_replicas) - {self._replica}
        for removed in set(self.progress) - others:
            del self.progress[removed]
        for name in sorted(others - set(self.progress)):
            self.progress[name] = Progress(
                next_index=self._log.last_index + 1, heard_at_s=now_s, sent_at_s=-1e9
            )

    def broadcast(self, now_s: float, commit_index: int) -> None:
        """Sends new entries, or a heartbeat if one is due, to each follower."""
        for name in self.progress:
            self._send_to(name, now_s, commit_index)

    def send_commit_index(
        self, names: collections.abc.Iterable[str], commit_index: int, now_s: float
    ) -> None:
        """Sends the commit index without waiting for the next heartbeat.

        Args:
            names: Replicas whose proposals were just committed; they wait for it.
            commit_index: Commit index of the leader.
            now_s: Current time.
        """
        for name in sorted(set(names)):
            progress = self.progress.get(name)
            if progress is not None and progress.next_index > self._log.base_index:
                self._send_entries(name, progress, commit_index, now_s)

    def match_index_of(self, replica: str) -> int:
        """Returns the match index of a follower, zero if it is not a member."""
        progress = self.progress.get(replica)
        return progress.match_index if progress else 0

    def quorum_index(self, synced_index: int) -> int:
        """Returns the last index synced at a quorum of the voters.

        Args:
            synced_index: Last index synced at the leader itself.
        """
        members = self._log.members
        match_indexes = sorted(
            synced_index if voter == self._replica else self.match_index_of(voter)
            for voter in members.voters
        )
        return match_indexes[len(match_indexes) - members.quorum]

    def on_append_reply(
        self, sender: str, message: AppendReply, now_s: float, commit_index: int
    ) -> None:
        """Processes a follower's reply to AppendEntries."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.heard_at_s = now_s
        progress.confirmed_at_s = max(progress.confirmed_at_s, message.sent_at_s)
        progress.promise_s = message.promise_s
        if message.accepted:
            progress.match_index = max(progress.match_index, message.match)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            progress.next_index = max(1, min(progress.next_index - 1, message.hint))
            progress.match_index = min(progress.match_index, progress.next_index - 1)
        if progress.next_index <= self._log.last_index:
            self._send_to(sender, now_s, commit_index)

    def on_snapshot_reply(
        self, sender: str, message: SnapshotReply, now_s: float
    ) -> None:
        """Processes a follower's reply to a chunk of the snapshot."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.heard_at_s = now_s
        if message.index != progress.snapshot_index:
            return
        progress.snapshot_received = message.received
        if message.received < len(self.snapshot.data):
            self._send_snapshot(sender, progress)

    def _send_to(self, name: str, now_s: float, commit_index: int) -> None:
        progress = self.progress[name]
        is_due = now_s - progress.sent_at_s >= self._heartbeat_s
        has_new_entries = progress.next_index <= self._log.last_index
        if not is_due and not has_new_entries:
            return
        if is_due and 0 < progress.match_index < progress.next_index - 1:
            progress.next_index = progress.match_index + 1
        needs_snapshot = progress.next_index <= self._log.base_index
        if needs_snapshot and not is_due:
            return
        progress.sent_at_s = now_s
        if needs_snapshot:
            self._send_snapshot(name, progress)
        else:
            self._send_entries(name, progress, commit_index, now_s)

    def _send_entries(
        self, name: str, progress: Progress, commit_index: int, now_s: float
    ) -> None:
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        assert previous_term is not None
        entries = self._log.slice(progress.next_index, MAX_ENTRIES_PER_MESSAGE)
        progress.next_index += len(entries)
        message = AppendEntries(
            term=self._term,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=entries,
            commit=commit_index,
            sent_at_s=now_s,
        )
        self._messages.append((name, message))

    def _send_snapshot(self, name: str, progress: Progress) -> None:
        if progress.snapshot_index != self.snapshot.index:
            progress.snapshot_index = self.snapshot.index
            progress.snapshot_received = 0
        chunk = snapshot_chunk(self.snapshot, progress.snapshot_received, self._term)
        self._messages.append((name, chunk))
