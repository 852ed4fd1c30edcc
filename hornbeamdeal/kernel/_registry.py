"""Registry of plug-in classes by group and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from ._errors import UnknownPluginError

PluginT = TypeVar("PluginT", bound=type)

_plugins_by_group: dict[str, dict[str, type]] = {}


def register_plugin(group: str, name: str) -> Callable[[PluginT], PluginT]:
    """Return a decorator that registers a class under a group and a name."""

    def decorate(plugin: PluginT) -> PluginT:
        _plugins_by_group.setdefault(group, {})[name] = plugin
        return plugin

    return decorate


def create_plugin(group: str, name: str, **parameters: Any) -> Any:
    """Create an instance of a plug-in.

    Raises UnknownPluginError if the group has no plug-in of this name.
    """
    plugins_by_name = _plugins_by_group.get(group, {})
    if name not in plugins_by_name:
        raise UnknownPluginError(group, name, sorted(plugins_by_name))
    return plugins_by_name[name](**parameters)


def plugin_names(group: str) -> list[str]:
    """Return the sorted names of the plug-ins in a group."""
    return sorted(_plugins_by_group.get(group, {}))
