//! Startup of one controller under every order of the store's answers: late, refused, lost, and
//! lost though the request was carried out.

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

/// What happens next, to one of the requests that are on their way or beside them.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Answer(usize),
    Refuse(usize),
    /// No answer comes, whether the request was carried out or not.
    LoseAnswer {
        pick: usize,
        carried_out: bool,
    },
    Submit,
    Query,
    Heartbeat,
}

fn step() -> impl Strategy<Value = Step> {
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

/// One controller of three, alone, with the store and one worker. Times are in milliseconds.
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
    /// Since when the worker's lease counts.
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
    fn with_heartbeats_every(heartbeat_ms: u64) -> TestBed {
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

    /// The process ends and another starts; transactions in flight are still carried out.
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
        let steady = MonotonicTime(self.now - self.started_at + 1);
        for output in self.core.handle(steady, self.now, input) {
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

    fn heartbeat(&mut self) {
        if self.now > self.lease_from + self.config.lease_ms {
            // The lease expired, and with it all that ran.
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
            kind: "m8".into(),
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

    fn wait(&mut self, ms: u64) {
        self.now += ms;
        self.handle_input(Input::Tick);
    }

    /// Lets time pass with every request answered in order.
    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.wait(50);
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

    /// Checks the answers against what is durable, and executes commands. Returns their status.
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
                    // Its own key, or one that it cannot yet know to be deleted.
                    assert!(
                        owner.is_none_or(|(_, version)| version >= token.0),
                        "commands under a token that no owner has"
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
                assert_eq!(slice.tasks[task.index as usize], on, "a start that is not durable");
                assert!(self.running.as_ref().is_none_or(|(running, _)| *running != task), "{task:?} twice");
                if self.running.is_none() {
                    self.running = Some((task, attempt));
                }
            }
            Command::Stop { task, .. } => {
                assert!(self.running.as_ref().is_none_or(|(running, _)| *running != task), "{task:?} is stopped");
            }
            Command::Forget { .. } => {}
        }
    }

    /// Answers one of the requests in flight as `how` says.
    fn answer(&mut self, pick: usize, how: impl FnOnce(&mut SimulatedStore, u64, StoreRequest) -> StoreResponse) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = pick % self.in_flight.len();
        let Some((id, call)) = self.in_flight.remove(at) else { return };
        let answer = how(&mut self.store, self.now, call);
        self.handle_input(Input::Store(id, answer));
    }
}

/// A core that came free stood idle until its worker's next heartbeat, up to `report_s`, though
/// the record of its next task was written in a tenth of a second.
#[test]
fn a_start_command_is_sent_with_the_deferred_response() {
    let mut bed = TestBed::with_heartbeats_every(2500);
    bed.run_for(5000);
    // The answer to the first heartbeat shows the token, the second heartbeat that the worker saw it.
    for _ in 0..2 {
        bed.heartbeat();
        bed.run_for(2500);
    }
    assert!(bed.token > FencingToken(0) && bed.running.is_none());
    bed.heartbeat();
    let heartbeats = bed.heartbeat_number;
    bed.take_responses();
    // A job that is assigned to the shard of the machine at once.
    let here = |n: &u32| ShardId::of(job(*n).id.as_str(), 3) == ShardId::of(MACHINE, 3);
    let number = (1..).find(here).expect("a job of the shard");
    bed.send_request(ClientRequest::Submit(Box::new(job(number))));
    bed.run_for(700);
    assert!(bed.running.is_some(), "the start was not sent with the deferred response");
    assert_eq!(bed.heartbeat_number, heartbeats);
}

/// Two deferred responses to the same worker would start a task twice.
#[test]
fn a_newer_heartbeat_replaces_a_deferred_one() {
    let mut bed = TestBed::with_heartbeats_every(2500);
    bed.run_for(5000);
    for _ in 0..2 {
        bed.heartbeat();
        bed.run_for(2500);
    }
    bed.heartbeat();
    let older = RequestId(bed.requests);
    assert!(bed.responses.is_empty(), "an answer was given at once: {:?}", bed.responses);
    bed.heartbeat();
    let empty = |(request, response): &(RequestId, Response)| {
        *request == older && matches!(response, Response::Commands { commands, .. } if commands.is_empty())
    };
    assert!(bed.responses.len() == 1 && bed.responses.iter().all(empty), "{:?}", bed.responses);
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
    /// Whatever comes in whatever order, nothing is reported or started that is not durable, an
    /// accepted job is never unknown, what runs goes on, and the node serves once answers come
    /// again.
    #[test]
    fn startup_succeeds_whatever_the_order_of_store_answers(
        steps in proptest::collection::vec(step(), 0..120),
        again in proptest::collection::vec(step(), 0..80),
        heartbeat_ms in prop_oneof![Just(1000u64), Just(2500)],
    ) {
        let mut bed = TestBed::with_heartbeats_every(heartbeat_ms);
        bed.run_for(5000);
        bed.send_request(ClientRequest::Submit(Box::new(job(1))));
        bed.run_for(400);
        // A worker that has seen the token gets the start.
        for _ in 0..8 {
            bed.heartbeat();
            bed.run_for(500);
        }
        prop_assert!(bed.running.is_some(), "nothing runs before the restarts");
        for steps in [steps, again] {
            bed.restart();
            for step in steps {
                match step {
                    Step::Wait(ms) => bed.wait(ms),
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
                    Step::Heartbeat => bed.heartbeat(),
                }
                bed.take_responses();
            }
        }
        for _ in 0..60 {
            bed.run_for(500);
            bed.heartbeat();
        }
        bed.take_responses();
        let up = bed.send_request(ClientRequest::Health);
        prop_assert!(bed.take_responses().contains(&(up, 200)), "not healthy after 30 s of answers");
        let asked = bed.send_request(ClientRequest::Submit(Box::new(job(3))));
        let mut accepted = None;
        for _ in 0..20 {
            bed.wait(20);
            while let Some((id, call)) = bed.in_flight.pop_front() {
                let answer = bed.store.execute(bed.now, call);
                bed.handle_input(Input::Store(id, answer));
                if bed.in_flight.len() > 20 {
                    break;
                }
            }
            accepted = accepted.or(bed.take_responses().into_iter().find(|(r, _)| *r == asked));
            if accepted.is_some() {
                break;
            }
        }
        prop_assert_eq!(accepted, Some((asked, 201)));
        bed.heartbeat();
        let token = bed.token;
        bed.take_responses();
        prop_assert!(bed.token >= token && bed.token > FencingToken(0), "nobody owns the worker");
    }
}

/// Each process logged and counted the ends of all jobs that it read at its startup, and each
/// assignment of a job's slices counted the job once more.
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
    assert_eq!(apply(record(None, None), 3), CacheChange::Job(id.clone(), JobChange::First));
    assert_eq!(apply(record(None, Some([1])), 4), CacheChange::Job(id.clone(), JobChange::Other));
    assert_eq!(apply(record(None, None), 3), CacheChange::Nothing);
    assert_eq!(apply(record(Some("done"), Some([1])), 5), CacheChange::Job(id.clone(), JobChange::Ended));
    assert_eq!(apply(record(Some("done"), Some([1])), 6), CacheChange::Job(id.clone(), JobChange::Other));
    let mut later = StateCache::default();
    assert_eq!(later.apply(&key, record(Some("done"), Some([1])), Revision(6)), CacheChange::Job(id, JobChange::First));
}
