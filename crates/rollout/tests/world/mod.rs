//! Simulated cluster in virtual time for tests of the driver: a state service with leases,
//! outages and delayed transactions, jobs whose replicas start, fail and are lost with their
//! machine, and controllers that crash, freeze and restart.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use tillercleat_rollout::commands::{CommandHandler, OperatorRequest, OperatorResponse};
use tillercleat_rollout::driver::{Config, Driver, Output, DRIVER_KEY, SERVICES};
use tillercleat_rollout::file::RollOut;
use tillercleat_rollout::ports::{
    Answer, Call, Commit, Item, JobStatus, JobSubmission, ObservedReplica, ReplicaState, Verdict,
};
use tillercleat_rollout::record::{Command, Service};
use tillercleat_rollout::units::{CallId, CheckId, JobId, LeaseId, Millis, RequestId, Revision};

/// Virtual time that passes in one step of the simulation.
const STEP_MS: u64 = 50;

/// Behavior of an image's replicas under health checks. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplicaBehavior {
    Healthy,
    /// Fails checks once it has run this long.
    FailsAfter(u64),
    /// Accepts connections but never answers once it has run this long.
    HangsAfter(u64),
    /// Alternates between passing and failing, with this time in each phase.
    Flaps(u64),
    /// Exits after running this long, after every restart.
    ExitsAfter(u64),
}

#[derive(Debug, Clone)]
pub struct Job {
    pub image: String,
    pub replicas: u32,
    pub zone: Option<String>,
    pub withdrawn_at: Option<u64>,
    /// Per replica: attempt, time it starts running, last failed attempt.
    pub runs: Vec<(u64, u64, u64)>,
}

#[derive(Debug)]
enum Event {
    Answer(usize, u64, CallId, Answer),
    Execute(usize, u64, CallId, Call, bool),
    Verdict(usize, u64, CheckId, Verdict),
}

pub struct Node {
    pub driver: Driver,
    incarnation: u64,
    pub alive: bool,
    pub restarts_at: u64,
    pub frozen_until: u64,
    /// True if the node cannot reach any replica.
    pub partitioned: bool,
}

/// Rates of random faults, per thousand calls. A lost call has no effect; a late one takes effect after its timeout.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    pub lost: u64,
    pub late: u64,
    /// The driver crashes just before, or right after, a write takes effect.
    pub crash_before: u64,
    pub crash_after: u64,
}

pub struct SimulatedCluster {
    pub now: u64,
    seed: u64,
    kv: BTreeMap<String, (serde_json::Value, u64, Option<u64>)>,
    changes: Vec<(u64, String, Option<serde_json::Value>)>,
    pub revision: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    pub outage_until: u64,
    pub jobs: BTreeMap<JobId, Job>,
    pub nodes: Vec<Node>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    /// Every committed record of a service with its time and name, in order.
    pub records: Vec<(u64, String, Service)>,
    pub behaviors: BTreeMap<String, ReplicaBehavior>,
    pub fault_rates: FaultRates,
    /// Delay between the submission of a job and its replicas running.
    pub startup_ms: u64,
    /// Maximum number of replicas that can be placed.
    pub capacity: usize,
    pub writes: u64,
    pub calls: u64,
    pub crashes: u64,
    /// Holds submissions of an image until the given time. Each job's first one then takes effect, others are lost.
    pub held_submissions: Option<(String, u64)>,
    held_jobs: BTreeSet<JobId>,
    checks: usize,
}

fn config(node: usize, checks: usize) -> Config {
    Config {
        node: format!("n{node}"),
        listen: format!("127.0.0.1:{node}"),
        ttl: Millis(4000),
        checks,
        first_digits: "9".into(),
    }
}

impl SimulatedCluster {
    pub fn new(seed: u64, nodes: usize) -> SimulatedCluster {
        SimulatedCluster::with_checks(seed, nodes, 8)
    }

    /// Creates a cluster whose nodes each run up to `checks` checks at a time.
    pub fn with_checks(seed: u64, nodes: usize, checks: usize) -> SimulatedCluster {
        let node = |index| Node {
            driver: Driver::new(config(index, checks)),
            incarnation: 1,
            alive: true,
            restarts_at: 0,
            frozen_until: 0,
            partitioned: false,
        };
        SimulatedCluster {
            now: 0,
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            kv: BTreeMap::new(),
            changes: vec![],
            revision: 1,
            leases: BTreeMap::new(),
            outage_until: 0,
            jobs: BTreeMap::new(),
            nodes: (0..nodes).map(node).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            records: vec![],
            behaviors: BTreeMap::new(),
            fault_rates: FaultRates::default(),
            startup_ms: 1500,
            capacity: usize::MAX,
            writes: 0,
            calls: 0,
            crashes: 0,
            held_submissions: None,
            held_jobs: BTreeSet::new(),
            checks,
        }
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) % below.max(1)
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay.max(1), self.sequence), event);
    }

    pub fn service(&self, name: &str) -> Option<Service> {
        let (value, ..) = self.kv.get(&format!("{SERVICES}{name}"))?;
        serde_json::from_value(value.clone()).ok()
    }

    /// Executes an operator's command without advancing the time.
    pub fn command(&mut self, name: &str, command: Command) -> OperatorResponse {
        let mut handler = CommandHandler::new(64 * 1024);
        let mut output = handler.handle_request(RequestId(1), OperatorRequest::Command(name.into(), command));
        loop {
            if let Some((_, response)) = output.responses.pop() {
                return response;
            }
            let (id, call) = output.calls.pop().expect("neither a call nor a response");
            let answer = self.execute(0, &call);
            output = handler.answer(id, answer);
        }
    }

    pub fn start(&mut self, file: &RollOut) -> OperatorResponse {
        self.command(&file.service.clone(), Command::Start(Box::new(file.clone())))
    }

    /// Advances the time until `done` returns true, by at most `limit_ms`. Returns whether it did.
    pub fn run(&mut self, limit_ms: u64, mut done: impl FnMut(&mut SimulatedCluster) -> bool) -> bool {
        let deadline = self.now + limit_ms;
        while self.now < deadline {
            self.step();
            if done(self) {
                return true;
            }
        }
        false
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let expired: Vec<u64> = match self.now < self.outage_until {
            true => vec![],
            false => self.leases.iter().filter(|(_, l)| l.1 < self.now).map(|(id, _)| *id).collect(),
        };
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> =
                self.kv.iter().filter(|(_, v)| v.2 == Some(lease)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.kv.remove(&key);
                self.changes.push((self.revision, key, None));
            }
        }
        self.fail_replicas();
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            self.deliver(event);
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].alive && self.now >= self.nodes[node].restarts_at {
                self.nodes[node].driver = Driver::new(config(node, self.checks));
                self.nodes[node].alive = true;
                self.nodes[node].incarnation += 1;
            }
            if self.nodes[node].alive && self.now >= self.nodes[node].frozen_until && self.now % Driver::TICK.0 == 0 {
                let outputs = self.nodes[node].driver.tick(Millis(self.now));
                self.handle_outputs(node, outputs);
            }
        }
    }

    /// Crashes a driver. It restarts with no state but its settings.
    pub fn crash(&mut self, node: usize) {
        self.crashes += 1;
        self.nodes[node].alive = false;
        self.nodes[node].restarts_at = self.now + 500 + self.random(3000);
    }

    fn deliver(&mut self, event: Event) {
        if let Event::Answer(node, ..) | Event::Verdict(node, ..) = &event {
            // Messages to a frozen process wait in its sockets.
            let frozen = self.nodes[*node].frozen_until.saturating_sub(self.now);
            if frozen > 0 {
                return self.schedule(frozen, event);
            }
        }
        match event {
            Event::Answer(node, incarnation, id, answer) => {
                if self.nodes[node].alive && self.nodes[node].incarnation == incarnation {
                    let outputs = self.nodes[node].driver.answer(Millis(self.now), id, answer);
                    self.handle_outputs(node, outputs);
                }
            }
            Event::Verdict(node, incarnation, id, verdict) => {
                if self.nodes[node].alive && self.nodes[node].incarnation == incarnation {
                    let outputs = self.nodes[node].driver.verdict(Millis(self.now), id, verdict);
                    self.handle_outputs(node, outputs);
                }
            }
            Event::Execute(node, incarnation, id, call, answered) => {
                let writes = matches!(call, Call::Commit(_) | Call::Submit { .. } | Call::Withdraw { .. });
                let alive = self.nodes[node].alive && self.nodes[node].incarnation == incarnation;
                if writes && alive && self.random(1000) < self.fault_rates.crash_before {
                    return self.crash(node);
                }
                let answer = self.execute(node, &call);
                if matches!(&call, Call::Commit(c) if c.key.starts_with(SERVICES)) {
                    let holder = self.kv.get(DRIVER_KEY).and_then(|v| v.0["node"].as_str());
                    let written = matches!(answer, Answer::Committed(_));
                    let is_leader = holder == Some(format!("n{node}").as_str());
                    assert!(!written || is_leader, "n{node} wrote while {holder:?} is the leader");
                }
                if writes && alive && self.random(1000) < self.fault_rates.crash_after {
                    return self.crash(node);
                }
                if answered {
                    let delay = 5 + self.random(20);
                    self.schedule(delay, Event::Answer(node, incarnation, id, answer));
                }
            }
        }
    }

    fn handle_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        let incarnation = self.nodes[node].incarnation;
        for output in outputs {
            match output {
                Output::Note(_) => {}
                Output::Probe(id, probe) => {
                    let (delay, verdict) = self.check_replica(node, &probe.addr, probe.check.timeout_s);
                    self.schedule(delay, Event::Verdict(node, incarnation, id, verdict));
                }
                Output::Call(id, Call::Watch { prefix, after, wait }) => {
                    // Answered after a fixed delay, with or without changes.
                    let call = Call::Watch { prefix, after, wait };
                    self.schedule(300, Event::Execute(node, incarnation, id, call, true));
                }
                Output::Call(id, call) => {
                    self.calls += 1;
                    if let (Call::Submit { job, submission }, Some((image, until))) =
                        (&call, self.held_submissions.clone())
                    {
                        if submission.job.image == image && self.now < until {
                            self.schedule(1500, Event::Answer(node, incarnation, id, Answer::Unknown));
                            if self.held_jobs.insert(job.clone()) {
                                self.schedule(until - self.now, Event::Execute(node, incarnation, id, call, false));
                            }
                            continue;
                        }
                    }
                    let draw = self.random(1000);
                    let delay = 5 + self.random(20);
                    if draw < self.fault_rates.lost {
                        self.schedule(1500, Event::Answer(node, incarnation, id, Answer::Unknown));
                    } else if draw < self.fault_rates.lost + self.fault_rates.late {
                        self.schedule(1500, Event::Answer(node, incarnation, id, Answer::Unknown));
                        let late = 1600 + self.random(6000);
                        self.schedule(late, Event::Execute(node, incarnation, id, call, false));
                    } else {
                        self.schedule(delay, Event::Execute(node, incarnation, id, call, true));
                    }
                }
            }
        }
    }

    /// Returns the delay of a check in milliseconds, and its verdict.
    fn check_replica(&mut self, node: usize, addr: &str, timeout_s: f64) -> (u64, Verdict) {
        let timeout = (timeout_s * 1000.0) as u64;
        if self.nodes[node].partitioned {
            return (timeout, Verdict::Unreachable("cut".into()));
        }
        let host = addr.split(':').next().unwrap_or_default();
        let (job, index) = host.rsplit_once('/').unwrap_or_default();
        let live_job = self.jobs.get(&JobId(job.into())).filter(|j| j.withdrawn_at.is_none());
        let run = live_job.and_then(|j| Some((j.image.clone(), j.runs.get(index.parse::<usize>().ok()?)?.1)));
        let Some((image, running_at)) = run.filter(|(_, running_at)| *running_at <= self.now) else {
            return (10, Verdict::Fail("refused".into()));
        };
        let age = self.now - running_at;
        match self.behavior(&image) {
            ReplicaBehavior::FailsAfter(ms) if age >= ms => (10, Verdict::Fail("status 500".into())),
            ReplicaBehavior::HangsAfter(ms) if age >= ms => (timeout, Verdict::Fail("no whole answer in time".into())),
            ReplicaBehavior::Flaps(ms) if ms > 0 && (age / ms) % 2 == 1 => (10, Verdict::Fail("status 503".into())),
            _ => (10, Verdict::Pass),
        }
    }

    pub fn behavior(&self, image: &str) -> ReplicaBehavior {
        self.behaviors.get(image).copied().unwrap_or(ReplicaBehavior::Healthy)
    }

    fn fail_replicas(&mut self) {
        let (now, behaviors) = (self.now, self.behaviors.clone());
        for job in self.jobs.values_mut().filter(|j| j.withdrawn_at.is_none()) {
            if let Some(ReplicaBehavior::ExitsAfter(ms)) = behaviors.get(&job.image) {
                for run in &mut job.runs {
                    if now >= run.1.saturating_add(*ms) {
                        *run = (run.0 + 1, now + 1000, run.0);
                    }
                }
            }
        }
    }

    /// Loses the machine of a replica. Its next attempt runs after `restart_ms`; no failure is recorded.
    pub fn lose_machine(&mut self, job: &JobId, index: usize, restart_ms: u64) {
        let now = self.now;
        if let Some(run) = self.jobs.get_mut(job).and_then(|j| j.runs.get_mut(index)) {
            *run = (run.0 + 1, now + restart_ms, run.2);
        }
    }

    /// Number of running replicas of an image.
    pub fn running(&self, image: &str) -> u32 {
        let matches = |j: &&Job| j.image == image && j.withdrawn_at.is_none();
        let runs = self.jobs.values().filter(matches).flat_map(|j| &j.runs);
        runs.filter(|run| run.1 <= self.now).count() as u32
    }

    fn commit(&mut self, commit: &Commit) -> Answer {
        let revision_of = |cluster: &SimulatedCluster, key: &str| cluster.kv.get(key).map_or(0, |v| v.1);
        if commit.lease.is_some_and(|l| !self.leases.contains_key(&l.0)) {
            return Answer::Refused;
        }
        if commit.conditions.iter().any(|(key, expected)| revision_of(self, key) != expected.0) {
            return Answer::Conflict;
        }
        self.revision += 1;
        self.writes += 1;
        let value = (commit.value.clone(), self.revision, commit.lease.map(|l| l.0));
        self.kv.insert(commit.key.clone(), value);
        self.changes.push((self.revision, commit.key.clone(), Some(commit.value.clone())));
        if let Some(name) = commit.key.strip_prefix(SERVICES) {
            let service = serde_json::from_value(commit.value.clone()).expect("a valid service record");
            self.records.push((self.now, name.to_string(), service));
        }
        Answer::Committed(Revision(self.revision))
    }

    fn execute(&mut self, node: usize, call: &Call) -> Answer {
        let store_call =
            !matches!(call, Call::Submit { .. } | Call::Withdraw { .. } | Call::Replicas { .. } | Call::Reach { .. });
        let needs_state_service = store_call || matches!(call, Call::Submit { .. } | Call::Withdraw { .. });
        if needs_state_service && self.now < self.outage_until {
            return Answer::Refused;
        }
        let item = |key: &String, v: &(serde_json::Value, u64, Option<u64>)| Item {
            key: key.clone(),
            value: v.0.clone(),
            revision: Revision(v.1),
        };
        match call {
            Call::Get { key } => self.kv.get_key_value(key).map_or(Answer::Missing, |(k, v)| Answer::Found(item(k, v))),
            Call::List { prefix, after } => {
                let from = after.clone().unwrap_or_default();
                let rows = self.kv.iter().filter(|(k, _)| k.starts_with(prefix.as_str()) && **k > from);
                let items: Vec<Item> = rows.take(20).map(|(k, v)| item(k, v)).collect();
                Answer::Page { more: items.len() == 20, items, revision: Revision(self.revision) }
            }
            Call::Commit(commit) => self.commit(commit),
            Call::Grant { ttl } => {
                self.sequence += 1;
                self.leases.insert(self.sequence, (ttl.0, self.now + ttl.0));
                Answer::Granted(LeaseId(self.sequence))
            }
            Call::Renew { lease } => match self.leases.get_mut(&lease.0) {
                Some(entry) => {
                    entry.1 = self.now + entry.0;
                    Answer::Renewed
                }
                None => Answer::LeaseGone,
            },
            Call::Watch { prefix, after, .. } => {
                let matching = self.changes.iter().filter(|c| c.0 > after.0 && c.1.starts_with(prefix.as_str()));
                let changed = matching.map(|c| (c.1.clone(), c.2.clone(), Revision(c.0))).collect();
                Answer::Changes { revision: Revision(self.revision), changed }
            }
            Call::Submit { job, submission } => self.submit(job, submission),
            Call::Withdraw { job } => self.withdraw(job),
            Call::Replicas { jobs } => self.replicas(jobs),
            Call::Reach { .. } => {
                let others = self.nodes.iter().enumerate().filter(|(index, other)| *index != node && other.alive);
                Answer::Reached(others.map(|(_, other)| !other.partitioned).reduce(|a, b| a || b))
            }
        }
    }

    fn submit(&mut self, job: &JobId, submission: &JobSubmission) -> Answer {
        let running_at = self.now + self.startup_ms;
        let submitted = self.jobs.entry(job.clone()).or_insert_with(|| Job {
            image: submission.job.image.clone(),
            replicas: submission.replicas,
            zone: submission.zone.clone(),
            withdrawn_at: None,
            runs: vec![(1, running_at, 0); submission.replicas as usize],
        });
        Answer::Job(if submitted.withdrawn_at.is_some() { JobStatus::Ended } else { JobStatus::Accepted })
    }

    fn withdraw(&mut self, job: &JobId) -> Answer {
        match self.jobs.get_mut(job) {
            None => Answer::Job(JobStatus::Unknown),
            Some(submitted) => {
                submitted.withdrawn_at.get_or_insert(self.now);
                Answer::Job(JobStatus::Ended)
            }
        }
    }

    fn replicas(&self, jobs: &[JobId]) -> Answer {
        let mut observed = vec![];
        let live: Vec<(&JobId, &Job)> = self.jobs.iter().filter(|(_, j)| j.withdrawn_at.is_none()).collect();
        let mut free_slots = self.capacity;
        for (id, job) in live {
            for (index, run) in job.runs.iter().enumerate() {
                let placed = free_slots > 0;
                free_slots = free_slots.saturating_sub(1);
                if !jobs.contains(id) {
                    continue;
                }
                let replica_state = match (placed, run.1 <= self.now) {
                    (false, _) => ReplicaState::Pending,
                    (true, false) => ReplicaState::Starting,
                    (true, true) => ReplicaState::Running,
                };
                observed.push(ObservedReplica {
                    replica: (id.clone(), index as u32),
                    attempt: run.0,
                    state: replica_state,
                    host: format!("{id}/{index}"),
                    zone: job.zone.clone().unwrap_or_default(),
                    failed_attempt: run.2,
                    heartbeat_age: Millis(self.now % 400),
                    token: 1,
                });
            }
        }
        Answer::Replicas(observed)
    }
}

/// Roll-out of six replicas in three steps. `rest` holds further top-level settings.
pub fn three_step_rollout(version: &str, rest: &str) -> RollOut {
    RollOut::from_toml(&format!(
        "service = \"routeplan\"\nversion = \"{version}\"\nreplicas = 6\nmax_unavailable = 0\nmax_surplus = 2\n{rest}\n\
         job = {{ class = \"c\", team = \"t\", cpus = 1.0, mem_gb = 1.0, image = \"{version}\" }}\n\
         [check]\nkind = \"http\"\nport = 80\ninterval_s = 0.5\ntimeout_s = 0.4\nsuccesses = 2\nfailures_allowed = 0\n\
         [[step]]\nreplicas = 1\nbake_s = 6\ndeadline_s = 90\n\
         [[step]]\nreplicas = 3\nbake_s = 6\ndeadline_s = 90\n\
         [[step]]\nreplicas = 6\nbake_s = 6\ndeadline_s = 90\n"
    ))
    .expect("a valid roll-out")
}
