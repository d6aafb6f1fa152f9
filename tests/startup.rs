//! Startup of one controller while the store's answers are reordered, delayed, refused or lost;
//! a request whose answer is lost may have been carried out.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{ClusterConfig, SimulatedStore};
use std::collections::VecDeque;
use tillercleat::coordination::{ClientRequest, CloudCall, CloudResponse, Core, Input, Output, Response};
use tillercleat::protocol::cloud::{Catalog, MachinePage};
use tillercleat::protocol::state::{StoreRequest, StoreResponse};
use tillercleat::protocol::users::JobSpec;
use tillercleat::protocol::workers::{Command, Heartbeat, TaskName, TaskState, TaskStatus};
use tillercleat::settings::Tuning;
use tillercleat::storage::records::{job_key, owner_key, slice_key, SliceRecord, TaskRecord};
use tillercleat::units::{
    AgentEpoch, Attempt, CallId, FencingToken, HeartbeatNumber, JobId, MachineId, MonotonicTime, RequestId, Revision,
    ShardId,
};

const MACHINE: &str = "i-000001";

/// One step of a generated run. Waits are in milliseconds; an index selects one of the store
/// requests in flight, modulo their number.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Answer(usize),
    Refuse(usize),
    /// The answer is lost; `carried_out` tells whether the store carried out the request.
    LoseAnswer {
        pick: usize,
        carried_out: bool,
    },
    Submit,
    Query,
    Heartbeat,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (1u64..300).prop_map(Step::Wait),
        8 => (0usize..16).prop_map(Step::Answer),
        1 => (0usize..16).prop_map(Step::Refuse),
        1 => (0usize..16, any::<bool>()).prop_map(|(pick, carried_out)| Step::LoseAnswer { pick, carried_out }),
        1 => Just(Step::Submit),
        1 => Just(Step::Query),
        2 => Just(Step::Heartbeat),
    ]
}

/// The only live controller of a cluster of three, with the store and one worker. Times are in
/// milliseconds.
struct TestBed {
    config: ClusterConfig,
    store: SimulatedStore,
    core: Core,
    now: u64,
    started_at: u64,
    in_flight: VecDeque<(CallId, StoreRequest)>,
    responses: Vec<(RequestId, Response)>,
    requests: u64,
    heartbeat_number: u64,
    token: FencingToken,
    agent_epoch: u64,
    /// Start of the worker's lease.
    lease_from: u64,
    /// When the worker sent its last heartbeat.
    heartbeat_sent_at: u64,
    /// The task that the worker runs.
    running: Option<(TaskName, Attempt)>,
}

fn job(number: u32) -> JobSpec {
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": "work", "crew": "blue", "rig": "array", "rank": "normal", "loads": 1,
        "cores": 1.0, "gpus": 0.0, "mem_gb": 2.0, "kit": "img", "image_gb": 0.5, "hulls": null, "berth": null,
        "one_zone": false, "apart": false, "driftwood": true, "reckon_s": 300.0, "mark_s": 0.0, "stow_s": 0.0,
        "tide_s": null
    });
    simulator::fixtures::job_spec(text)
}

impl TestBed {
    fn with_heartbeat_interval(heartbeat_ms: u64) -> TestBed {
        let config = ClusterConfig { heartbeat_ms, lease_ms: 20_000, ..ClusterConfig::small() };
        let core = Core::new(simulator::settings(&config, 0, 20.0), Tuning::default());
        let (store, responses) = (SimulatedStore::default(), vec![]);
        let in_flight = VecDeque::new();
        TestBed {
            config,
            store,
            core,
            now: 1000,
            started_at: 1000,
            in_flight,
            responses,
            requests: 0,
            heartbeat_number: 0,
            token: FencingToken(0),
            agent_epoch: 1,
            lease_from: 1000,
            heartbeat_sent_at: 0,
            running: None,
        }
    }

    /// Replaces the controller by a new process; the store still carries out transactions in flight.
    fn restart(&mut self) {
        for (_, call) in std::mem::take(&mut self.in_flight) {
            if matches!(call, StoreRequest::Transaction(_)) {
                self.store.execute(self.now, call);
            }
        }
        self.core = Core::new(simulator::settings(&self.config, 0, 20.0), Tuning::default());
        self.started_at = self.now;
    }

    fn handle_input(&mut self, input: Input) {
        let monotonic_now = MonotonicTime(self.now - self.started_at + 1);
        for output in self.core.handle(monotonic_now, self.now, input) {
            match output {
                Output::Store(id, call) => self.in_flight.push_back((id, call)),
                Output::Response(request, response) => self.responses.push((request, response)),
                Output::Cloud(id, call) => {
                    let answer = match call {
                        CloudCall::Catalog => {
                            CloudResponse::Catalog(Catalog { types: self.config.machine_types.clone() })
                        }
                        CloudCall::List { .. } => {
                            CloudResponse::Page(MachinePage { machines: vec![], truncated: false })
                        }
                        CloudCall::Rent(_) => CloudResponse::NoCapacity,
                        CloudCall::Return(_) => CloudResponse::Failed,
                    };
                    self.handle_input(Input::Cloud(id, answer));
                }
                Output::BroadcastStatus(_) | Output::RevisionHint(_) => {}
            }
        }
    }

    fn send_request(&mut self, request: ClientRequest) -> RequestId {
        self.requests += 1;
        self.handle_input(Input::ClientRequest(RequestId(self.requests), request));
        RequestId(self.requests)
    }

    fn send_heartbeat(&mut self) {
        if self.now > self.lease_from + self.config.lease_ms {
            // The lease has expired: the worker's task ends and a new agent epoch starts.
            self.running = None;
            self.agent_epoch += 1;
            self.lease_from = self.now;
        }
        self.heartbeat_sent_at = self.now;
        self.requests += 1;
        self.heartbeat_number += 1;
        let tasks = self.running.iter().map(|(task, attempt)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: TaskState::Running,
            exit_reason: None,
            checkpoint_saved: None,
        });
        let heartbeat = Heartbeat {
            machine: MachineId::new(MACHINE),
            addr: "127.0.0.1:1".into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: true,
            agent_epoch: AgentEpoch(self.agent_epoch),
            heartbeat_number: HeartbeatNumber(self.heartbeat_number),
            token: self.token,
            termination_notice_s: None,
            tasks: tasks.collect(),
        };
        self.handle_input(Input::Heartbeat(RequestId(self.requests), heartbeat));
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.handle_input(Input::Tick);
    }

    /// Advances time in steps of 50 ms; each step answers the requests in flight in order, up to
    /// the first watch.
    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.advance(50);
            while let Some((id, call)) = self.in_flight.pop_front() {
                let watch = matches!(call, StoreRequest::Watch { .. });
                let answer = self.store.execute(self.now, call);
                self.handle_input(Input::Store(id, answer));
                if watch {
                    break;
                }
            }
            self.take_responses();
        }
    }

    fn record(&mut self, key: &str) -> Option<(serde_json::Value, u64)> {
        match self.store.execute(self.now, StoreRequest::Get { key: key.into() }) {
            StoreResponse::Found(item) => Some((item.value, item.version.0)),
            _ => None,
        }
    }

    /// Checks the controller's responses against the durable records and executes commands that the
    /// worker accepts: those with a current token that arrive in time. Returns the HTTP status of each
    /// response.
    fn take_responses(&mut self) -> Vec<(RequestId, u16)> {
        let mut statuses = vec![];
        for (request, response) in std::mem::take(&mut self.responses) {
            match response {
                Response::Job { status, id, .. } => {
                    assert!(self.record(&job_key(&id)).is_some(), "{id} was reported as accepted and is not durable");
                    statuses.push((request, status.http_status()));
                }
                Response::Error(refusal) => statuses.push((request, refusal.http_status())),
                Response::Healthy => statuses.push((request, 200)),
                Response::Redirect(_) => statuses.push((request, 421)),
                Response::Commands { token, commands } => {
                    let shard = ShardId::of(MACHINE, 3);
                    let owner = self.record(&owner_key(shard));
                    // The token is the version of the current owner key, or of an earlier one whose
                    // deletion the controller cannot know of yet.
                    assert!(
                        owner.is_none_or(|(_, version)| version >= token.0),
                        "commands with a token that no owner has"
                    );
                    if token >= self.token && self.now <= self.heartbeat_sent_at + 4000 {
                        self.token = token;
                        self.lease_from = self.heartbeat_sent_at;
                        commands.into_iter().for_each(|command| self.execute(command));
                    }
                    statuses.push((request, 200));
                }
            }
        }
        statuses
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Start { task, attempt } => {
                let (record, _) = self.record(&slice_key(&task.job, 0)).expect("a durable slice before a start");
                let slice: SliceRecord = serde_json::from_value(record).expect("a slice");
                let on = TaskRecord::Placed(attempt, MachineId::new(MACHINE));
                assert_eq!(slice.tasks[task.index as usize], on, "the start is not durable");
                assert!(
                    self.running.as_ref().is_none_or(|(running, _)| *running != task),
                    "{task:?} was started twice"
                );
                if self.running.is_none() {
                    self.running = Some((task, attempt));
                }
            }
            Command::Stop { task, .. } => {
                assert!(
                    self.running.as_ref().is_none_or(|(running, _)| *running != task),
                    "{task:?} was stopped while running"
                );
            }
            Command::Forget { .. } => {}
        }
    }

    /// Removes one of the requests in flight and answers it with the result of `respond`.
    fn answer(&mut self, pick: usize, respond: impl FnOnce(&mut SimulatedStore, u64, StoreRequest) -> StoreResponse) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = pick % self.in_flight.len();
        let Some((id, call)) = self.in_flight.remove(at) else { return };
        let answer = respond(&mut self.store, self.now, call);
        self.handle_input(Input::Store(id, answer));
    }
}

/// A freed core stayed idle until its worker's next heartbeat, up to `report_s`, although the
/// record of its next task was written within 0.1 s.
#[test]
fn a_start_command_is_sent_with_the_deferred_response() {
    let mut bed = TestBed::with_heartbeat_interval(2500);
    bed.run_for(5000);
    // The response to the first heartbeat carries the token; the second heartbeat acknowledges it.
    for _ in 0..2 {
        bed.send_heartbeat();
        bed.run_for(2500);
    }
    assert!(bed.token > FencingToken(0) && bed.running.is_none());
    bed.send_heartbeat();
    let heartbeats = bed.heartbeat_number;
    bed.take_responses();
    // A job whose id hashes to the shard of the machine.
    let in_machine_shard = |n: &u32| ShardId::of(job(*n).id.as_str(), 3) == ShardId::of(MACHINE, 3);
    let number = (1..).find(in_machine_shard).expect("a job of the shard");
    bed.send_request(ClientRequest::Submit(Box::new(job(number))));
    bed.run_for(700);
    assert!(bed.running.is_some(), "the start was not sent with the deferred response");
    assert_eq!(bed.heartbeat_number, heartbeats);
}

/// Two deferred responses to the same worker would start a task twice.
#[test]
fn a_newer_heartbeat_replaces_a_deferred_one() {
    let mut bed = TestBed::with_heartbeat_interval(2500);
    bed.run_for(5000);
    for _ in 0..2 {
        bed.send_heartbeat();
        bed.run_for(2500);
    }
    bed.send_heartbeat();
    let older = RequestId(bed.requests);
    assert!(bed.responses.is_empty(), "the response was not deferred: {:?}", bed.responses);
    bed.send_heartbeat();
    let is_empty_response = |(request, response): &(RequestId, Response)| {
        *request == older && matches!(response, Response::Commands { commands, .. } if commands.is_empty())
    };
    assert!(bed.responses.len() == 1 && bed.responses.iter().all(is_empty_response), "{:?}", bed.responses);
    bed.run_for(2000);
    assert!(bed.responses.is_empty() && bed.in_flight.len() < 20);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..Default::default()
    })]
    /// In any order of events and store answers, the node reports jobs as accepted and starts tasks
    /// only when their records are durable, never reports an accepted job as unknown, does not stop
    /// running tasks, and serves requests once the store answers again.
    #[test]
    fn startup_succeeds_for_any_order_of_store_answers(
        first_run in proptest::collection::vec(any_step(), 0..120),
        second_run in proptest::collection::vec(any_step(), 0..80),
        heartbeat_ms in prop_oneof![Just(1000u64), Just(2500)],
    ) {
        let mut bed = TestBed::with_heartbeat_interval(heartbeat_ms);
        bed.run_for(5000);
        bed.send_request(ClientRequest::Submit(Box::new(job(1))));
        bed.run_for(400);
        // The worker gets the start command once it has acknowledged the token.
        for _ in 0..8 {
            bed.send_heartbeat();
            bed.run_for(500);
        }
        prop_assert!(bed.running.is_some(), "no task runs before the restarts");
        for run in [first_run, second_run] {
            bed.restart();
            for step in run {
                match step {
                    Step::Wait(ms) => bed.advance(ms),
                    Step::Answer(pick) => bed.answer(pick, |service, now, call| service.execute(now, call)),
                    Step::Refuse(pick) => bed.answer(pick, |_, _, _| StoreResponse::Unavailable),
                    Step::LoseAnswer { pick, carried_out } => bed.answer(pick, |service, now, call| {
                        if carried_out {
                            service.execute(now, call);
                        }
                        StoreResponse::Unknown
                    }),
                    Step::Submit => drop(bed.send_request(ClientRequest::Submit(Box::new(job(2))))),
                    Step::Query => {
                        let request = bed.send_request(ClientRequest::Query(JobId::new("wk-000001")));
                        for (answered, status) in bed.take_responses() {
                            prop_assert!(answered != request || status != 404, "forgotten");
                        }
                    }
                    Step::Heartbeat => bed.send_heartbeat(),
                }
                bed.take_responses();
            }
        }
        for _ in 0..60 {
            bed.run_for(500);
            bed.send_heartbeat();
        }
        bed.take_responses();
        let health_check = bed.send_request(ClientRequest::Health);
        prop_assert!(bed.take_responses().contains(&(health_check, 200)), "not healthy after 30 s of answers");
        let submission = bed.send_request(ClientRequest::Submit(Box::new(job(3))));
        let mut accepted = None;
        for _ in 0..20 {
            bed.advance(20);
            while let Some((id, call)) = bed.in_flight.pop_front() {
                let answer = bed.store.execute(bed.now, call);
                bed.handle_input(Input::Store(id, answer));
                if bed.in_flight.len() > 20 {
                    break;
                }
            }
            accepted = accepted.or(bed.take_responses().into_iter().find(|(r, _)| *r == submission));
            if accepted.is_some() {
                break;
            }
        }
        prop_assert_eq!(accepted, Some((submission, 201)));
        bed.send_heartbeat();
        let token = bed.token;
        bed.take_responses();
        prop_assert!(bed.token >= token && bed.token > FencingToken(0), "no controller owns the worker");
    }
}

/// Each process logged and counted the ends of all jobs that it read at startup, and counted a job
/// again whenever its slices were assigned.
#[test]
fn records_read_at_startup_are_not_reported_as_changes() {
    use tillercleat::storage::cache::{CacheChange, JobChange, StateCache};
    let record = |end: Option<&str>, shards: Option<[u32; 1]>| {
        let mut record = serde_json::json!({"spec": job(1), "at": 1000});
        if let Some(end) = end {
            record["end"] = end.into();
        }
        if let Some(shards) = shards {
            record["plan"] = serde_json::json!({"size": 16, "parts": shards});
        }
        Some(record)
    };
    let id = JobId::new("wk-000001");
    let key = job_key(&id);
    let mut cache = StateCache::default();
    let mut apply = |value, at| cache.apply(&key, value, Revision(at));
    assert_eq!(apply(record(None, None), 3), CacheChange::Job(id.clone(), JobChange::FirstSeen));
    assert_eq!(apply(record(None, Some([1])), 4), CacheChange::Job(id.clone(), JobChange::Other));
    assert_eq!(apply(record(None, None), 3), CacheChange::Nothing);
    assert_eq!(apply(record(Some("done"), Some([1])), 5), CacheChange::Job(id.clone(), JobChange::Ended));
    assert_eq!(apply(record(Some("done"), Some([1])), 6), CacheChange::Job(id.clone(), JobChange::Other));
    let mut later = StateCache::default();
    assert_eq!(
        later.apply(&key, record(Some("done"), Some([1])), Revision(6)),
        CacheChange::Job(id, JobChange::FirstSeen)
    );
}
