"""The entry process: takes callers and operators, owns jobs, dispatches tasks."""

from hawthornbarrow_entry._core import EntryCore, EntryIdentity
from hawthornbarrow_entry._effects import (
    Answer,
    EntryEffect,
    ForgetPeer,
    Propose,
    Reply,
    ReplyTarget,
    SendMessage,
)
from hawthornbarrow_entry._process import EntryProcess, EntrySettings

__all__ = [
    "Answer",
    "EntryCore",
    "EntryEffect",
    "EntryIdentity",
    "EntryProcess",
    "ForgetPeer",
    "EntrySettings",
    "Propose",
    "Reply",
    "ReplyTarget",
    "SendMessage",
]
