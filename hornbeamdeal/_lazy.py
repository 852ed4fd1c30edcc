"""Lazy imports: a package loads a module when one of its names is first used.

With this (PEP 562), starting a node loads little more than the packet forwarding
code. The `lazy_loader` package does the same, but it imports `ast` and `inspect`,
which takes longer than loading the modules that it would defer.
"""

import importlib


def attach(package: str, names_by_module: dict[str, list[str]]) -> tuple:
    """Return `__getattr__`, `__dir__` and `__all__` for a package."""
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get_attribute(name: str) -> object:
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{module_by_name[name]}")
        value = getattr(module, name)
        # Later uses of the name then bypass this function.
        setattr(importlib.import_module(package), name, value)
        return value

    names = sorted(module_by_name)
    return get_attribute, lambda: names, names
