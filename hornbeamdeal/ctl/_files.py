"""The `check`, `diff` and `pack` commands, which work on document files."""

from dataclasses import asdict
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from hornbeamdeal.document import (
    MAXIMUM_DOCUMENT_BYTES,
    Change,
    Document,
    DocumentDiff,
    Fault,
    FaultKind,
    build_manifest,
    diff_documents,
    parse_document,
    split_document,
)

from ._report import ExitCode, Report

# One byte above the limit, so that the parser sees and reports an oversized file.
_READ_LIMIT_BYTES = MAXIMUM_DOCUMENT_BYTES + 1


def check(path: str, against: str) -> Report:
    """Check a document, and what a change to it from `against` would break."""
    content = _read(path)
    document = content.and_then(parse_document)
    if document.is_err():
        return _fault_report([(path, document.err_value)])
    report = Report(_summary_lines(document.ok_value), _summary_data(document.ok_value))
    if not against:
        return report
    old = _read(against).and_then(parse_document)
    if old.is_err():
        return _fault_report([(against, old.err_value)])
    difference = diff_documents(old.ok_value, document.ok_value)
    report.lines += _warning_lines(difference)
    report.data["warnings"] = [_json_fields(warning) for warning in difference.warnings]
    if difference.warnings:
        report.exit_code = ExitCode.DIFFERENCE
    return report


def diff(old_path: str, new_path: str) -> Report:
    """Report the changes from one document to another."""
    old = _read(old_path).and_then(parse_document)
    new = _read(new_path).and_then(parse_document)
    results = ((old_path, old), (new_path, new))
    faults_by_path = [(path, r.err_value) for path, r in results if r.is_err()]
    if faults_by_path:
        return _fault_report(faults_by_path)
    difference = diff_documents(old.ok_value, new.ok_value)
    is_unchanged = old.ok_value.version == new.ok_value.version
    return Report(
        lines=["no change" if is_unchanged else _version_line(old, new)]
        + [_change_line(change) for change in difference.changes]
        + _warning_lines(difference),
        data={
            "old": str(old.ok_value.version),
            "new": str(new.ok_value.version),
            "changes": [_json_fields(change) for change in difference.changes],
            "warnings": [_json_fields(warning) for warning in difference.warnings],
        },
        exit_code=ExitCode.OK if is_unchanged else ExitCode.DIFFERENCE,
    )


def pack(path: str, out: str) -> Report:
    """Write the manifest and segment files that operators publish on the platform."""
    content = _read(path)
    document = content.and_then(parse_document)
    if document.is_err():
        return _fault_report([(path, document.err_value)])
    segments = split_document(content.ok_value)
    manifest = build_manifest(document.ok_value.version, segments)
    folder = Path(out) / "document"
    try:
        (folder / "segments").mkdir(parents=True, exist_ok=True)
        for segment in segments:
            target = folder / "segments" / segment.digest.hex()
            target.write_bytes(segment.content)
        # Written last, so that a reader that sees the manifest finds its segments.
        (folder / "manifest").write_bytes(manifest.encode())
    except OSError as error:
        return _fault_report([(out, [_file_fault(error)])])
    lines = [f"wrote {len(segments)} segments and the manifest to {folder}"]
    lines.append("publish the segments first and the manifest last")
    data = _summary_data(document.ok_value)
    data["segments"] = [segment.digest.hex() for segment in segments]
    return Report(_summary_lines(document.ok_value) + lines, data)


def _read(path: str) -> Result[bytes, list[Fault]]:
    try:
        with open(path, "rb") as file:
            return Ok(file.read(_READ_LIMIT_BYTES))
    except OSError as error:
        return Err([_file_fault(error)])


def _file_fault(error: OSError) -> Fault:
    remedy = "check the path and its permissions"
    return Fault(1, FaultKind.FILE, error.strerror or str(error), remedy)


def _fault_report(faults_by_path: list[tuple[str, list[Fault]]]) -> Report:
    path_faults = [(path, fault) for path, faults in faults_by_path for fault in faults]
    return Report(
        lines=[f"{path}:{f.line}: {f.message}; {f.remedy}" for path, f in path_faults],
        data={"faults": [{"path": path, **_json_fields(f)} for path, f in path_faults]},
        exit_code=ExitCode.DIFFERENCE,
    )


def _summary_lines(document: Document) -> list[str]:
    data = _summary_data(document)
    counts = ", ".join(f"{k}: {data[k]}" for k in ("services", "addresses", "targets"))
    return [f"version {data['version']}, digest {data['digest']}", counts]


def _summary_data(document: Document) -> dict[str, Any]:
    services = document.services_by_name.values()
    return {
        "version": document.version.number,
        "digest": document.version.digest.hex(),
        "services": len(services),
        "addresses": sum(len(s.addresses) for s in services),
        "targets": sum(len(s.targets) for s in services),
    }


def _version_line(old: Result, new: Result) -> str:
    return f"version {old.ok_value.version} to {new.ok_value.version}"


def _change_line(change: Change) -> str:
    kind = change.kind.value.replace("_", " ")
    detail = f" ({change.detail})" if change.detail else ""
    line = f"{change.service}: {kind}: {change.name}{detail}"
    if change.moved_share:
        line += f", moves about {change.moved_share:.1%} of new flows"
    return line


def _warning_lines(difference: DocumentDiff) -> list[str]:
    return [f"warning: {warning}" for warning in difference.warnings]


def _json_fields(value: Any) -> dict[str, Any]:
    fields = asdict(value)
    fields["kind"] = value.kind.value
    return fields
