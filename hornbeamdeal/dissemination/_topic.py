"""State of one topic: what is in force and what is being fetched."""

from dataclasses import dataclass, field
from typing import Any

from hornbeamdeal.document import Manifest, digest_of
from hornbeamdeal.kernel import (
    Count,
    Endpoint,
    LogEvent,
    PutInForce,
    UseHostList,
    Version,
)

from ._order import NO_VERSION, is_conflict, is_newer

DOCUMENT = "document"
HOSTS = "hosts"
# Rejected versions that are remembered, so that they are not fetched again.
REJECTED_ENTRIES = 32


@dataclass(slots=True)
class Candidate:
    """A version that is newer than the one in force and not yet complete."""

    version: Version
    progress_at: float
    segment_digests: tuple[bytes, ...] | None = None
    sources: list[Endpoint] = field(default_factory=list)
    manifest_due: float = 0.0
    manifest_tries: int = 0
    due_by_digest: dict[bytes, float] = field(default_factory=dict)
    use_platform: bool = False
    from_platform: bool = False


class Topic:
    """A document or a host list with its order, segments and candidate.

    `check` returns the fault of a content, or an empty string; a faulty
    version is never put in force.
    """

    __slots__ = (
        "candidate",
        "check",
        "conflicts",
        "in_force",
        "name",
        "outbox",
        "rejected",
        "segment_digests",
        "segments_by_digest",
    )

    def __init__(self, name: str, check: Any, outbox: list[Any]):
        self.name = name
        self.check = check
        self.outbox = outbox
        self.in_force: Version | None = None
        self.segment_digests: tuple[bytes, ...] = ()
        self.segments_by_digest: dict[bytes, bytes] = {}
        self.candidate: Candidate | None = None
        self.rejected: dict[Version, None] = {}
        self.conflicts: dict[Version, None] = {}

    @property
    def version(self) -> Version:
        """Return the version in force, `NO_VERSION` where there is none."""
        return self.in_force or NO_VERSION

    def consider(self, version: Version, now: float) -> Candidate | None:
        """Return the candidate of a version, None where it is not wanted."""
        self._note_conflict(version)
        if not is_newer(version, self.in_force) or version in self.rejected:
            return None
        if self.candidate is None or is_newer(version, self.candidate.version):
            self.candidate = Candidate(version, now)
        is_same = self.candidate.version == version
        return self.candidate if is_same else None

    def take_manifest(self, manifest: Manifest, now: float) -> Candidate | None:
        """Note the segments of a version that is wanted."""
        candidate = self.consider(manifest.version, now)
        if candidate and candidate.segment_digests is None:
            candidate.segment_digests = manifest.segment_digests
            candidate.progress_at = now
        return candidate

    def missing(self) -> list[bytes]:
        """Return the digests of the candidate's segments that are not here."""
        if self.candidate is None or self.candidate.segment_digests is None:
            return []
        here = self.segments_by_digest
        wanted = dict.fromkeys(self.candidate.segment_digests)
        return [digest for digest in wanted if digest not in here]

    def take_segment(self, digest: bytes, content: bytes, now: float) -> bool:
        """Keep a verified segment that the candidate needs."""
        candidate = self.candidate
        if candidate is None or digest not in (candidate.segment_digests or ()):
            return False
        self.segments_by_digest[digest] = content
        candidate.due_by_digest.pop(digest, None)
        candidate.progress_at = now
        return True

    def complete(self) -> bool:
        """Put the candidate in force if all its segments are here and right."""
        candidate = self.candidate
        if candidate is None or candidate.segment_digests is None or self.missing():
            return False
        here = self.segments_by_digest
        content = b"".join(here[digest] for digest in candidate.segment_digests)
        if digest_of(content) != candidate.version.digest:
            self._drop_mismatch(candidate)
            return False
        fault = self.check(content) if self.check else ""
        if fault:
            self._reject(candidate.version, fault)
            return False
        self._put_in_force(candidate, content)
        return True

    def abandon(self) -> None:
        """Give the candidate up; a later offer starts it anew."""
        self.outbox.append(Count("dissemination_abandoned", self.name))
        self._drop_candidate()

    def _put_in_force(self, candidate: Candidate, content: bytes) -> None:
        # The order rule is checked here again, at the only place that changes
        # what is in force.
        if not is_newer(candidate.version, self.in_force):
            self._drop_candidate()
            return
        self.in_force = candidate.version
        self.segment_digests = candidate.segment_digests
        self._drop_candidate()
        if self.name == DOCUMENT:
            self.outbox.append(PutInForce(self.in_force, content))
        else:
            self.outbox.append(UseHostList(self.in_force.number, content))
        fields = {"topic": self.name, "version": str(self.in_force)}
        self.outbox.append(LogEvent("version_in_force", fields))

    def _drop_candidate(self) -> None:
        """Forget the candidate and the segments that only it needed."""
        self.candidate = None
        here = self.segments_by_digest
        self.segments_by_digest = {d: here[d] for d in self.segment_digests}

    def _drop_mismatch(self, candidate: Candidate) -> None:
        self.outbox.append(Count("dissemination_bad_content", self.name))
        fields = {"topic": self.name, "version": str(candidate.version)}
        self.outbox.append(LogEvent("content_digest_mismatch", fields, "error"))
        candidate.segment_digests = None
        candidate.due_by_digest.clear()

    def _reject(self, version: Version, fault: str) -> None:
        self.outbox.append(Count("dissemination_rejected_versions", self.name))
        fields = {"topic": self.name, "version": str(version), "fault": fault}
        self.outbox.append(LogEvent("version_rejected", fields, "error"))
        _remember(self.rejected, version)
        self._drop_candidate()

    def _note_conflict(self, version: Version) -> None:
        known = self.candidate.version if self.candidate else None
        if not is_conflict(version, self.in_force) and not is_conflict(version, known):
            return
        if version in self.conflicts:
            return
        _remember(self.conflicts, version)
        self.outbox.append(Count("dissemination_version_conflicts", self.name))
        fields = {"topic": self.name, "version": str(version)}
        fields["other"] = str(max(self.version, known or NO_VERSION))
        self.outbox.append(LogEvent("version_number_used_twice", fields, "error"))


def _remember(versions: dict[Version, None], version: Version) -> None:
    versions[version] = None
    while len(versions) > REJECTED_ENTRIES:
        del versions[next(iter(versions))]
