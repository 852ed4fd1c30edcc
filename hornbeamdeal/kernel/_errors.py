"""Base of all errors: a typed kind whose message names the remedy."""


class HornbeamdealError(Exception):
    """Base class of the project's errors."""

    __slots__ = ()


class UnknownPluginError(HornbeamdealError):
    """No plug-in of the group has the name."""

    __slots__ = ("group", "name")

    def __init__(self, group: str, name: str, known: list[str]):
        self.group = group
        self.name = name
        super().__init__(
            f"no {group} plug-in is called {name!r}; use one of: {', '.join(known)}"
        )


class ParameterError(HornbeamdealError):
    """A constructor parameter is out of its range."""

    __slots__ = ("parameter",)

    def __init__(self, owner: str, parameter: str, value: object, allowed: str):
        self.parameter = parameter
        super().__init__(
            f"{owner}: {parameter}={value!r} is not allowed; set it to {allowed}"
        )
