"""Entry point of the operators' command line."""

import sys
from typing import Any

import fire

from . import _explain, _files, _nodes, _status
from ._report import Report


class Commands:
    """Check, publish and follow configuration documents of hornbeamdeal.

    A usual change: edit the document and raise its version; check it against
    the one in force; pack it and publish the files in the trial environment;
    look at status until no host lags; publish the same files in production; ask
    promoted.

    No command changes anything on a host. Exit codes: 0 in order, 1 a fault or
    a difference, 2 wrong usage, 3 a host is unreachable. Add --json to a
    command for output that programs can read.
    """

    def check(self, document, against="", json=False) -> Report:
        """Check a document and print every fault with its line and remedy.

        Args:
            document: Path of the document to check.
            against: Path of the document in force now; prints what the change
                from it would break.
            json: Print JSON.
        """
        return _finish(_files.check(str(document), str(against)), json)

    def diff(self, old, new, json=False) -> Report:
        """Print what changes between two documents, and what would break.

        Args:
            old: Path of the document in force now.
            new: Path of the document that would replace it.
            json: Print JSON.
        """
        return _finish(_files.diff(str(old), str(new)), json)

    def pack(self, document, out, json=False) -> Report:
        """Write the files that you publish on the configuration service.

        Args:
            document: Path of the document.
            out: Folder for document/manifest and document/segments/<digest>.
            json: Print JSON.
        """
        return _finish(_files.pack(str(document), str(out)), json)

    def status(self, hosts, json=False) -> Report:
        """Print the version in force on each entry host, and which hosts lag.

        Args:
            hosts: Admin ports of the entry hosts, as ip:port,ip:port.
            json: Print JSON.
        """
        return _finish(_status.status(_split(hosts)), json)

    def explain(self, host, address, caller, json=False) -> Report:
        """Ask a host which backend server a caller's flow gets, and why.

        Args:
            host: Admin port of the entry host, as ip:port.
            address: Service address that the caller sends to, as ip:port.
            caller: Address of the caller, as ip:port.
            json: Print JSON.
        """
        return _finish(_explain.explain(str(host), str(address), str(caller)), json)

    def promoted(self, trial_hosts, production_hosts, json=False) -> Report:
        """Tell whether one document is in force in trial and in production.

        Args:
            trial_hosts: Admin ports of the trial hosts, as ip:port,ip:port.
            production_hosts: Admin ports of the production hosts.
            json: Print JSON.
        """
        trial, production = _split(trial_hosts), _split(production_hosts)
        return _finish(_status.promoted(trial, production), json)

    def nodes(self, hosts, json=False) -> Report:
        """Print each node's view of routes and servers, and which nodes lag.

        Args:
            hosts: Metrics ports of the nodes, as ip:port,ip:port.
            json: Print JSON.
        """
        return _finish(_nodes.nodes(_split(hosts)), json)

    def opening(self, host, address, json=False) -> Report:
        """Ask a node what an opening packet would get now, and why.

        Args:
            host: Metrics port of the node, as ip:port.
            address: Service address that the caller sends to, as ip:port.
            json: Print JSON.
        """
        return _finish(_nodes.opening(str(host), str(address)), json)

    def trace(self, log, caller, address, json=False) -> Report:
        """Print a flow's log lines, and what happened to its servers.

        Args:
            log: Path of a node's log.
            caller: Address of the caller, as ip:port.
            address: Service address that the caller sent to, as ip:port.
            json: Print JSON.
        """
        return _finish(_nodes.trace(str(log), str(caller), str(address)), json)


def _split(hosts: Any) -> list[str]:
    """Return the listed hosts; raise FireError, a usage error, where none is."""
    # fire turns some lists into tuples and digits into numbers.
    items = hosts if isinstance(hosts, list | tuple) else str(hosts).split(",")
    found = [host for item in items if (host := str(item).strip())]
    if not found:
        raise fire.core.FireError("no host is listed; use ip:port,ip:port")
    return found


def _finish(report: Report, as_json: Any) -> Report:
    report.as_json = bool(as_json)
    return report


def main() -> None:
    """Run the command line and exit with the command's code."""
    result = fire.Fire(Commands(), name="hornbeamdeal-ctl", serialize=_printable)
    sys.exit(result.exit_code if isinstance(result, Report) else 0)


def _printable(result: Any) -> Any:
    return str(result) if isinstance(result, Report) else result


if __name__ == "__main__":
    main()
