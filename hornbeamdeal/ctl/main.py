"""Entry point of `hornbeamdeal-ctl`, the command-line tool for operators."""

import sys
from typing import Any

import fire

from . import _explain, _files, _nodes, _status
from ._report import Report


class Commands:
    """Check, publish and track configuration documents of hornbeamdeal.

    To change a configuration: edit the document and raise its version; check it
    against the one in force; pack it and publish the files in the trial
    environment; run status until no host lags; publish the same files in
    production; run promoted.

    No command changes anything on a host. Exit codes: 0 no fault or difference, 1 a
    fault or a difference, 2 wrong usage, 3 a host is unreachable. Add --json to
    a command for machine-readable output.
    """

    def check(self, document, against="", json=False) -> Report:
        """Check a document and print every fault with its line and remedy.

        Args:
            document: Path of the document to check.
            against: Path of the document in force now; prints what a change
                from it would break.
            json: Print JSON.
        """
        return _set_format(_files.check(str(document), str(against)), json)

    def diff(self, old, new, json=False) -> Report:
        """Print what changes between two documents, and what would break.

        Args:
            old: Path of the document in force now.
            new: Path of the document that would replace it.
            json: Print JSON.
        """
        return _set_format(_files.diff(str(old), str(new)), json)

    def pack(self, document, out, json=False) -> Report:
        """Write the files to publish on the configuration service.

        Args:
            document: Path of the document.
            out: Folder that receives document/manifest and
                document/segments/<digest>.
            json: Print JSON.
        """
        return _set_format(_files.pack(str(document), str(out)), json)

    def status(self, hosts, json=False) -> Report:
        """Print the version in force on each entry host, and which hosts lag.

        Args:
            hosts: Admin ports of the entry hosts, as ip:port,ip:port.
            json: Print JSON.
        """
        return _set_format(_status.status(_parse_hosts(hosts)), json)

    def explain(self, host, address, caller, json=False) -> Report:
        """Ask a host which backend server a caller's flow gets, and why.

        Args:
            host: Admin port of the entry host, as ip:port.
            address: Service address that the caller sends to, as ip:port.
            caller: Address of the caller, as ip:port.
            json: Print JSON.
        """
        return _set_format(_explain.explain(str(host), str(address), str(caller)), json)

    def promoted(self, trial_hosts, production_hosts, json=False) -> Report:
        """Print whether trial and production have the same document in force.

        Args:
            trial_hosts: Admin ports of the trial hosts, as ip:port,ip:port.
            production_hosts: Admin ports of the production hosts.
            json: Print JSON.
        """
        trial, production = _parse_hosts(trial_hosts), _parse_hosts(production_hosts)
        return _set_format(_status.promoted(trial, production), json)

    def nodes(self, hosts, json=False) -> Report:
        """Print each node's view of routes and servers, and which nodes lag.

        Args:
            hosts: Metrics ports of the nodes, as ip:port,ip:port.
            json: Print JSON.
        """
        return _set_format(_nodes.nodes(_parse_hosts(hosts)), json)

    def opening(self, host, address, json=False) -> Report:
        """Ask a node what would happen to an opening packet now, and why.

        Args:
            host: Metrics port of the node, as ip:port.
            address: Service address that the caller sends to, as ip:port.
            json: Print JSON.
        """
        return _set_format(_nodes.opening(str(host), str(address)), json)

    def trace(self, log, caller, address, json=False) -> Report:
        """Print the log lines of a flow and the events of its servers.

        Args:
            log: Path of a node's log.
            caller: Address of the caller, as ip:port.
            address: Service address that the caller sent to, as ip:port.
            json: Print JSON.
        """
        return _set_format(_nodes.trace(str(log), str(caller), str(address)), json)


def _parse_hosts(hosts: Any) -> list[str]:
    """Return the listed hosts; raise FireError (wrong usage) if there are none."""
    # fire parses some lists into tuples, and digits into numbers.
    items = hosts if isinstance(hosts, list | tuple) else str(hosts).split(",")
    parsed_hosts = [host for item in items if (host := str(item).strip())]
    if not parsed_hosts:
        raise fire.core.FireError("no host is listed; use ip:port,ip:port")
    return parsed_hosts


def _set_format(report: Report, as_json: Any) -> Report:
    report.as_json = bool(as_json)
    return report


def main() -> None:
    """Run a command and exit with its exit code."""
    result = fire.Fire(Commands(), name="hornbeamdeal-ctl", serialize=_serialize)
    sys.exit(result.exit_code if isinstance(result, Report) else 0)


def _serialize(result: Any) -> Any:
    return str(result) if isinstance(result, Report) else result


if __name__ == "__main__":
    main()
