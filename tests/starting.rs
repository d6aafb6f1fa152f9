//! A start of a controller under every order of answers: late, refused, lost,
//! and lost though carried out.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{ClusterConfig, SimulatedStore};
use std::collections::VecDeque;
use tillercleat::coordination::{ClientRequest, CloudAnswer, CloudCall, Core, Input, Output, Response};
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

/// What happens next to one of the calls that are on their way.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Answer(usize),
    Refuse(usize),
    /// No answer comes, whether it was carried out or not.
    Lose(usize, bool),
    Submit,
    Query,
    Heartbeat,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (1u64..300).prop_map(Step::Wait),
        8 => (0usize..16).prop_map(Step::Answer),
        1 => (0usize..16).prop_map(Step::Refuse),
        1 => (0usize..16, any::<bool>()).prop_map(|(pick, done)| Step::Lose(pick, done)),
        1 => Just(Step::Submit),
        1 => Just(Step::Query),
        2 => Just(Step::Heartbeat),
    ]
}

/// One controller of three, alone, and the state service.
struct Site {
    config: ClusterConfig,
    service: SimulatedStore,
    core: Core,
    now: u64,
    began: u64,
    on_way: VecDeque<(CallId, StoreRequest)>,
    replies: Vec<(RequestId, Response)>,
    requests: u64,
    tally: u64,
    token: FencingToken,
    agent_epoch: u64,
    /// Since when the worker's lease counts; and when it sent its last report.
    lease_from: u64,
    sent: u64,
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

impl Site {
    fn reporting_every(heartbeat_ms: u64) -> Site {
        let config = ClusterConfig { heartbeat_ms, lease_ms: 20_000, ..ClusterConfig::small() };
        let core = Core::new(simulator::settings(&config, 0, 20.0), Tuning::default());
        let (service, replies) = (SimulatedStore::default(), vec![]);
        let on_way = VecDeque::new();
        Site {
            config,
            service,
            core,
            now: 1000,
            began: 1000,
            on_way,
            replies,
            requests: 0,
            tally: 0,
            token: FencingToken(0),
            agent_epoch: 1,
            lease_from: 1000,
            sent: 0,
            running: None,
        }
    }

    /// The process ends, and another begins; what was on its way may still be carried out.
    fn restart(&mut self) {
        for (_, call) in std::mem::take(&mut self.on_way) {
            if self.on_way.is_empty() && matches!(call, StoreRequest::Transaction(_)) {
                self.service.execute(self.now, call);
            }
        }
        self.core = Core::new(simulator::settings(&self.config, 0, 20.0), Tuning::default());
        self.began = self.now;
    }

    fn feed(&mut self, input: Input) {
        let steady = MonotonicTime(self.now - self.began + 1);
        for output in self.core.handle(steady, self.now, input) {
            match output {
                Output::State(id, call) => self.on_way.push_back((id, call)),
                Output::Response(request, response) => self.replies.push((request, response)),
                Output::Cloud(id, call) => {
                    let answer = match call {
                        CloudCall::Catalog => {
                            CloudAnswer::Catalog(Catalog { types: self.config.machine_types.clone() })
                        }
                        CloudCall::List { .. } => CloudAnswer::Page(MachinePage { machines: vec![], truncated: false }),
                        CloudCall::Rent(_) => CloudAnswer::NoCapacity,
                        CloudCall::Return(_) => CloudAnswer::Failed,
                    };
                    self.feed(Input::Cloud(id, answer));
                }
                Output::BroadcastStatus(_) | Output::RevisionHint(_) => {}
            }
        }
    }

    fn ask(&mut self, ask: ClientRequest) -> RequestId {
        self.requests += 1;
        self.feed(Input::ClientRequest(RequestId(self.requests), ask));
        RequestId(self.requests)
    }

    fn heartbeat(&mut self) {
        if self.now > self.lease_from + self.config.lease_ms {
            // The lease is over, and with it all that ran.
            self.running = None;
            self.agent_epoch += 1;
            self.lease_from = self.now;
        }
        self.sent = self.now;
        self.requests += 1;
        self.tally += 1;
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
            heartbeat_number: HeartbeatNumber(self.tally),
            token: self.token,
            termination_notice_s: None,
            tasks: tasks.collect(),
        };
        self.feed(Input::Heartbeat(RequestId(self.requests), heartbeat));
    }

    fn wait(&mut self, ms: u64) {
        self.now += ms;
        self.feed(Input::Tick);
    }

    /// Time passes with every call answered in order.
    fn settle(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.wait(50);
            while let Some((id, call)) = self.on_way.pop_front() {
                let watch = matches!(call, StoreRequest::Watch { .. });
                let answer = self.service.execute(self.now, call);
                self.feed(Input::State(id, answer));
                if watch {
                    break;
                }
            }
            self.take_replies();
        }
    }

    fn record(&mut self, key: &str) -> Option<(serde_json::Value, u64)> {
        match self.service.execute(self.now, StoreRequest::Get { key: key.into() }) {
            StoreResponse::Found(item) => Some((item.value, item.version.0)),
            _ => None,
        }
    }

    /// Checks what was answered against what is durable, and obeys commands.
    fn take_replies(&mut self) -> Vec<(RequestId, u16)> {
        let mut statuses = vec![];
        for (request, response) in std::mem::take(&mut self.replies) {
            match response {
                Response::Job { status, id, .. } => {
                    assert!(self.record(&job_key(&id)).is_some(), "{id} was told to be accepted and is not durable");
                    statuses.push((request, status.http_status()));
                }
                Response::Error(refusal) => statuses.push((request, refusal.http_status())),
                Response::Healthy => statuses.push((request, 200)),
                Response::Redirect(_) => statuses.push((request, 421)),
                Response::Commands { token, commands } => {
                    let shard = ShardId::of(MACHINE, 3);
                    let owner = self.record(&owner_key(shard));
                    // Its own key, or one that it cannot yet know to be gone.
                    assert!(owner.is_none_or(|(_, version)| version >= token.0), "commands under a token of nobody");
                    if token >= self.token && self.now <= self.sent + 4000 {
                        self.token = token;
                        self.lease_from = self.sent;
                        commands.into_iter().for_each(|command| self.obey(command));
                    }
                    statuses.push((request, 200));
                }
            }
        }
        statuses
    }

    fn obey(&mut self, command: Command) {
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

    fn answer(&mut self, pick: usize, how: impl FnOnce(&mut SimulatedStore, u64, StoreRequest) -> StoreResponse) {
        if self.on_way.is_empty() {
            return;
        }
        let at = pick % self.on_way.len();
        let Some((id, call)) = self.on_way.remove(at) else { return };
        let answer = how(&mut self.service, self.now, call);
        self.feed(Input::State(id, answer));
    }
}

/// A core that came free stood idle until its worker's next report, up to
/// `report_s`, though the next task for it was written in a tenth of a second.
#[test]
fn a_start_command_is_sent_with_the_deferred_response() {
    let mut site = Site::reporting_every(2500);
    site.settle(5000);
    // The first report shows the token, the second that the worker has seen it.
    for _ in 0..2 {
        site.heartbeat();
        site.settle(2500);
    }
    assert!(site.token > FencingToken(0) && site.running.is_none());
    site.heartbeat();
    let heartbeats = site.tally;
    site.take_replies();
    // A job that goes to the part of the machine at once.
    let here = |n: &u32| ShardId::of(job(*n).id.as_str(), 3) == ShardId::of(MACHINE, 3);
    let number = (1..).find(here).expect("a job of the part");
    site.ask(ClientRequest::Submit(Box::new(job(number))));
    site.settle(700);
    assert!(site.running.is_some(), "the start was not sent with the answer that waited");
    assert_eq!(site.tally, heartbeats);
}

/// Two answers in the worker's hands would start a task twice over.
#[test]
fn a_newer_heartbeat_replaces_a_deferred_one() {
    let mut site = Site::reporting_every(2500);
    site.settle(5000);
    for _ in 0..2 {
        site.heartbeat();
        site.settle(2500);
    }
    site.heartbeat();
    let older = RequestId(site.requests);
    assert!(site.replies.is_empty(), "an answer was given at once: {:?}", site.replies);
    site.heartbeat();
    let empty = |(request, response): &(RequestId, Response)| {
        *request == older && matches!(response, Response::Commands { commands, .. } if commands.is_empty())
    };
    assert!(site.replies.len() == 1 && site.replies.iter().all(empty), "{:?}", site.replies);
    site.settle(2000);
    assert!(site.replies.is_empty() && site.on_way.len() < 20);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..Default::default()
    })]
    /// Whatever comes in whatever order, nothing is promised or begun that is
    /// not durable, an accepted job is never unknown, what runs goes on, and the
    /// node serves once answers come again.
    #[test]
    fn startup_succeeds_whatever_the_order_of_store_answers(
        steps in proptest::collection::vec(step(), 0..120),
        again in proptest::collection::vec(step(), 0..80),
        heartbeat_ms in prop_oneof![Just(1000u64), Just(2500)],
    ) {
        let mut site = Site::reporting_every(heartbeat_ms);
        site.settle(5000);
        site.ask(ClientRequest::Submit(Box::new(job(1))));
        site.settle(400);
        // A worker that has seen the token is told to start.
        for _ in 0..8 {
            site.heartbeat();
            site.settle(500);
        }
        prop_assert!(site.running.is_some(), "nothing runs before the trouble");
        for steps in [steps, again] {
            site.restart();
            for step in steps {
                match step {
                    Step::Wait(ms) => site.wait(ms),
                    Step::Answer(pick) => site.answer(pick, |service, now, call| service.execute(now, call)),
                    Step::Refuse(pick) => site.answer(pick, |_, _, _| StoreResponse::Unavailable),
                    Step::Lose(pick, done) => site.answer(pick, |service, now, call| {
                        if done {
                            service.execute(now, call);
                        }
                        StoreResponse::Unknown
                    }),
                    Step::Submit => drop(site.ask(ClientRequest::Submit(Box::new(job(2))))),
                    Step::Query => {
                        let request = site.ask(ClientRequest::Query(JobId::new("wk-000001")));
                        for (answered, status) in site.take_replies() {
                            prop_assert!(answered != request || status != 404, "forgotten");
                        }
                    }
                    Step::Heartbeat => site.heartbeat(),
                }
                site.take_replies();
            }
        }
        for _ in 0..60 {
            site.settle(500);
            site.heartbeat();
        }
        site.take_replies();
        let up = site.ask(ClientRequest::Health);
        prop_assert!(site.take_replies().contains(&(up, 200)), "not healthy after 30 s of answers");
        let asked = site.ask(ClientRequest::Submit(Box::new(job(3))));
        let mut accepted = None;
        for _ in 0..20 {
            site.wait(20);
            while let Some((id, call)) = site.on_way.pop_front() {
                let answer = site.service.execute(site.now, call);
                site.feed(Input::State(id, answer));
                if site.on_way.len() > 20 {
                    break;
                }
            }
            accepted = accepted.or(site.take_replies().into_iter().find(|(r, _)| *r == asked));
            if accepted.is_some() {
                break;
            }
        }
        prop_assert_eq!(accepted, Some((asked, 201)));
        site.heartbeat();
        let token = site.token;
        site.take_replies();
        prop_assert!(site.token >= token && site.token > FencingToken(0), "nobody owns the worker");
    }
}

/// Each life logged and counted the ends of all jobs that it read of, and each
/// deal of a job counted it once more as a usual one.
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
    let mut view = StateCache::default();
    let mut news = |value, at| view.apply(&key, value, Revision(at));
    assert_eq!(news(record(None, None), 3), CacheChange::Job(id.clone(), JobChange::First));
    assert_eq!(news(record(None, Some([1])), 4), CacheChange::Job(id.clone(), JobChange::Other));
    assert_eq!(news(record(None, None), 3), CacheChange::Nothing);
    assert_eq!(news(record(Some("done"), Some([1])), 5), CacheChange::Job(id.clone(), JobChange::Ended));
    assert_eq!(news(record(Some("done"), Some([1])), 6), CacheChange::Job(id.clone(), JobChange::Other));
    let mut later = StateCache::default();
    assert_eq!(later.apply(&key, record(Some("done"), Some([1])), Revision(6)), CacheChange::Job(id, JobChange::First));
}
