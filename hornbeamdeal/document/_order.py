"""The order in which documents replace one another."""

from hornbeamdeal.kernel import Version


def accept(current: Version | None, candidate: Version) -> bool:
    """Tell whether the candidate replaces the document in force.

    The rule depends on the two versions alone, so hosts that see the same
    candidates in any order end with the same document.
    """
    return current is None or candidate > current
