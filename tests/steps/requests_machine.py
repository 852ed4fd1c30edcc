"""State machine that checks real dispatchers against the model's properties."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from hornbeamdeal.kernel import (
    AnswerStatus,
    CancelReceived,
    DispatchOutcome,
    HostState,
    PauseDetected,
    RelayRequest,
    RequestReceived,
    ServerAnswer,
    ServerAnswerReceived,
    StopRequested,
)
from hornbeamdeal.requests import Limits
from hornbeamdeal.requests._fake_fleet import HostFleet, make_request

HOSTS = st.sampled_from(["a", "b"])
STATES = [HostState.ALIVE, HostState.ALIVE, HostState.SUSPECT, HostState.DEAD]
LIMITS = Limits(maximum_tokens=4, maximum_exchanges=5, maximum_stored_bytes=12)
# With these names, a, b and the last of these hosts are the home hosts.
OTHER_HOSTS = ["spare164", "spare94", "spare129", "spare52", "spare50", "spare247"]
LONGEST_DEADLINE = 300.0
STOP_AFTER = 100.0


class DispatcherMachine(RuleBasedStateMachine):
    """Random interleavings of callers, fabric, hosts and servers."""

    plugin = "run_token"
    incarnations_by_host = {"a": 1, "b": 2}
    jobs = Bundle("jobs")

    def __init__(self):
        super().__init__()
        hosts = self.incarnations_by_host
        self.fleet = HostFleet(hosts, plugin=self.plugin, limits=LIMITS)
        self.now = 0.0
        self.sent = 0
        self.jobs_by_name = {}
        self.token_by_job = {}
        self.runs_by_job = {}
        self.path_by_job = {}
        self.handled = set()
        self.retransmitted = set()
        self.in_transit = []
        self.checked_dispatches = 0

    def send(self, host, job, **fields):
        self.sent += 1
        name = f"n{self.sent}"
        self.jobs_by_name[name] = job
        request = make_request(
            name, payload=job.encode(), message_id=self.sent, **fields
        )
        self.fleet.handle(host, RequestReceived(request), self.now)
        return request

    @rule(target=jobs, host=HOSTS, path=st.sampled_from(["/bookings", "/photos"]))
    def new_job(self, host, path):
        job = f"j{len(self.runs_by_job)}"
        self.runs_by_job[job] = 0
        self.path_by_job[job] = path
        self.send(host, job, path=path)
        token = self.fleet.replies[-1][1].run_token
        if token is not None:
            self.token_by_job[job] = token
        return job

    @rule(job=jobs, hosts=st.lists(HOSTS, min_size=1, max_size=3))
    def repeat_with_token(self, job, hosts):
        for host in hosts:
            if job in self.token_by_job:
                token = self.token_by_job[job]
                self.send(host, job, path=self.path_by_job[job], run_token=token)

    @rule(host=HOSTS)
    def idempotent_request(self, host):
        self.send(host, f"map{self.sent}", method="GET", path="/map")

    def unhandled(self):
        return [n for n in range(len(self.fleet.dispatches)) if n not in self.handled]

    @precondition(lambda self: self.unhandled())
    @rule(choice=st.integers(0, 9), runs=st.booleans(), arrives=st.booleans())
    def server_handles(self, choice, runs, arrives):
        """A server runs or refuses a dispatch once, after any delay."""
        position = self.unhandled()[choice % len(self.unhandled())]
        self.handled.add(position)
        host, dispatch = self.fleet.dispatches[position]
        job = dispatch.request.payload.decode()
        if runs:
            self.runs_by_job[job] = self.runs_by_job.get(job, 0) + 1
        outcome = DispatchOutcome.ANSWERED if runs else DispatchOutcome.REFUSED
        answer = ServerAnswer(outcome, payload=dispatch.request.payload)
        server_id = dispatch.server.server_id
        event = ServerAnswerReceived(server_id, dispatch.exchange_id, answer)
        self.in_transit.append((host, event))
        if arrives:
            self.fleet.handle(host, event, self.now)

    @rule(position=st.integers(0, 20))
    def answer_arrives(self, position):
        """An answer may arrive late, twice, or after a restart of its host."""
        if self.in_transit:
            host, event = self.in_transit[position % len(self.in_transit)]
            self.fleet.handle(host, event, self.now)

    @rule(position=st.integers(0, 20))
    def answer_is_lost(self, position):
        if self.fleet.dispatches:
            host, dispatch = self.fleet.dispatches[
                position % len(self.fleet.dispatches)
            ]
            event = ServerAnswerReceived(
                dispatch.server.server_id,
                dispatch.exchange_id,
                ServerAnswer(DispatchOutcome.TIMED_OUT),
            )
            self.fleet.handle(host, event, self.now)

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0, 40.0]), host=HOSTS)
    def time_passes(self, seconds, host):
        self.now += seconds
        self.fleet.tick(host, self.now)

    @rule(seconds=st.sampled_from([1.5, 70.0]), host=HOSTS)
    def pause(self, seconds, host):
        self.now += seconds
        self.fleet.handle(host, PauseDetected(seconds), self.now)

    @rule(host=HOSTS)
    def queue_tickets(self, host):
        self.fleet.dispatchers_by_id[host].admission.is_queueing = True

    @rule(host=HOSTS, refuses=st.booleans())
    def drain_queue(self, host, refuses):
        self.fleet.drain_queue(host, self.now, refuses=refuses)

    @rule(host=HOSTS)
    def restart(self, host):
        incarnation = max(self.fleet.incarnations_by_id.values()) + 1
        self.fleet.start(host, incarnation, self.now)

    @rule(host=HOSTS, of=HOSTS, state=st.sampled_from(STATES))
    def view_changes(self, host, of, state):
        """A host's view may be wrong about its peers."""
        self.fleet.states_by_id[of] = state
        self.fleet.update(host, self.now)

    @precondition(lambda self: self.now > STOP_AFTER)
    @rule(host=HOSTS)
    def stop(self, host):
        self.fleet.handle(host, StopRequested(), self.now)

    @rule(host=HOSTS, number=st.integers(1, 20))
    def cancel(self, host, number):
        template = make_request("any", message_id=number)
        event = CancelReceived(template.caller, template.address, number)
        self.fleet.handle(host, event, self.now)

    @invariant()
    def runs_at_most_once(self):
        for job in self.runs_by_job:
            if job.startswith("j"):
                assert self.runs_by_job[job] <= 1, f"{job} ran twice"

    @invariant()
    def replies_are_correct(self):
        for request, answer in self.fleet.replies:
            job = self.jobs_by_name[request.token.decode()]
            # "Not run" for an idempotent request covers only one host's copy of it.
            is_copied = request.idempotent and request.token in self.retransmitted
            if answer.status is AnswerStatus.NOT_RUN and not is_copied:
                assert not self.runs_by_job.get(job), (
                    f"{job} ran, but was answered 'not run'"
                )
            if answer.status is AnswerStatus.OK:
                assert answer.payload.decode() == job, f"{job} got {answer.payload}"

    @invariant()
    def nothing_starts_late(self):
        for _, dispatch in self.fleet.dispatches[self.checked_dispatches :]:
            assert dispatch.deadline > self.now, "dispatched after its deadline"
        self.checked_dispatches = len(self.fleet.dispatches)

    @invariant()
    def each_message_is_answered_once(self):
        """A relaying host may add one "issuer gone", which says nothing about the run."""
        replies = [
            r for r in self.fleet.replies if r[0].token not in self.retransmitted
        ]
        received = [(r.token, a.reason == "issuer_gone") for r, a in replies]
        assert len(received) == len(set(received)), "a message was answered twice"

    def teardown(self):
        """Check that no exchange lasts beyond the longest deadline."""
        self.now += LONGEST_DEADLINE
        for host in self.fleet.dispatchers_by_id:
            self.fleet.tick(host, self.now)
            dispatcher = self.fleet.dispatchers_by_id[host]
            assert dispatcher.idle_
            assert dispatcher.runner_.table.payload_bytes_ == 0
            assert not dispatcher.runner_.table.by_caller_
            assert not dispatcher.admission.started
        self.replies_are_correct()


class HomeHostMachine(DispatcherMachine):
    """The same with eight hosts for nine slots, so that first requests are relayed."""

    incarnations_by_host = {
        name: n for n, name in enumerate(["a", "b", *OTHER_HOSTS], 1)
    }

    @rule(
        first=st.sampled_from(OTHER_HOSTS),
        second=st.sampled_from(OTHER_HOSTS),
        method=st.sampled_from(["GET", "POST"]),
    )
    def retransmit_through_other_hosts(self, first, second, method):
        """A message arrives through two hosts; its caller uses the first run token."""
        path = "/map" if method == "GET" else "/bookings"
        job = f"j{len(self.runs_by_job)}" if method == "POST" else f"map{self.sent}"
        if method == "POST":
            self.runs_by_job[job], self.path_by_job[job] = 0, path
        request = self.send(first, job, path=path, method=method)
        self.retransmitted.add(request.token)
        self.fleet.handle(second, RequestReceived(request), self.now)
        for replied, answer in self.fleet.replies:
            if replied.token == request.token and answer.run_token is not None:
                self.token_by_job.setdefault(job, answer.run_token)
        if job in self.token_by_job:
            self.repeat_with_token(job, [second, first])

    @rule(host=st.sampled_from(OTHER_HOSTS), of=HOSTS, state=st.sampled_from(STATES))
    def view_of_other_host_changes(self, host, of, state):
        self.fleet.states_by_id[of] = state
        self.fleet.update(host, self.now)

    @invariant()
    def no_request_is_relayed_twice(self):
        relays = sum(isinstance(a, RelayRequest) for a in self.fleet.actions)
        assert relays <= self.sent + len(self.retransmitted), (
            "a relayed request was relayed again"
        )
