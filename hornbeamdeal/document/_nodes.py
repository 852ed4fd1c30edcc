"""YAML text as nodes with line marks, and nodes as plain values."""

import math
import re
from typing import Any

import yaml
from result import Err, Ok, Result

from ._faults import Fault, FaultKind

# YAML 1.1 also reads 012 as 10 and 1:30 as 90; such scalars stay text here, so
# that the type check reports them.
_INTEGER = re.compile(r"-?(?:0|[1-9][0-9]*)")
_DECIMAL = re.compile(r"-?(?:0|[1-9][0-9]*)\.[0-9]+")
_BOOLEANS_BY_TEXT = {"true": True, "false": False}
_CORE_TAG = "tag:yaml.org,2002:"
_CORE_TYPES = [
    "str",
    "null",
    "bool",
    "int",
    "float",
    "timestamp",
    "merge",
    "value",
    "map",
    "seq",
]
_ALLOWED_TAGS = frozenset(_CORE_TAG + name for name in _CORE_TYPES)
# The document format has 5 levels.
MAX_DEPTH = 16
# Integers of more digits are of no use, and int() is quadratic in their number.
_MAX_DIGITS = 19


def compose(text: str) -> Result[yaml.Node | None, Fault]:
    """Read YAML text into nodes."""
    try:
        deep_line = _find_deep_line(text)
        if deep_line is not None:
            return Err(_syntax_fault(deep_line, "too many nested levels"))
        return Ok(yaml.compose(text, Loader=yaml.CSafeLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        problem = ", ".join(filter(None, (error.context, error.problem)))
        # The end of the text, where an unclosed bracket shows up, is below it.
        last_line = text.rstrip().count("\n") + 1
        line = min(mark.line + 1, last_line) if mark else 1
        return Err(_syntax_fault(line, problem))
    except yaml.reader.ReaderError as error:
        line = text.count("\n", 0, error.position or 0) + 1
        return Err(_syntax_fault(line, f"unreadable character, {error.reason}"))


def _find_deep_line(text: str) -> int | None:
    """Return the first line that is nested too deeply.

    The C loader composes recursively and overflows the stack of the process on
    a document of 200,000 opening brackets; reading events does not recurse.
    """
    depth = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > MAX_DEPTH:
                return event.start_mark.line + 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
    return None


def _syntax_fault(line: int, problem: str) -> Fault:
    remedy = "correct the YAML at or just above this line"
    return Fault(line, FaultKind.SYNTAX, problem, remedy)


def line_of(node: yaml.Node) -> int:
    """Return the line on which a node starts, from 1."""
    return node.start_mark.line + 1


class PlainReader:
    """Turns nodes into plain values and collects the faults on the way."""

    __slots__ = ("_seen", "faults")

    def __init__(self):
        self.faults: list[Fault] = []
        self._seen: set[int] = set()

    def read(self, node: yaml.Node) -> Any:
        """Return the value of a node."""
        if id(node) in self._seen:
            self._report_alias(node)
            return None
        self._seen.add(id(node))
        if node.tag not in _ALLOWED_TAGS:
            self._report_tag(node)
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node)
        if isinstance(node, yaml.SequenceNode):
            return [self.read(item) for item in node.value]
        return _read_scalar(node)

    def _read_mapping(self, node: yaml.MappingNode) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = self._read_key(key_node)
            if key in values:
                self._report_duplicate(key_node, key)
                continue
            values[key] = self.read(value_node)
        return values

    def _read_key(self, node: yaml.Node) -> str:
        if isinstance(node, yaml.ScalarNode):
            return node.value
        message = "a key is a list or a mapping"
        self._add(node, FaultKind.VALUE, message, "use a plain name as the key")
        return f"(line {line_of(node)})"

    def _report_duplicate(self, node: yaml.Node, key: str) -> None:
        message = f"key {key!r} occurs twice in one mapping"
        self._add(node, FaultKind.DUPLICATE_KEY, message, "remove one of the two")

    def _report_alias(self, node: yaml.Node) -> None:
        message = "an alias (*) refers to this value"
        remedy = "write the value out in each place instead of using an alias"
        self._add(node, FaultKind.REFERENCE, message, remedy)

    def _report_tag(self, node: yaml.Node) -> None:
        message = f"tag {node.tag} is not allowed"
        self._add(node, FaultKind.REFERENCE, message, "remove the tag")

    def _add(self, node: yaml.Node, kind: FaultKind, message: str, remedy: str):
        self.faults.append(Fault(line_of(node), kind, message, remedy))


def _read_scalar(node: yaml.ScalarNode) -> Any:
    text = node.value
    if node.tag == _CORE_TAG + "str":
        return text
    if node.tag == _CORE_TAG + "null":
        return None
    if node.tag == _CORE_TAG + "bool":
        return _BOOLEANS_BY_TEXT.get(text, text)
    if len(text) <= _MAX_DIGITS and _INTEGER.fullmatch(text):
        return int(text)
    if _DECIMAL.fullmatch(text) and math.isfinite(float(text)):
        return float(text)
    return text


def find_line(node: yaml.Node, path: list[Any], key: str | None = None) -> int:
    """Return the line of the value at a path, or of one of that value's keys."""
    line = line_of(node)
    for step in [*path, *([key] if key is not None else [])]:
        found = _child(node, step)
        if found is None:
            return line
        line, node = found
    return line


def _child(node: yaml.Node, step: Any) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == step:
                return line_of(key_node), value_node
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
        return line_of(node.value[step]), node.value[step]
    return None
