"""Steps for the operators' command-line tool, with a fake admin port."""

import io
import json
import os
import sys
import tempfile
import threading
from contextlib import chdir, redirect_stderr, redirect_stdout
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from unittest.mock import patch
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when

from hornbeamdeal.ctl import _http
from hornbeamdeal.ctl.main import main
from hornbeamdeal.document import Manifest, join_segments

DOCUMENT = """version: {version}
services:
  ctl:
    addresses:
      ctl-map: {{kind: flows}}
    targets:
      t: {{weight: {weight}}}
      u: {{}}
"""


class AdminHandler(BaseHTTPRequestHandler):
    """Responds like the admin port of an entry host."""

    def do_GET(self):
        url = urlsplit(self.path)
        if self.server.fault == "never responds":
            self.server.stopped.wait(5)
            return
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        responses_by_path = {
            "/status": lambda: json.dumps(self.server.status),
            "/explain": lambda: "{caller} gets reservas-1 of {address}".format(**query),
        }
        body = responses_by_path[url.path]()
        body = "[invalid" if self.server.fault else body
        self.send_response(200)
        self.end_headers()
        self.wfile.write(body.encode())

    def log_message(self, *arguments):
        """Suppress access logs in the test output."""


def start_host(context, name, version):
    server = ThreadingHTTPServer(("127.0.0.1", 0), AdminHandler)
    server.fault, server.stopped = "", threading.Event()
    server.status = {
        "host_id": name,
        "zone": "aqp",
        "version_number": version,
        "version_digest": f"{version:064x}",
        "in_force_since": f"2026-05-04T0{version}:00:00+00:00",
        "ready": True,
    }
    threading.Thread(target=server.serve_forever, args=(0.01,)).start()
    context.add_cleanup(stop_host, server)
    return server


def stop_host(server):
    server.stopped.set()
    server.shutdown()
    server.server_close()


def scenario_folder(context):
    """Return the temporary folder of the scenario."""
    if "folder" not in context:
        temporary = tempfile.TemporaryDirectory()
        context.add_cleanup(temporary.cleanup)
        context.folder = Path(temporary.name)
    return context.folder


@given('a ctl document "{name}" with version {version} and weight {weight}')
def given_document(context, name, version, weight):
    text = DOCUMENT.format(version=version, weight=weight)
    (scenario_folder(context) / name).write_text(text)


@given("ctl hosts one and two with versions {one:d} and {two:d}")
def given_hosts(context, one, two):
    versions = {"one": one, "two": two}
    context.hosts = {
        name: start_host(context, name, version) for name, version in versions.items()
    }


@given("the ctl host two {fault}")
def given_fault(context, fault):
    context.hosts["two"].fault = fault
    if fault == "is down":
        stop_host(context.hosts["two"])


@when('ctl runs "{command}"')
def when_run(context, command):
    for name, server in getattr(context, "hosts", {}).items():
        command = command.replace(name, f"127.0.0.1:{server.server_address[1]}")
    output = io.StringIO()
    with (
        chdir(scenario_folder(context)),
        patch.object(sys, "argv", ["hornbeamdeal-ctl", *command.split()]),
        patch.object(_http, "READ_TIMEOUT_SECONDS", 0.5),
        patch.dict(os.environ, {"PAGER": "cat"}),
        redirect_stdout(output),
        redirect_stderr(io.StringIO()),
    ):
        try:
            main()
        except SystemExit as exit_request:
            context.exit_code = exit_request.code
    context.output = output.getvalue()


@then("ctl exits with {code:d}")
def then_exit(context, code):
    assert context.exit_code == code, (context.exit_code, context.output)


@then('ctl exits with {code:d} and prints "{text}"')
def then_exit_and_output(context, code, text):
    then_exit(context, code)
    assert text in context.output, context.output


@then("ctl exits with {code:d} and prints JSON with host two lagging")
def then_json(context, code):
    then_exit(context, code)
    assert list(json.loads(context.output)["lagging"]) == ["two"]


@then('the ctl folders trial and production contain the bytes of "{name}"')
def then_bytes(context, name):
    for environment in ("trial", "production"):
        packed = scenario_folder(context) / environment / "document"
        manifest = Manifest.decode((packed / "manifest").read_bytes()).ok_value
        files = (packed / "segments").iterdir()
        contents = {bytes.fromhex(f.name): f.read_bytes() for f in files}
        assert (
            join_segments(manifest, contents).ok_value
            == (context.folder / name).read_bytes()
        )
