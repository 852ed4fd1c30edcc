"""Registry in which plug-ins enter themselves by group and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from ._errors import UnknownPluginError

PluginT = TypeVar("PluginT", bound=type)

_plugins_by_group: dict[str, dict[str, type]] = {}


def register(group: str, name: str) -> Callable[[PluginT], PluginT]:
    """Enter the decorated class under a group and a name."""

    def enter(plugin: PluginT) -> PluginT:
        _plugins_by_group.setdefault(group, {})[name] = plugin
        return plugin

    return enter


def create(group: str, name: str, **parameters: Any) -> Any:
    """Build a plug-in; raise UnknownPluginError where none has the name."""
    plugins_by_name = _plugins_by_group.get(group, {})
    if name not in plugins_by_name:
        raise UnknownPluginError(group, name, sorted(plugins_by_name))
    return plugins_by_name[name](**parameters)


def plugin_names(group: str) -> list[str]:
    """Return the names of a group's plug-ins in order."""
    return sorted(_plugins_by_group.get(group, {}))
