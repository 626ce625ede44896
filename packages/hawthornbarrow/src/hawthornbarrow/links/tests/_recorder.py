"""Encodes a sample of each message and stored record, to be read by later versions.

`python -m hawthornbarrow.links.tests._recorder > recorded_messages.json`, in this
folder and on a landed commit, records what that version writes.
"""

import itertools
import json

import msgspec
from msgspec import inspect

from hawthornbarrow.cells import WorkerRecord
from hawthornbarrow.ledger import HardState, LogEntry, Snapshot
from hawthornbarrow.ledger._commands import Command
from hawthornbarrow.ledger._messages import ReplicaEnvelope
from hawthornbarrow.ledger._state import _StateSnapshot
from hawthornbarrow.links._frames import Frame, Hello
from hawthornbarrow.links._messages import Message

# What is decoded as one type: in frames, between replicas, and in files.
ROOTS = {
    "frame": Frame | Hello,
    "message": Message,
    "replica message": ReplicaEnvelope,
    "command": Command,
    "term": HardState,
    "log": list[LogEntry],
    "snapshot": Snapshot,
    "state": _StateSnapshot,
    "worker": WorkerRecord,
}


class _Sampler:
    """Builds samples whose values differ.

    Attributes:
        fields: Names of the fields of each struct, by the name of its class.
    """

    def __init__(self):
        self.fields = {}
        self._numbers = itertools.count(1)

    def variants(self, info):
        """Returns a sample of each struct of a union, or of another type."""
        if isinstance(info, inspect.UnionType):
            return [self.sample(one) for one in info.types]
        return [self.sample(info)]

    def sample(self, info):
        number = next(self._numbers)
        match info:
            case inspect.StructType():
                names = [field.name for field in info.fields]
                self.fields[info.cls.__name__] = names
                values = [self.sample(field.type) for field in info.fields]
                return info.cls(**dict(zip(names, values, strict=True)))
            case inspect.UnionType():
                kinds = [t for t in info.types if not isinstance(t, inspect.NoneType)]
                return self.sample(kinds[0])
            case inspect.ListType() | inspect.VarTupleType():
                return [self.sample(info.item_type)]
            case inspect.TupleType():
                return tuple(self.sample(item) for item in info.item_types)
            case inspect.SetType() | inspect.FrozenSetType():
                return {self.sample(info.item_type)}
            case inspect.DictType():
                return {self.sample(info.key_type): self.sample(info.value_type)}
            case inspect.EnumType():
                members = list(info.cls)
                return members[number % len(members)]
            case inspect.NoneType():
                return None
            case inspect.IntType():
                return number
            case inspect.FloatType():
                return number + 0.5
            case inspect.BoolType():
                return True
            case inspect.BytesType():
                return b"b%d" % number
            case inspect.StrType():
                return f"s{number}"
        raise TypeError(f"no sample of {info}")


def nested_variants(info, sampler):
    """Returns samples of a struct with each variant of its unions of structs."""
    samples = sampler.variants(info)
    for sample in list(samples):
        if not isinstance(sample, msgspec.Struct):
            continue
        for field in inspect.type_info(type(sample)).fields:
            if not isinstance(field.type, inspect.UnionType):
                continue
            for variant in sampler.variants(field.type):
                if isinstance(variant, msgspec.Struct):
                    changes = {field.name: variant}
                    samples.append(msgspec.structs.replace(sample, **changes))
    return samples


def record():
    """Returns the encoded samples by their root, and the names of all fields."""
    sampler = _Sampler()
    encoded = {}
    for name, root in ROOTS.items():
        samples = nested_variants(inspect.type_info(root), sampler)
        encoded[name] = [msgspec.msgpack.encode(one).hex() for one in samples]
    return {"encoded": encoded, "fields": sampler.fields}


if __name__ == "__main__":
    print(json.dumps(record(), indent=1))
