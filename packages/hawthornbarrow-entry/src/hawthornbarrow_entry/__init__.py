"""The entry process: serves callers and operators, owns jobs, dispatches tasks."""

import typing

from hawthornbarrow.lazy import lazy_attributes

if typing.TYPE_CHECKING:
    from hawthornbarrow_entry._core import EntryCore, EntryIdentity
    from hawthornbarrow_entry._effects import (
        Answer,
        DropUnacknowledged,
        EntryEffect,
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
    "DropUnacknowledged",
    "EntrySettings",
    "Propose",
    "Reply",
    "ReplyTarget",
    "SendMessage",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "Answer": "_effects",
        "EntryCore": "_core",
        "EntryEffect": "_effects",
        "EntryIdentity": "_core",
        "EntryProcess": "_process",
        "EntrySettings": "_process",
        "DropUnacknowledged": "_effects",
        "Propose": "_effects",
        "Reply": "_effects",
        "ReplyTarget": "_effects",
        "SendMessage": "_effects",
    },
)
