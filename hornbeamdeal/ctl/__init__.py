"""Command-line tool for operators; it only reads from hosts."""
