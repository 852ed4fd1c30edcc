"""State of one topic: the version in force and the candidate being fetched."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hornbeamdeal.document import Manifest, sha256_digest
from hornbeamdeal.kernel import (
    ApplyHostList,
    Endpoint,
    IncrementCounter,
    LogEvent,
    PutInForce,
    Version,
)

from ._order import NO_VERSION, is_conflict, is_newer

DOCUMENT = "document"
HOST_LIST = "hosts"
# Rejected versions are remembered so that they are not fetched again, and conflicts
# so that they are reported once; this bounds each of the two.
MAXIMUM_REMEMBERED_VERSIONS = 32


@dataclass(slots=True)
class Candidate:
    """A version that is newer than the one in force and not yet complete.

    Times are monotonic, in seconds.
    """

    version: Version
    last_progress_at: float
    segment_digests: tuple[bytes, ...] | None = None
    sources: list[Endpoint] = field(default_factory=list)
    manifest_due_at: float = 0.0
    manifest_requests: int = 0
    deadline_by_digest: dict[bytes, float] = field(default_factory=dict)
    may_read_segments_from_platform: bool = False
    manifest_from_platform: bool = False


class Topic:
    """A document or a host list: version in force, segments and candidate.

    For a host list, "in force" means in use.

    `check` returns the fault found in the content, or an empty string if it is valid;
    a faulty version is never put in force. `number_of` returns the number that the
    content itself states; a version with another number is faulty as well.
    """

    __slots__ = (
        "actions",
        "candidate",
        "check",
        "conflicts",
        "in_force",
        "name",
        "number_of",
        "rejected",
        "segment_digests",
        "segments_by_digest",
    )

    def __init__(
        self,
        name: str,
        check: Any,
        actions: list[Any],
        number_of: Callable[[bytes], int | None] | None = None,
    ):
        self.name = name
        self.check = check
        self.number_of = number_of
        self.actions = actions
        self.in_force: Version | None = None
        self.segment_digests: tuple[bytes, ...] = ()
        self.segments_by_digest: dict[bytes, bytes] = {}
        self.candidate: Candidate | None = None
        self.rejected: dict[Version, None] = {}
        self.conflicts: dict[Version, None] = {}

    @property
    def version(self) -> Version:
        """Return the version in force, or `NO_VERSION` if there is none."""
        return self.in_force or NO_VERSION

    def consider(self, version: Version, now: float) -> Candidate | None:
        """Return the candidate for a version, or None if it is not wanted.

        Also report a conflict, and replace the candidate by a newer version.
        """
        self._report_conflict(version)
        if not is_newer(version, self.in_force) or version in self.rejected:
            return None
        if self.candidate is None or is_newer(version, self.candidate.version):
            self.candidate = Candidate(version, now)
        is_same = self.candidate.version == version
        return self.candidate if is_same else None

    def apply_manifest(self, manifest: Manifest, now: float) -> Candidate | None:
        """Record the digests of a version that is, or hereby becomes, the candidate."""
        candidate = self.consider(manifest.version, now)
        if candidate and candidate.segment_digests is None:
            candidate.segment_digests = manifest.segment_digests
            candidate.last_progress_at = now
        return candidate

    def missing_segments(self) -> list[bytes]:
        """Return the digests of the candidate's segments that are not stored."""
        if self.candidate is None or self.candidate.segment_digests is None:
            return []
        segments = self.segments_by_digest
        wanted = dict.fromkeys(self.candidate.segment_digests)
        return [digest for digest in wanted if digest not in segments]

    def store_segment(self, digest: bytes, content: bytes, now: float) -> bool:
        """Store a verified segment; return False if the candidate does not need it."""
        candidate = self.candidate
        if candidate is None or digest not in (candidate.segment_digests or ()):
            return False
        self.segments_by_digest[digest] = content
        candidate.deadline_by_digest.pop(digest, None)
        candidate.last_progress_at = now
        return True

    def try_complete(self) -> bool:
        """Put the candidate in force if it is complete and valid."""
        candidate = self.candidate
        if (
            candidate is None
            or candidate.segment_digests is None
            or self.missing_segments()
        ):
            return False
        segments = self.segments_by_digest
        content = b"".join(segments[digest] for digest in candidate.segment_digests)
        if sha256_digest(content) != candidate.version.digest:
            self._discard_manifest(candidate)
            return False
        fault = self._find_fault(candidate.version, content)
        if fault:
            self._reject(candidate.version, fault)
            return False
        self._put_in_force(candidate, content)
        return True

    def abandon(self) -> None:
        """Abandon the candidate; a later offer starts it again."""
        self.actions.append(IncrementCounter("dissemination_abandoned", self.name))
        self._drop_candidate()

    def _find_fault(self, version: Version, content: bytes) -> str:
        if self.number_of is not None and self.number_of(content) != version.number:
            return "the content states another number; offer its own"
        return self.check(content) if self.check else ""

    def _put_in_force(self, candidate: Candidate, content: bytes) -> None:
        # The order rule is checked again here, at the only place that changes the
        # version in force.
        if not is_newer(candidate.version, self.in_force):
            self._drop_candidate()
            return
        self.in_force = candidate.version
        self.segment_digests = candidate.segment_digests
        self._drop_candidate()
        if self.name == DOCUMENT:
            self.actions.append(PutInForce(self.in_force, content))
        else:
            self.actions.append(ApplyHostList(self.in_force.number, content))
        fields = {"topic": self.name, "version": str(self.in_force)}
        self.actions.append(LogEvent("version_in_force", fields))

    def _drop_candidate(self) -> None:
        """Discard the candidate and the segments that only it needed."""
        self.candidate = None
        segments = self.segments_by_digest
        self.segments_by_digest = {d: segments[d] for d in self.segment_digests}

    def _discard_manifest(self, candidate: Candidate) -> None:
        self.actions.append(IncrementCounter("dissemination_bad_content", self.name))
        fields = {"topic": self.name, "version": str(candidate.version)}
        self.actions.append(LogEvent("content_digest_mismatch", fields, "error"))
        candidate.segment_digests = None
        candidate.deadline_by_digest.clear()

    def _reject(self, version: Version, fault: str) -> None:
        self.actions.append(
            IncrementCounter("dissemination_rejected_versions", self.name)
        )
        fields = {"topic": self.name, "version": str(version), "fault": fault}
        self.actions.append(LogEvent("version_rejected", fields, "error"))
        _remember_version(self.rejected, version)
        self._drop_candidate()

    def _report_conflict(self, version: Version) -> None:
        known = self.candidate.version if self.candidate else None
        if not is_conflict(version, self.in_force) and not is_conflict(version, known):
            return
        if version in self.conflicts:
            return
        _remember_version(self.conflicts, version)
        self.actions.append(
            IncrementCounter("dissemination_version_conflicts", self.name)
        )
        fields = {"topic": self.name, "version": str(version)}
        fields["other"] = str(max(self.version, known or NO_VERSION))
        self.actions.append(LogEvent("version_number_used_twice", fields, "error"))


def _remember_version(versions: dict[Version, None], version: Version) -> None:
    versions[version] = None
    while len(versions) > MAXIMUM_REMEMBERED_VERSIONS:
        del versions[next(iter(versions))]
