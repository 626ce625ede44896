"""Identity of a replica: its name and the incarnation of its disk.

A replica whose disk was wiped generates a new incarnation at its next start, so it
cannot vote or count towards a quorum under the identity that other replicas know.
"""

import pathlib
import secrets

import msgspec

from hawthornbarrow.ledger._files import read_checked, write_atomically
from hawthornbarrow.ledger._messages import Members
from hawthornbarrow.ledger._storage import FileStorage, Snapshot

_IDENTITY_FILE = "identity"
_INITIAL_INCARNATION = "1"


class ReplicaIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Name of a replica and incarnation of its disk."""

    name: str
    incarnation: str

    def __str__(self) -> str:
        """Returns the identity as used in messages."""
        return f"{self.name}.{self.incarnation}"


def initialise_folder(folder: pathlib.Path, name: str, voters: list[str]) -> None:
    """Creates the folder of an initial voter.

    Args:
        folder: The replica's data folder; it must not contain an identity yet.
        name: Name of this replica.
        voters: Names of all initial voters, this one included.

    Raises:
        FileExistsError: The folder belongs to a replica already.
        ValueError: The name is not among the voters.
    """
    if name not in voters:
        raise ValueError(f"{name} is not among the voters {', '.join(voters)}")
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / _IDENTITY_FILE).exists():
        raise FileExistsError(f"{folder} belongs to a replica already")
    initial_voters = tuple(
        f"{voter}.{_INITIAL_INCARNATION}" for voter in sorted(voters)
    )
    _save_initial_voters(folder, initial_voters)
    identity = ReplicaIdentity(name=name, incarnation=_INITIAL_INCARNATION)
    write_atomically(folder / _IDENTITY_FILE, msgspec.json.encode(identity))


def load_identity(folder: pathlib.Path, name: str) -> ReplicaIdentity:
    """Returns the identity in a folder, creating a new incarnation in an empty one.

    Raises:
        ValueError: The folder belongs to a replica of another name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / _IDENTITY_FILE
    if path.exists():
        identity = msgspec.json.decode(read_checked(path), type=ReplicaIdentity)
        if identity.name != name:
            raise ValueError(f"{folder} belongs to {identity.name}, expected {name}")
        return identity
    identity = ReplicaIdentity(name=name, incarnation=secrets.token_hex(4))
    write_atomically(path, msgspec.json.encode(identity))
    return identity


def holds_ledger(folder: pathlib.Path) -> bool:
    """Returns whether a folder contains a ledger: initial voters, entries or a term."""
    storage = FileStorage(folder=folder)
    stored = storage.load()
    storage.close()
    has_members = bool(stored.snapshot.members.voters)
    return has_members or bool(stored.entries) or stored.hard.term > 0


def store_initial_voters(folder: pathlib.Path, voters: tuple[str, ...]) -> bool:
    """Stores the initial voters, unless the folder contains a ledger already.

    Args:
        folder: The replica's data folder.
        voters: Identities of all initial voters.

    Returns:
        Whether they were stored.
    """
    if holds_ledger(folder):
        return False
    _save_initial_voters(folder, voters)
    return True


def _save_initial_voters(folder: pathlib.Path, voters: tuple[str, ...]) -> None:
    storage = FileStorage(folder=folder)
    storage.load()
    storage.save_snapshot(
        Snapshot(index=0, term=0, members=Members(voters=voters), data=b"")
    )
    storage.close()
