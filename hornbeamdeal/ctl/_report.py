"""Command results, their output formats and exit codes."""

import json
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """Exit codes of the commands; `fire` itself exits with 2 on wrong usage."""

    OK = 0
    DIFFERENCE = 1
    UNREACHABLE = 3


@dataclass(slots=True)
class Report:
    """Result of a command: `lines` for people, `data` for JSON output."""

    lines: list[str] = field(default_factory=list)
    data: dict[str, Any] = field(default_factory=dict)
    exit_code: ExitCode = ExitCode.OK
    as_json: bool = False

    def __str__(self) -> str:
        if self.as_json:
            return json.dumps(self.data, indent=2)
        return "\n".join(self.lines)
