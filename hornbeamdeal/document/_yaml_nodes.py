"""Parsing of YAML into nodes with line numbers, and of nodes into plain values."""

import math
import re
from typing import Any

import yaml
from result import Err, Ok, Result

from ._faults import Fault, FaultKind

# YAML 1.1 also reads 012 as 10 and 1:30 as 90. Here such scalars stay strings, so the
# schema check rejects them.
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
MAXIMUM_DEPTH = 16
# No setting needs more digits, and int() takes quadratic time in their number.
_MAXIMUM_DIGITS = 19


def compose(text: str) -> Result[yaml.Node | None, Fault]:
    """Parse YAML text into a node tree."""
    try:
        too_deep_line = _find_too_deep_line(text)
        if too_deep_line is not None:
            return Err(_syntax_fault(too_deep_line, "too many nested levels"))
        return Ok(yaml.compose(text, Loader=yaml.CSafeLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        problem = ", ".join(filter(None, (error.context, error.problem)))
        # An unclosed bracket is reported at the end of the text, below its last line.
        last_line = text.rstrip().count("\n") + 1
        line = min(mark.line + 1, last_line) if mark else 1
        return Err(_syntax_fault(line, problem))
    except yaml.reader.ReaderError as error:
        line = text.count("\n", 0, error.position or 0) + 1
        return Err(_syntax_fault(line, f"unreadable character, {error.reason}"))


def _find_too_deep_line(text: str) -> int | None:
    """Return the first line that is nested too deeply, or None.

    The C loader composes nodes recursively, and a document of 200,000 opening
    brackets overflows the stack of the process; parsing events does not recurse.
    """
    depth = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > MAXIMUM_DEPTH:
                return event.start_mark.line + 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
    return None


def _syntax_fault(line: int, problem: str) -> Fault:
    remedy = "correct the YAML at or just above this line"
    return Fault(line, FaultKind.SYNTAX, problem, remedy)


def line_of(node: yaml.Node) -> int:
    """Return the line on which a node starts, counted from 1."""
    return node.start_mark.line + 1


class NodeConverter:
    """Converts nodes to plain values and collects the faults found."""

    __slots__ = ("_visited_node_ids", "faults")

    def __init__(self):
        self.faults: list[Fault] = []
        self._visited_node_ids: set[int] = set()

    def convert(self, node: yaml.Node) -> Any:
        """Return the plain value of a node."""
        if id(node) in self._visited_node_ids:
            self._report_alias(node)
            return None
        self._visited_node_ids.add(id(node))
        if node.tag not in _ALLOWED_TAGS:
            self._report_tag(node)
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(node)
        if isinstance(node, yaml.SequenceNode):
            return [self.convert(item) for item in node.value]
        return _convert_scalar(node)

    def _convert_mapping(self, node: yaml.MappingNode) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = self._convert_key(key_node)
            if key in values:
                self._report_duplicate(key_node, key)
                continue
            values[key] = self.convert(value_node)
        return values

    def _convert_key(self, node: yaml.Node) -> str:
        if isinstance(node, yaml.ScalarNode):
            return node.value
        message = "a key is a list or a mapping"
        self._add_fault(node, FaultKind.VALUE, message, "use a plain name as the key")
        return f"(line {line_of(node)})"

    def _report_duplicate(self, node: yaml.Node, key: str) -> None:
        message = f"key {key!r} occurs twice in one mapping"
        self._add_fault(node, FaultKind.DUPLICATE_KEY, message, "remove one of the two")

    def _report_alias(self, node: yaml.Node) -> None:
        message = "an alias (*) refers to this value"
        remedy = "write the value out in each place instead of using an alias"
        self._add_fault(node, FaultKind.REFERENCE, message, remedy)

    def _report_tag(self, node: yaml.Node) -> None:
        message = f"tag {node.tag} is not allowed"
        self._add_fault(node, FaultKind.REFERENCE, message, "remove the tag")

    def _add_fault(self, node: yaml.Node, kind: FaultKind, message: str, remedy: str):
        self.faults.append(Fault(line_of(node), kind, message, remedy))


def _convert_scalar(node: yaml.ScalarNode) -> Any:
    text = node.value
    if node.tag == _CORE_TAG + "str":
        return text
    if node.tag == _CORE_TAG + "null":
        return None
    if node.tag == _CORE_TAG + "bool":
        return _BOOLEANS_BY_TEXT.get(text, text)
    if len(text) <= _MAXIMUM_DIGITS and _INTEGER.fullmatch(text):
        return int(text)
    if _DECIMAL.fullmatch(text) and math.isfinite(float(text)):
        return float(text)
    return text


def find_line(node: yaml.Node, path: list[Any], key: str | None = None) -> int:
    """Return the line of the value at a path, or of a key of that value.

    If the path does not exist, return the line of the deepest part that does.
    """
    line = line_of(node)
    for key_or_index in [*path, *([key] if key is not None else [])]:
        child = _find_child(node, key_or_index)
        if child is None:
            return line
        line, node = child
    return line


def _find_child(node: yaml.Node, key_or_index: Any) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == key_or_index:
                return line_of(key_node), value_node
    if isinstance(node, yaml.SequenceNode) and isinstance(key_or_index, int):
        return line_of(node.value[key_or_index]), node.value[key_or_index]
    return None
