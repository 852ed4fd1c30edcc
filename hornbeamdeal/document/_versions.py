"""Rule by which a document replaces another."""

from hornbeamdeal.kernel import Version


def accept(current: Version | None, candidate: Version) -> bool:
    """Return whether the candidate replaces the version in force.

    The result depends only on the two versions, so hosts that receive the same
    candidates in any order converge on the same document.
    """
    return current is None or candidate > current
