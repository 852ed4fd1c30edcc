"""Order of versions: the only rule for replacing the version in force."""

from hornbeamdeal.document import accept
from hornbeamdeal.kernel import Version

# Means "no version" in messages.
NO_VERSION = Version(0, b"")


def is_newer(candidate: Version, in_force: Version | None) -> bool:
    """Return whether a candidate replaces the version in force.

    A pure function of both, so that all hosts make the same decision: the greater
    number wins; if two contents share a number, the greater digest wins.
    """
    return accept(in_force or NO_VERSION, candidate)


def is_conflict(candidate: Version, in_force: Version | None) -> bool:
    """Return whether two different contents were published with one number."""
    if in_force is None or candidate.number != in_force.number:
        return False
    return candidate.digest != in_force.digest and candidate.number > 0
