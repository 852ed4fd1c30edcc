"""Public exceptions; those defined here say how to correct the problem."""


class HornbeamdealError(Exception):
    """Base class of the public exceptions of this package."""

    __slots__ = ()


class UnknownPluginError(HornbeamdealError):
    """A group has no plug-in of the requested name."""

    __slots__ = ("group", "name")

    def __init__(self, group: str, name: str, known_names: list[str]):
        self.group = group
        self.name = name
        super().__init__(
            f"unknown {group} plug-in {name!r}; use one of: {', '.join(known_names)}"
        )


class ParameterError(HornbeamdealError):
    """A constructor parameter has a value that is not allowed."""

    __slots__ = ("parameter",)

    def __init__(self, owner: str, parameter: str, value: object, allowed: str):
        self.parameter = parameter
        super().__init__(
            f"{owner}: {parameter}={value!r} is not allowed; set it to {allowed}"
        )
