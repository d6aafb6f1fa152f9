//! A world in virtual time for drivers: a state service with leases, outages
//! and late transactions, jobs with replicas that start, are lost and fail, and
//! controllers that end, freeze and come back.
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

/// Time between two steps of the world.
const STEP: u64 = 50;

/// How the checks of an image's replicas go.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutStrategy {
    Well,
    /// Fails from so long after it began to run.
    FailsAfter(u64),
    /// Accepts and never answers, from so long after it began to run.
    HangsAfter(u64),
    /// Passes and fails by turns, for so long each.
    Flaps(u64),
    /// Ends by itself so long after it began to run, again and again.
    EndsAfter(u64),
}

#[derive(Debug, Clone)]
pub struct Job {
    pub image: String,
    pub replicas: u32,
    pub zone: Option<String>,
    pub withdrawn: Option<u64>,
    /// Per replica: attempt, when it runs, last failed attempt.
    pub runs: Vec<(u64, u64, u64)>,
}

#[derive(Debug)]
enum Due {
    Answer(usize, u64, CallId, Answer),
    Carry(usize, u64, CallId, Call, bool),
    Verdict(usize, u64, CheckId, Verdict),
}

pub struct Node {
    pub driver: Driver,
    life: u64,
    pub alive: bool,
    pub back_at: u64,
    pub frozen_until: u64,
    /// The network to replicas is cut.
    pub cut: bool,
}

/// What goes wrong by chance, in thousandths of the calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Chances {
    pub lost: u64,
    pub late: u64,
    /// The driver ends before, or right after, a call takes effect.
    pub end_before: u64,
    pub end_after: u64,
}

pub struct World {
    pub now: u64,
    seed: u64,
    kv: BTreeMap<String, (serde_json::Value, u64, Option<u64>)>,
    changes: Vec<(u64, String, Option<serde_json::Value>)>,
    pub revision: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    pub outage_until: u64,
    pub jobs: BTreeMap<JobId, Job>,
    pub nodes: Vec<Node>,
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    /// Every durable record of a service, in order.
    pub records: Vec<(u64, String, Service)>,
    pub manners: BTreeMap<String, RolloutStrategy>,
    pub chances: Chances,
    /// How long a replica takes to run once its job is known.
    pub start_ms: u64,
    /// Replicas that there is room for.
    pub capacity: usize,
    pub writes: u64,
    pub calls: u64,
    pub ends: u64,
    /// Submissions of an image get no answer until then; each job's first one
    /// takes effect at that time, the others are lost.
    pub hold_submits: Option<(String, u64)>,
    held: BTreeSet<JobId>,
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

impl World {
    pub fn new(seed: u64, nodes: usize) -> World {
        World::with_checks(seed, nodes, 8)
    }

    /// With so many threads for checks on each node.
    pub fn with_checks(seed: u64, nodes: usize, checks: usize) -> World {
        let node = |at| Node {
            driver: Driver::new(config(at, checks)),
            life: 1,
            alive: true,
            back_at: 0,
            frozen_until: 0,
            cut: false,
        };
        World {
            now: 0,
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            kv: BTreeMap::new(),
            changes: vec![],
            revision: 1,
            leases: BTreeMap::new(),
            outage_until: 0,
            jobs: BTreeMap::new(),
            nodes: (0..nodes).map(node).collect(),
            due: BTreeMap::new(),
            sequence: 0,
            records: vec![],
            manners: BTreeMap::new(),
            chances: Chances::default(),
            start_ms: 1500,
            capacity: usize::MAX,
            writes: 0,
            calls: 0,
            ends: 0,
            hold_submits: None,
            held: BTreeSet::new(),
            checks,
        }
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) % below.max(1)
    }

    fn later(&mut self, after: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + after.max(1), self.sequence), due);
    }

    pub fn service(&self, name: &str) -> Option<Service> {
        let (value, ..) = self.kv.get(&format!("{SERVICES}{name}"))?;
        serde_json::from_value(value.clone()).ok()
    }

    /// An operator's command, carried out at once; waits out outages.
    pub fn command(&mut self, name: &str, command: Command) -> OperatorResponse {
        let mut commands = CommandHandler::new(64 * 1024);
        let mut output = commands.handle_request(RequestId(1), OperatorRequest::Command(name.into(), command));
        loop {
            if let Some((_, reply)) = output.responses.pop() {
                return reply;
            }
            let (id, call) = output.calls.pop().expect("a call or a reply");
            let answer = self.carry(0, &call);
            output = commands.answer(id, answer);
        }
    }

    pub fn start(&mut self, file: &RollOut) -> OperatorResponse {
        self.command(&file.service.clone(), Command::Start(Box::new(file.clone())))
    }

    /// Lets time pass until `done`, at the most `limit` milliseconds.
    pub fn run(&mut self, limit: u64, mut done: impl FnMut(&mut World) -> bool) -> bool {
        let until = self.now + limit;
        while self.now < until {
            self.step();
            if done(self) {
                return true;
            }
        }
        false
    }

    fn step(&mut self) {
        self.now += STEP;
        let gone: Vec<u64> = match self.now < self.outage_until {
            true => vec![],
            false => self.leases.iter().filter(|(_, l)| l.1 < self.now).map(|(id, _)| *id).collect(),
        };
        for lease in gone {
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
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
            let due = entry.remove();
            self.deliver(due);
        }
        for at in 0..self.nodes.len() {
            if !self.nodes[at].alive && self.now >= self.nodes[at].back_at {
                self.nodes[at].driver = Driver::new(config(at, self.checks));
                self.nodes[at].alive = true;
                self.nodes[at].life += 1;
            }
            if self.nodes[at].alive && self.now >= self.nodes[at].frozen_until && self.now % Driver::TICK.0 == 0 {
                let outputs = self.nodes[at].driver.tick(Millis(self.now));
                self.take(at, outputs);
            }
        }
    }

    /// Ends a driver; it comes back with nothing but its settings.
    pub fn end(&mut self, at: usize) {
        self.ends += 1;
        self.nodes[at].alive = false;
        self.nodes[at].back_at = self.now + 500 + self.random(3000);
    }

    fn deliver(&mut self, due: Due) {
        if let Due::Answer(at, ..) | Due::Verdict(at, ..) = &due {
            // What comes to a frozen process waits in its sockets.
            let frozen = self.nodes[*at].frozen_until.saturating_sub(self.now);
            if frozen > 0 {
                return self.later(frozen, due);
            }
        }
        match due {
            Due::Answer(at, life, id, answer) => {
                if self.nodes[at].alive && self.nodes[at].life == life {
                    let outputs = self.nodes[at].driver.answer(Millis(self.now), id, answer);
                    self.take(at, outputs);
                }
            }
            Due::Verdict(at, life, id, verdict) => {
                if self.nodes[at].alive && self.nodes[at].life == life {
                    let outputs = self.nodes[at].driver.verdict(Millis(self.now), id, verdict);
                    self.take(at, outputs);
                }
            }
            Due::Carry(at, life, id, call, answered) => {
                let effect = matches!(call, Call::Commit(_) | Call::Submit { .. } | Call::Withdraw { .. });
                let alive = self.nodes[at].alive && self.nodes[at].life == life;
                if effect && alive && self.random(1000) < self.chances.end_before {
                    return self.end(at);
                }
                let answer = self.carry(at, &call);
                if matches!(&call, Call::Commit(c) if c.key.starts_with(SERVICES)) {
                    let holder = self.kv.get(DRIVER_KEY).and_then(|v| v.0["node"].as_str());
                    let written = matches!(answer, Answer::Committed(_));
                    let ours = holder == Some(format!("n{at}").as_str());
                    assert!(!written || ours, "n{at} wrote while {holder:?} drives");
                }
                if effect && alive && self.random(1000) < self.chances.end_after {
                    return self.end(at);
                }
                if answered {
                    let delay = 5 + self.random(20);
                    self.later(delay, Due::Answer(at, life, id, answer));
                }
            }
        }
    }

    fn take(&mut self, at: usize, outputs: Vec<Output>) {
        let life = self.nodes[at].life;
        for output in outputs {
            match output {
                Output::Note(_) => {}
                Output::Probe(id, probe) => {
                    let (delay, verdict) = self.check(at, &probe.addr, probe.check.timeout_s);
                    self.later(delay, Due::Verdict(at, life, id, verdict));
                }
                Output::Call(id, Call::Watch { prefix, after, wait }) => {
                    // Answered when the world has something, or the time is over.
                    let call = Call::Watch { prefix, after, wait };
                    self.later(300, Due::Carry(at, life, id, call, true));
                }
                Output::Call(id, call) => {
                    self.calls += 1;
                    if let (Call::Submit { job, submission }, Some((image, until))) = (&call, self.hold_submits.clone())
                    {
                        if submission.job.image == image && self.now < until {
                            self.later(1500, Due::Answer(at, life, id, Answer::Unknown));
                            if self.held.insert(job.clone()) {
                                self.later(until - self.now, Due::Carry(at, life, id, call, false));
                            }
                            continue;
                        }
                    }
                    let fate = self.random(1000);
                    let delay = 5 + self.random(20);
                    if fate < self.chances.lost {
                        self.later(1500, Due::Answer(at, life, id, Answer::Unknown));
                    } else if fate < self.chances.lost + self.chances.late {
                        self.later(1500, Due::Answer(at, life, id, Answer::Unknown));
                        let late = 1600 + self.random(6000);
                        self.later(late, Due::Carry(at, life, id, call, false));
                    } else {
                        self.later(delay, Due::Carry(at, life, id, call, true));
                    }
                }
            }
        }
    }

    /// What a check finds, and after what time.
    fn check(&mut self, at: usize, addr: &str, timeout_s: f64) -> (u64, Verdict) {
        let timeout = (timeout_s * 1000.0) as u64;
        if self.nodes[at].cut {
            return (timeout, Verdict::Unreachable("cut".into()));
        }
        let host = addr.split(':').next().unwrap_or_default();
        let (job, index) = host.rsplit_once('/').unwrap_or_default();
        let found = self.jobs.get(&JobId(job.into())).filter(|j| j.withdrawn.is_none());
        let run = found.and_then(|j| Some((j.image.clone(), j.runs.get(index.parse::<usize>().ok()?)?.1)));
        let Some((image, since)) = run.filter(|(_, since)| *since <= self.now) else {
            return (10, Verdict::Fail("refused".into()));
        };
        let age = self.now - since;
        match self.manner(&image) {
            RolloutStrategy::FailsAfter(ms) if age >= ms => (10, Verdict::Fail("status 500".into())),
            RolloutStrategy::HangsAfter(ms) if age >= ms => (timeout, Verdict::Fail("no whole answer in time".into())),
            RolloutStrategy::Flaps(ms) if ms > 0 && (age / ms) % 2 == 1 => (10, Verdict::Fail("status 503".into())),
            _ => (10, Verdict::Pass),
        }
    }

    pub fn manner(&self, image: &str) -> RolloutStrategy {
        self.manners.get(image).copied().unwrap_or(RolloutStrategy::Well)
    }

    fn fail_replicas(&mut self) {
        let (now, manners) = (self.now, self.manners.clone());
        for job in self.jobs.values_mut().filter(|j| j.withdrawn.is_none()) {
            if let Some(RolloutStrategy::EndsAfter(ms)) = manners.get(&job.image) {
                for run in &mut job.runs {
                    if now >= run.1.saturating_add(*ms) {
                        *run = (run.0 + 1, now + 1000, run.0);
                    }
                }
            }
        }
    }

    /// A machine goes, and with it a replica, through no fault of its own.
    pub fn lose(&mut self, job: &JobId, index: usize, for_ms: u64) {
        let now = self.now;
        if let Some(run) = self.jobs.get_mut(job).and_then(|j| j.runs.get_mut(index)) {
            *run = (run.0 + 1, now + for_ms, run.2);
        }
    }

    /// Replicas of an image that run now.
    pub fn running(&self, image: &str) -> u32 {
        let of = |j: &&Job| j.image == image && j.withdrawn.is_none();
        let runs = self.jobs.values().filter(of).flat_map(|j| &j.runs);
        runs.filter(|run| run.1 <= self.now).count() as u32
    }

    fn commit(&mut self, commit: &Commit) -> Answer {
        let at = |w: &World, key: &str| w.kv.get(key).map_or(0, |v| v.1);
        if commit.lease.is_some_and(|l| !self.leases.contains_key(&l.0)) {
            return Answer::Refused;
        }
        if commit.conditions.iter().any(|(key, stamp)| at(self, key) != stamp.0) {
            return Answer::Conflict;
        }
        self.revision += 1;
        self.writes += 1;
        let value = (commit.value.clone(), self.revision, commit.lease.map(|l| l.0));
        self.kv.insert(commit.key.clone(), value);
        self.changes.push((self.revision, commit.key.clone(), Some(commit.value.clone())));
        if let Some(name) = commit.key.strip_prefix(SERVICES) {
            let service = serde_json::from_value(commit.value.clone()).expect("a service's record");
            self.records.push((self.now, name.to_string(), service));
        }
        Answer::Committed(Revision(self.revision))
    }

    fn carry(&mut self, at: usize, call: &Call) -> Answer {
        let of_state =
            !matches!(call, Call::Submit { .. } | Call::Withdraw { .. } | Call::Replicas { .. } | Call::Reach { .. });
        let needs_state = of_state || matches!(call, Call::Submit { .. } | Call::Withdraw { .. });
        if needs_state && self.now < self.outage_until {
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
                let news = self.changes.iter().filter(|c| c.0 > after.0 && c.1.starts_with(prefix.as_str()));
                let changed = news.map(|c| (c.1.clone(), c.2.clone(), Revision(c.0))).collect();
                Answer::Changes { revision: Revision(self.revision), changed }
            }
            Call::Submit { job, submission } => self.submit(job, submission),
            Call::Withdraw { job } => self.withdraw(job),
            Call::Replicas { jobs } => self.replicas(jobs),
            Call::Reach { .. } => {
                let others = self.nodes.iter().enumerate().filter(|(n, node)| *n != at && node.alive);
                Answer::Reached(others.map(|(_, node)| !node.cut).reduce(|a, b| a || b))
            }
        }
    }

    fn submit(&mut self, job: &JobId, submission: &JobSubmission) -> Answer {
        let begins = self.now + self.start_ms;
        let known = self.jobs.entry(job.clone()).or_insert_with(|| Job {
            image: submission.job.image.clone(),
            replicas: submission.replicas,
            zone: submission.zone.clone(),
            withdrawn: None,
            runs: vec![(1, begins, 0); submission.replicas as usize],
        });
        Answer::Job(if known.withdrawn.is_some() { JobStatus::Ended } else { JobStatus::Accepted })
    }

    fn withdraw(&mut self, job: &JobId) -> Answer {
        match self.jobs.get_mut(job) {
            None => Answer::Job(JobStatus::Unknown),
            Some(known) => {
                known.withdrawn.get_or_insert(self.now);
                Answer::Job(JobStatus::Ended)
            }
        }
    }

    fn replicas(&self, jobs: &[JobId]) -> Answer {
        let mut told = vec![];
        let known: Vec<(&JobId, &Job)> = self.jobs.iter().filter(|(_, j)| j.withdrawn.is_none()).collect();
        let mut room = self.capacity;
        for (id, job) in known {
            for (index, run) in job.runs.iter().enumerate() {
                let placed = room > 0;
                room = room.saturating_sub(1);
                if !jobs.contains(id) {
                    continue;
                }
                let standing = match (placed, run.1 <= self.now) {
                    (false, _) => ReplicaState::Pending,
                    (true, false) => ReplicaState::Starting,
                    (true, true) => ReplicaState::Running,
                };
                told.push(ObservedReplica {
                    replica: (id.clone(), index as u32),
                    attempt: run.0,
                    state: standing,
                    host: format!("{id}/{index}"),
                    zone: job.zone.clone().unwrap_or_default(),
                    failed_attempt: run.2,
                    heartbeat_age: Millis(self.now % 400),
                    token: 1,
                });
            }
        }
        Answer::Replicas(told)
    }
}

/// A roll-out of six replicas in three steps.
pub fn file(version: &str, rest: &str) -> RollOut {
    RollOut::from_toml(&format!(
        "service = \"routeplan\"\nversion = \"{version}\"\nreplicas = 6\nmax_unavailable = 0\nmax_surplus = 2\n{rest}\n\
         job = {{ class = \"c\", team = \"t\", cpus = 1.0, mem_gb = 1.0, image = \"{version}\" }}\n\
         [check]\nkind = \"http\"\nport = 80\ninterval_s = 0.5\ntimeout_s = 0.4\nsuccesses = 2\nfailures_allowed = 0\n\
         [[step]]\nreplicas = 1\nbake_s = 6\ndeadline_s = 90\n\
         [[step]]\nreplicas = 3\nbake_s = 6\ndeadline_s = 90\n\
         [[step]]\nreplicas = 6\nbake_s = 6\ndeadline_s = 90\n"
    ))
    .expect("a roll-out")
}
