"""Packages whose modules are loaded when a name of theirs is first used.

The start of a node loads little more than what forwards packets (PEP 562).
`lazy_loader` does the same but loads `ast` and `inspect` itself, which takes
longer than the modules that it would spare.
"""

import importlib


def attach(package: str, names_by_module: dict[str, list[str]]) -> tuple:
    """Return `__getattr__`, `__dir__` and `__all__` of a package."""
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get_attribute(name: str) -> object:
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{module_by_name[name]}")
        value = getattr(module, name)
        # The next use of the name finds it without this function.
        setattr(importlib.import_module(package), name, value)
        return value

    names = sorted(module_by_name)
    return get_attribute, lambda: names, names
