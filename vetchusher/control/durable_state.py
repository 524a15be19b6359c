"""The persistent state of this machine: its vote, the replica set it accepted and its copy of the state.

The module tracks how much of it is on disk, and holds back each message until what it depends on is on disk.
"""

from __future__ import annotations

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import ControlMessage, ControlState, ReplicaSet
from vetchusher.events import Event, LogEvent

from .messages import Output, Persist, PersistentState, Send, Timing
from .state import replica_set_id, state_stamp


class DurableState:
    """The vote, the replica set, the copy, and the messages that wait until these are on disk.

    Of each kind of message, only the newest one for each receiver waits. One `Persist` is in flight at a
    time; changes made meanwhile are part of the next one, so a disk that hangs doesn't make memory grow. Each
    change of the contents gets the next revision.
    """

    def __init__(self, timing: Timing, contents: PersistentState, *, on_disk: bool) -> None:
        """Start with the contents that were loaded, or with initial ones.

        :param on_disk: whether the contents are on disk already; otherwise they are written first
        """
        self.timing = timing
        self.voted_epoch = contents.voted_epoch
        self.voted_for = contents.voted_for
        self.replica_set = contents.replica_set
        self.state = contents.state
        self.has_copy = contents.has_copy
        self.revision = 0 if on_disk else 1  # of the newest contents
        # Revisions of the last change of the vote or the replica set, and of the copy.
        self.vote_revision = self.state_revision = self.revision
        self.synced_revision = 0  # revision of the contents on disk
        self.synced_voted_epoch = contents.voted_epoch if on_disk else 0
        self.synced_replica_set: StampTuple = replica_set_id(contents.replica_set) if on_disk else ZERO_STAMP
        self.synced_stamp: StampTuple = state_stamp(contents.state) if on_disk else ZERO_STAMP
        self.synced_has_copy = contents.has_copy and on_disk
        self.persisting: tuple[int, PersistentState] | None = None
        self.retry_at = 0
        self.pending_messages: dict[tuple[str, str], tuple[int, ControlMessage]] = {}

    def record_vote(self, epoch: int, candidate: str) -> None:
        """Record a vote in an epoch; an epoch lower than that of the newest vote is ignored.

        :param candidate: the candidate voted for; or the primary that a majority voted for, even if this
            machine had voted for another candidate
        """
        if (epoch, candidate) != (self.voted_epoch, self.voted_for) and epoch >= self.voted_epoch:
            self.voted_epoch, self.voted_for = epoch, candidate
            self.revision += 1
            self.vote_revision = self.revision

    def accept_replica_set(self, replica_set: ReplicaSet) -> None:
        """Accept a replica set if it is newer than the current one."""
        if replica_set_id(replica_set) > replica_set_id(self.replica_set):
            self.replica_set = replica_set
            self.revision += 1
            self.vote_revision = self.revision

    def restore(self, contents: PersistentState) -> None:
        """Replace the contents by those that this machine, after it lost its disk, recovered from others."""
        self.voted_epoch, self.voted_for, self.replica_set = (
            contents.voted_epoch,
            contents.voted_for,
            contents.replica_set,
        )
        self.state, self.has_copy = contents.state, contents.has_copy
        self.revision += 1
        self.vote_revision = self.state_revision = self.revision

    def store_copy(self, state: ControlState) -> None:
        """Store a state as this machine's copy."""
        self.state, self.has_copy = state, True
        self.revision += 1
        self.state_revision = self.revision

    def drop_copy(self) -> None:
        """Delete this machine's copy."""
        self.state, self.has_copy = ControlState(), False
        self.revision += 1
        self.state_revision = self.revision

    def repair_copy(self, state: ControlState | None) -> None:
        """Store a repaired copy.

        Safety: if the copy has got a later stamp meanwhile, the repaired one is dropped.

        :param state: the repaired copy; None: write the unchanged contents again, as the rows on disk are
            damaged
        """
        if state is None:
            self.revision += 1
            self.vote_revision = self.state_revision = self.revision
            return
        if self.has_copy and state_stamp(state) == state_stamp(self.state):
            self.store_copy(state)

    def send_when_synced(self, to: str, message: ControlMessage, revision: int) -> list[Output]:
        """Send a message once the contents of a revision are on disk; at once if they already are."""
        if revision <= self.synced_revision:
            return [Send(to, message)]
        self.pending_messages[to, str(message.WhichOneof("kind"))] = (revision, message)
        return []

    def persist_changes(self, now: int) -> list[Output]:
        """Return a `Persist` if there are unsynced changes, none is in flight and no retry is pending.

        :param now: microseconds of the steady clock
        """
        if self.persisting is not None or self.revision == self.synced_revision or now < self.retry_at:
            return []
        contents = PersistentState(
            self.voted_epoch, self.state, self.voted_for, self.replica_set, self.has_copy
        )
        self.persisting = (self.revision, contents)
        return [Persist(*self.persisting)]

    def on_persisted(self, now: int, token: int, *, synced: bool) -> list[Output]:
        """Handle the result of a `Persist` and return the messages that waited for it.

        After a failure, the write is retried after `Timing.persist_retry_us`.

        :param token: the revision that was written; results of other writes are ignored
        """
        if self.persisting is None or self.persisting[0] != token:
            return []
        (revision, contents), self.persisting = self.persisting, None
        if not synced:
            self.retry_at = now + self.timing.persist_retry_us
            return [
                LogEvent(
                    Event.STORE_FAILED,
                    {"promised": contents.voted_epoch, "stamp": state_stamp(contents.state)},
                )
            ]
        self.synced_revision, self.synced_voted_epoch, self.synced_replica_set = (
            revision,
            contents.voted_epoch,
            replica_set_id(contents.replica_set),
        )
        self.synced_stamp, self.synced_has_copy = state_stamp(contents.state), contents.has_copy
        ready = [key for key, (required, _) in self.pending_messages.items() if required <= revision]
        return [Send(key[0], self.pending_messages.pop(key)[1]) for key in ready]
