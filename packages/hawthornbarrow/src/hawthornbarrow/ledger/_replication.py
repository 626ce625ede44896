"""Replication: what a leader sends to each follower, and what it knows of them."""

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
from hawthornbarrow.ledger._snapshot_transfer import chunk_of
from hawthornbarrow.ledger._storage import Snapshot

MAX_ENTRIES_PER_MESSAGE = 256


class Replication:
    """The leader's side of one term.

    Args:
        replica: Identity of the leader.
        term: Its term.
        log: Its log.
        snapshot: Its newest snapshot.
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
        """Starts to follow all members of the log."""
        self._replica = replica
        self._term = term
        self._log = log
        self._heartbeat_s = heartbeat_s
        self._messages: list[tuple[str, RaftMessage]] = []
        self.snapshot = snapshot
        self.since_s = now_s
        self.progress: dict[str, Progress] = {}
        self.sync_members(now_s)

    def take_messages(self) -> list[tuple[str, RaftMessage]]:
        """Returns the messages to send, and forgets them."""
        messages, self._messages = self._messages, []
        return messages

    def heard(self, now_s: float, limit_s: float) -> set[str]:
        """Returns the replicas heard within the limit, the leader included."""
        heard = {self._replica}
        for name, progress in self.progress.items():
            if now_s - progress.heard_at_s <= limit_s:
                heard.add(name)
        return heard

    def hears_quorum(self, now_s: float, limit_s: float) -> bool:
        """Tells whether a quorum was heard within the limit, or may yet be."""
        if now_s - self.since_s <= limit_s:
            return True
        members = self._log.members
        heard = self.heard(now_s, limit_s)
        return sum(voter in heard for voter in members.voters) >= members.quorum

    def confirmed_at_s(self, now_s: float) -> float:
        """Returns when a quorum was last known to follow.

        A quorum has answered messages that were sent at that time or later, so none
        of its voters votes for another before its election timeout has passed since.
        """
        members = self._log.members
        times_s = sorted(
            now_s if voter == self._replica else self._confirmed_by(voter)
            for voter in members.voters
        )
        return times_s[len(times_s) - members.quorum]

    def _confirmed_by(self, voter: str) -> float:
        progress = self.progress.get(voter)
        return progress.confirmed_at_s if progress else -math.inf

    def sync_members(self, now_s: float) -> None:
        """Follows just the present members."""
        others = set(self._log.members.everyone) - {self._replica}
        for gone in set(self.progress) - others:
            del self.progress[gone]
        for name in sorted(others - set(self.progress)):
            self.progress[name] = Progress(
                next=self._log.last_index + 1, heard_at_s=now_s, sent_at_s=-1e9
            )

    def broadcast(self, now_s: float, commit: int) -> None:
        """Sends to each follower what is new or due."""
        for name in self.progress:
            self._send_to(name, now_s, commit)

    def tell_commit(
        self, names: collections.abc.Iterable[str], commit: int, now_s: float
    ) -> None:
        """Sends the commit index at once to those who wait for it."""
        for name in sorted(set(names)):
            progress = self.progress.get(name)
            if progress is not None and progress.next > self._log.base_index:
                self._send_entries(name, progress, commit, now_s)

    def match_of(self, replica: str) -> int:
        """Returns the last index known to be synced at a follower."""
        progress = self.progress.get(replica)
        return progress.match if progress else 0

    def quorum_index(self, synced: int) -> int:
        """Returns the last index synced at a quorum of the voters.

        Args:
            synced: Last index synced at the leader itself.
        """
        members = self._log.members
        matches = sorted(
            synced if voter == self._replica else self.match_of(voter)
            for voter in members.voters
        )
        return matches[len(matches) - members.quorum]

    def take_append_reply(
        self, sender: str, message: AppendReply, now_s: float, commit: int
    ) -> None:
        """Takes a follower's answer to entries."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.heard_at_s = now_s
        progress.confirmed_at_s = max(progress.confirmed_at_s, message.sent_at_s)
        if message.accepted:
            progress.match = max(progress.match, message.match)
            progress.next = max(progress.next, progress.match + 1)
        else:
            progress.next = max(1, min(progress.next - 1, message.hint))
            progress.match = min(progress.match, progress.next - 1)
        if progress.next <= self._log.last_index:
            self._send_to(sender, now_s, commit)

    def take_snapshot_reply(
        self, sender: str, message: SnapshotReply, now_s: float
    ) -> None:
        """Takes a follower's answer to a chunk of the snapshot."""
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.heard_at_s = now_s
        if message.index != progress.snapshot_index:
            return
        progress.snapshot_received = message.received
        if message.received < len(self.snapshot.data):
            self._send_snapshot(sender, progress)

    def _send_to(self, name: str, now_s: float, commit: int) -> None:
        progress = self.progress[name]
        is_due = now_s - progress.sent_at_s >= self._heartbeat_s
        has_news = progress.next <= self._log.last_index
        if not is_due and not has_news:
            return
        if is_due and 0 < progress.match < progress.next - 1:
            progress.next = progress.match + 1
        needs_snapshot = progress.next <= self._log.base_index
        if needs_snapshot and not is_due:
            return
        progress.sent_at_s = now_s
        if needs_snapshot:
            self._send_snapshot(name, progress)
        else:
            self._send_entries(name, progress, commit, now_s)

    def _send_entries(
        self, name: str, progress: Progress, commit: int, now_s: float
    ) -> None:
        previous = progress.next - 1
        previous_term = self._log.term_at(previous)
        assert previous_term is not None
        entries = self._log.slice(progress.next, MAX_ENTRIES_PER_MESSAGE)
        progress.next += len(entries)
        message = AppendEntries(
            term=self._term,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit=commit,
            sent_at_s=now_s,
        )
        self._messages.append((name, message))

    def _send_snapshot(self, name: str, progress: Progress) -> None:
        if progress.snapshot_index != self.snapshot.index:
            progress.snapshot_index = self.snapshot.index
            progress.snapshot_received = 0
        chunk = chunk_of(self.snapshot, progress.snapshot_received, self._term)
        self._messages.append((name, chunk))
