"""Lazy imports of public names, so that processes start quickly."""

import collections.abc
import importlib

__all__ = ["lazy_attributes"]


def lazy_attributes(
    package: str, modules: dict[str, str]
) -> collections.abc.Callable[[str], object]:
    """Returns a package's `__getattr__` that imports public names on first use.

    Args:
        package: Name of the package.
        modules: Module, relative to the package, that defines each public name.

    Examples:
        >>> load = lazy_attributes("os", {"join": "path"})
        >>> load("join")("a", "b")
        'a/b'
    """

    def load(name: str) -> object:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return load
