"""Steps for the commands on direct-server-return nodes, with a fake metrics port."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import urlsplit

from behave import given, then, when

SERVERS = [
    {"server": "i-01", "zone": "z1", "state": "dead", "under_way": 0, "alive_ms": 900},
    {
        "server": "i-02",
        "zone": "z1",
        "state": "takes new flows",
        "under_way": 1,
        "alive_ms": 20,
        "slowness": 1.7,
        "slowness_age_ms": 300,
        "slowness_source": "peers",
    },
]
LOG = """\
time=1.0 event=flow_placed host=front-1 flow=100.64.0.1:1000>198.18.0.1:443 server=i-01
time=1.1 event=flow_placed host=front-1 flow=100.64.0.2:1000>198.18.0.1:443 server=i-01
time=1.2 event=server_dead host=front-1 server=i-01 openings=2 repeated=1
time=1.3 event=server_dead host=front-1 server=i-02 openings=2 repeated=1
"""


class NodeHandler(BaseHTTPRequestHandler):
    """Responds like the metrics port of a node."""

    def do_GET(self):
        responses_by_path = {
            "/status": self.server.status,
            "/explain": {"verdict": "route r: 0 of 1 servers", "servers": SERVERS},
        }
        body = json.dumps(responses_by_path[urlsplit(self.path).path]).encode()
        self.send_response(200)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Suppress access logs in the test output."""


def start_node(context, name, version, age_ms, reads_the_store):
    server = ThreadingHTTPServer(("127.0.0.1", 0), NodeHandler)
    server.status = {
        "host_id": name,
        "zone": "z1",
        "ready": True,
        "version": version,
        "revision": 12,
        "age_ms": age_ms,
        "reads_the_store": reads_the_store,
        "reader_position": 0 if reads_the_store else 1,
        "servers_out": [],
    }
    threading.Thread(target=server.serve_forever, args=(0.01,)).start()
    context.add_cleanup(stop_node, server)
    context.nodes = [*getattr(context, "nodes", []), server]


def stop_node(server):
    server.shutdown()
    server.server_close()


def endpoint_of(server):
    return f"127.0.0.1:{server.server_address[1]}"


@given(
    'a ctl node "{name}" at version {version:d} that is {age:d} ms old and reads the'
    " store"
)
def given_reading_node(context, name, version, age):
    start_node(context, name, version, age, reads_the_store=True)


@given('a ctl node "{name}" at version {version:d} that is {age:d} ms old')
def given_node(context, name, version, age):
    start_node(context, name, version, age, reads_the_store=False)


@given("a ctl log of a node")
def given_log(context):
    context.execute_steps(
        'Given a ctl document "unused.yaml" with version 1 and weight 1'
    )
    (context.folder / "node.log").write_text(LOG)


@when('ctl runs "nodes" on the nodes')
def when_nodes(context):
    hosts = ",".join(map(endpoint_of, context.nodes))
    context.execute_steps(f'When ctl runs "nodes {hosts}"')


@when('ctl asks the node about an opening packet to "{address}"')
def when_opening(context, address):
    host = endpoint_of(context.nodes[0])
    context.execute_steps(f'When ctl runs "opening {host} {address}"')


@when('ctl traces "{caller}" to "{address}" in the log')
def when_trace(context, caller, address):
    context.execute_steps(f'When ctl runs "trace node.log {caller} {address}"')


@then('ctl printed "{text}"')
def then_printed(context, text):
    assert text in context.output, context.output


@then('ctl did not print "{text}"')
def then_not_printed(context, text):
    assert text not in context.output, context.output
