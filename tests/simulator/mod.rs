//! A stand-in for workers, cloud, state service and users, written from the
//! protocol. It drives controllers' cores in virtual time with crashes, cuts
//! and delayed messages, and checks the rules by itself.

mod cloud;
mod configuration;
mod controllers;
mod crash_points;
mod faults;
mod invariants;
mod jobs;
mod network;
mod random;
mod starts;
pub mod statistics;
mod store;
mod store_calls;
mod trace;
pub mod users;
mod workers;

pub use configuration::{settings, ClusterConfig};
use configuration::{TXN_OPS, VALUE_KB};
use controllers::Node;
pub use crash_points::CrashPoint;
pub use faults::Fault;
use invariants::Waiting;
pub use jobs::Job;
use network::PendingRequest;
pub use random::Random;
use statistics::Statistics;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
pub use store::SimulatedStore;
use store::TokenBucket;
use store_calls::STORE_TIMEOUT_MS;
use tillercleat::coordination::{ClientRequest, CloudAnswer, CloudCall, Core, Input, Output, Response};
use tillercleat::protocol::cloud::{
    Catalog, ListedMachine, ListedMachineState, MachineNames, MachinePage, MachineType,
};
use tillercleat::protocol::peer::PeerStatus;
use tillercleat::protocol::state::{Change, StateAnswer, StateCall};
use tillercleat::protocol::users::{JobSpec, JobState, Malformed};
use tillercleat::protocol::workers::{Command, ExitReason, Heartbeat, TaskName, TaskState, TaskStatus};
use tillercleat::settings::{Settings, Tuning};
use tillercleat::units::{
    AgentEpoch, Attempt, CallId, FencingToken, HeartbeatNumber, JobId, MachineId, MonotonicTime, NodeName, RequestId,
};
use trace::Trace;
use users::ProbeSubmission;
use workers::Worker;

/// How long after all troubles a job may be without any answer about it.
const MAX_UNANSWERED_MS: u64 = 75_000;

enum ScheduledEvent {
    Tick(usize, u32),
    ToNode(usize, u32, Input),
    State(usize, u32, CallId, StateCall, u64),
    Cloud(usize, u32, CallId, CloudCall),
    ReportTimer(usize),
    /// A worker tries the next node, its report of this number having failed.
    TryNext(usize, u64),
    Heartbeat(usize, u32, usize, Heartbeat),
    Answer(usize, u64, Response, u64),
    /// A report once more.
    Copy(usize, Heartbeat),
    Restart(usize),
    Fault(Fault),
    Submit(JobSpec, u32),
    Cancel(JobId, u32),
    Poll(JobId),
    /// A question that nobody repeats.
    ClientRequest(JobId),
    SendProbe(ProbeSubmission),
    /// Probe requests go on until then; so many were sent.
    ProbeRequests(u64, u64),
    /// A worker stands still for so long.
    Hang(usize, u64),
}

pub struct SimulatedCluster {
    config: ClusterConfig,
    now: u64,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, ScheduledEvent>,
    pub random: Random,
    settings: Vec<Settings>,
    nodes: Vec<Node>,
    pub store: SimulatedStore,
    workers: Vec<Worker>,
    rentals: BTreeMap<String, Vec<MachineId>>,
    /// Workers that were ever told to start a task.
    placements: BTreeMap<(JobId, u32), Vec<usize>>,
    /// The last second in which all workers were checked.
    cancellations_checked_s: u64,
    /// The last second in which the use of teams was summed up.
    quotas_checked_s: u64,
    /// A checksum of all that the controllers sent.
    pub trace: Trace,
    pub jobs: BTreeMap<JobId, Job>,
    requests: BTreeMap<(usize, RequestId), PendingRequest>,
    last_request: u64,
    store_outage_until: Vec<u64>,
    store_answers_lost: Vec<(u64, u64)>,
    cuts: BTreeMap<(usize, usize), (u64, bool)>,
    peer_links_cut_until: u64,
    /// Boots that begin before then: how much longer, and which never end.
    slow_provisioning: (u64, u64, usize),
    /// Jobs submitted with a mistake.
    pub failing_jobs: BTreeSet<JobId>,
    /// Nodes that are to end in the middle of something, and how often any did.
    crash_points: Vec<(usize, CrashPoint, u64, Option<u64>)>,
    /// What users were last told of jobs that were refused for good.
    pub rejections: BTreeMap<JobId, u16>,
    /// Until when, what share, and how late at the most.
    duplicated_heartbeats: (u64, u64, u64),
    delayed_transactions: (u64, u64),
    slow_store: (u64, u64),
    delayed_heartbeats: (u64, u64, u64),
    slow_links: (u64, u64),
    cancel_at_completion: (u64, u64),
    /// When work that waits beside room was first seen to, and when all was last judged.
    waiting: BTreeMap<JobId, Waiting>,
    invariants_checked_at: u64,
    /// Tasks that ended of late: when, on which machine, and of which job.
    recently_ended: VecDeque<(u64, usize, JobId)>,
    /// Jobs whose users ask no more.
    users_given_up: BTreeSet<JobId>,
    /// When the last trouble is over of those that have begun, and of all.
    active_faults_end: u64,
    all_faults_end: u64,
    /// Rules seen broken.
    pub violations: Vec<String>,
    pub statistics: Statistics,
}

impl SimulatedCluster {
    /// Three controllers; `lease_s` is what they are told of workers' leases.
    pub fn new(seed: u64, lease_s: f64) -> SimulatedCluster {
        SimulatedCluster::build(seed, ClusterConfig::small(), lease_s)
    }

    /// A cluster as large as `config` says, whose controllers are told the truth.
    pub fn with_config(seed: u64, config: ClusterConfig) -> SimulatedCluster {
        let lease_s = config.lease_ms as f64 / 1000.0;
        SimulatedCluster::build(seed, config, lease_s)
    }

    fn build(seed: u64, config: ClusterConfig, lease_s: f64) -> SimulatedCluster {
        let store = SimulatedStore {
            buckets: config
                .enforce_limits
                .then(|| (TokenBucket::new(config.requests_per_s), TokenBucket::new(config.writes_per_s))),
            page_size: config.page_size,
            max_value_bytes: VALUE_KB * 1024,
            max_changes: TXN_OPS,
            ..SimulatedStore::default()
        };
        let mut cluster = SimulatedCluster {
            now: 1000,
            order: 0,
            due: BinaryHeap::new(),
            what: BTreeMap::new(),
            random: Random::from_seed(seed),
            settings: (0..config.nodes).map(|n| settings(&config, n, lease_s)).collect(),
            nodes: vec![],
            store,
            workers: vec![],
            rentals: BTreeMap::new(),
            placements: BTreeMap::new(),
            cancellations_checked_s: 0,
            quotas_checked_s: 0,
            trace: Trace::default(),
            jobs: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request: 0,
            store_outage_until: vec![0; config.nodes],
            store_answers_lost: vec![(0, 0); config.nodes],
            cuts: BTreeMap::new(),
            peer_links_cut_until: 0,
            slow_provisioning: (0, 1, 0),
            failing_jobs: BTreeSet::new(),
            crash_points: vec![],
            rejections: BTreeMap::new(),
            duplicated_heartbeats: (0, 0, 0),
            delayed_transactions: (0, 0),
            slow_store: (0, 0),
            delayed_heartbeats: (0, 0, 0),
            slow_links: (0, 0),
            cancel_at_completion: (0, 0),
            waiting: BTreeMap::new(),
            invariants_checked_at: 0,
            recently_ended: VecDeque::new(),
            users_given_up: BTreeSet::new(),
            active_faults_end: 0,
            all_faults_end: 0,
            violations: vec![],
            statistics: Statistics::default(),
            config,
        };
        for node in 0..cluster.config.nodes {
            cluster.nodes.push(Node {
                core: None,
                incarnation: 0,
                started: 0,
                paused_until: 0,
                answers_lost_until: 0,
                isolated_until: 0,
                users_cut_until: 0,
                previous_version: false,
            });
            cluster.schedule(cluster.now, ScheduledEvent::Restart(node));
        }
        for index in 0..cluster.config.running {
            // More small ones than large ones, as fleets are.
            let size = [0, 1, 0, 2, 0, 0, 1, 0, 1, 0][index % 10] % cluster.config.machine_types.len();
            let kind = cluster.config.machine_types[size].name.clone();
            let up_at = cluster.now + cluster.random.below(cluster.config.heartbeat_ms);
            cluster.add_worker(kind, index / 10 % cluster.config.zones.len(), true, up_at);
        }
        cluster
    }

    fn random_node(&mut self) -> usize {
        self.random.below(self.config.nodes as u64) as usize
    }

    fn schedule(&mut self, time: u64, what: ScheduledEvent) {
        self.order += 1;
        self.due.push(Reverse((time, self.order)));
        self.what.insert(self.order, what);
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, order))) = self.due.peek().copied() {
            if time > until {
                break;
            }
            self.due.pop();
            self.now = self.now.max(time);
            let Some(what) = self.what.remove(&order) else { continue };
            self.handle_event(what);
        }
        self.now = until;
        self.check_cancelled();
    }

    fn handle_event(&mut self, what: ScheduledEvent) {
        self.check_invariants();
        // What comes to a node that stands still waits, its own ticks first.
        let to = match &what {
            ScheduledEvent::Tick(node, _) | ScheduledEvent::ToNode(node, ..) | ScheduledEvent::Heartbeat(node, ..) => {
                Some(*node)
            }
            _ => None,
        };
        if let Some(until) = to.map(|node| self.nodes[node].paused_until).filter(|until| self.now < *until) {
            let late = if matches!(what, ScheduledEvent::Tick(..)) { 0 } else { 1 };
            return self.schedule(until + late, what);
        }
        match what {
            ScheduledEvent::Tick(node, incarnation) if self.nodes[node].incarnation == incarnation => {
                self.handle_input(node, Input::Tick);
                self.schedule(self.now + 50, ScheduledEvent::Tick(node, incarnation));
            }
            ScheduledEvent::ToNode(node, incarnation, input) if self.nodes[node].incarnation == incarnation => {
                self.handle_input(node, input)
            }
            ScheduledEvent::Tick(..) | ScheduledEvent::ToNode(..) => {}
            ScheduledEvent::State(node, incarnation, id, call, deadline) => {
                self.state_call(node, incarnation, id, call, deadline)
            }
            ScheduledEvent::Cloud(node, incarnation, id, call) => {
                let answer = self.cloud_call(call);
                self.schedule(self.now + 50, ScheduledEvent::ToNode(node, incarnation, Input::Cloud(id, answer)));
            }
            ScheduledEvent::ReportTimer(worker) => {
                if self.workers[worker].alive {
                    let (heartbeat_ms, spread) = (self.config.heartbeat_ms, worker as u64 % 7);
                    self.schedule(
                        self.now + heartbeat_ms * 3 / 4 + spread * (heartbeat_ms * 3 / 50),
                        ScheduledEvent::ReportTimer(worker),
                    );
                    self.send_heartbeat(worker);
                }
            }
            ScheduledEvent::TryNext(worker, in_flight) => {
                let nodes = self.nodes.len();
                let w = &mut self.workers[worker];
                if w.alive && w.in_flight.is_some_and(|(number, _)| number == in_flight) {
                    w.in_flight = None;
                    w.node = (w.node + 1) % nodes;
                    self.send_heartbeat(worker);
                }
            }
            ScheduledEvent::Heartbeat(node, incarnation, worker, heartbeat) => {
                if self.nodes[node].incarnation != incarnation || self.nodes[node].core.is_none() {
                    // Refused or reset: the next node, a second later.
                    self.schedule(self.now + 1000, ScheduledEvent::TryNext(worker, heartbeat.heartbeat_number.0));
                } else {
                    self.last_request += 1;
                    let id = RequestId(self.last_request);
                    self.requests.insert((node, id), PendingRequest::Worker(worker, heartbeat.heartbeat_number.0));
                    self.handle_input(node, Input::Heartbeat(id, heartbeat));
                }
            }
            ScheduledEvent::Copy(worker, heartbeat) => {
                let node = self.random_node();
                self.last_request += 1;
                if self.nodes[node].core.is_some() {
                    let id = RequestId(self.last_request);
                    self.requests.insert((node, id), PendingRequest::Worker(worker, 0));
                    self.handle_input(node, Input::Heartbeat(id, heartbeat));
                }
            }
            ScheduledEvent::Answer(worker, in_flight, response, agent_epoch) => {
                self.worker_answered(worker, in_flight, response, agent_epoch)
            }
            ScheduledEvent::Restart(node) => {
                let core = Core::new(self.settings[node].clone(), Tuning::default());
                let n = &mut self.nodes[node];
                n.core = Some(core);
                n.incarnation += 1;
                n.started = self.now;
                let incarnation = n.incarnation;
                self.schedule(self.now + 1, ScheduledEvent::Tick(node, incarnation));
            }
            ScheduledEvent::Fault(fault) => self.apply_fault(fault),
            // Names are named once they are accepted.
            ScheduledEvent::Submit(spec, tries)
                if spec.dependencies.iter().any(|n| self.jobs.get(n).is_some_and(|j| !j.accepted)) =>
            {
                self.schedule(self.now + 200, ScheduledEvent::Submit(spec, tries));
            }
            ScheduledEvent::Submit(spec, tries) => {
                let id = spec.id.clone();
                let dependency_cancelled_at = spec.dependencies.iter().any(|n| {
                    self.jobs
                        .get(n)
                        .is_some_and(|j| j.dependency_cancelled_at.is_some() || j.cancel_reported_at.is_some())
                });
                let dependency_cancelled_at = dependency_cancelled_at.then_some(self.now);
                self.jobs.entry(id.clone()).or_insert_with(|| Job {
                    spec: spec.clone(),
                    submitted_at: self.now,
                    accepted: false,
                    cancel_requested: false,
                    cancel_reported_at: None,
                    dependency_cancelled_at,
                    last_answer_at: self.now,
                    done_reported: false,
                    first_start_at: None,
                    last_start_at: 0,
                    finished_tasks: BTreeSet::new(),
                });
                self.ask(ClientRequest::Submit(Box::new(spec)), id, "submit", tries);
            }
            ScheduledEvent::Cancel(job, tries) => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.cancel_requested = true;
                }
                self.ask(ClientRequest::Cancel(job.clone()), job, "cancel", tries)
            }
            ScheduledEvent::Poll(job) => self.ask(ClientRequest::Query(job.clone()), job, "poll", 0),
            ScheduledEvent::ClientRequest(job) => self.ask(ClientRequest::Query(job.clone()), job, "ask", 0),
            ScheduledEvent::SendProbe(probe) => self.send_probe(probe),
            ScheduledEvent::ProbeRequests(until, number) => {
                self.send_next_probe(number);
                if self.now < until {
                    let pause = 100 + self.random.below(900);
                    self.schedule(self.now + pause, ScheduledEvent::ProbeRequests(until, number + 1));
                }
            }
            ScheduledEvent::Hang(worker, for_ms) => self.workers[worker].hung_until = self.now + for_ms,
        }
    }
}
