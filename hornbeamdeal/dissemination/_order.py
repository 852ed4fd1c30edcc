"""Order of versions: the only rule by which a host replaces what is in force."""

from hornbeamdeal.document import accept
from hornbeamdeal.kernel import Version

# Stands for "nothing" in messages.
NO_VERSION = Version(0, b"")


def is_newer(candidate: Version, in_force: Version | None) -> bool:
    """Tell whether a candidate replaces the version in force.

    A pure function of the two, so all hosts decide alike: the greater number
    wins, and of two documents with one number the greater digest.
    """
    return accept(in_force or NO_VERSION, candidate)


def is_conflict(candidate: Version, in_force: Version | None) -> bool:
    """Tell whether two different documents were published with one number."""
    if in_force is None or candidate.number != in_force.number:
        return False
    return candidate.digest != in_force.digest and candidate.number > 0
