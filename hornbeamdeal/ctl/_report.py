"""Results of commands and how they are printed."""

import json
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """Exit codes of the command line; 2 (usage) is set by fire."""

    OK = 0
    DIFFERENCE = 1
    UNREACHABLE = 3


@dataclass(slots=True)
class Report:
    """What a command found: lines for people, data for programs."""

    lines: list[str] = field(default_factory=list)
    data: dict[str, Any] = field(default_factory=dict)
    exit_code: ExitCode = ExitCode.OK
    as_json: bool = False

    def __str__(self) -> str:
        if self.as_json:
            return json.dumps(self.data, indent=2)
        return "\n".join(self.lines)
