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
mod starts;
mod statistics;
mod store;
mod store_calls;
mod trace;
pub mod users;
mod workers;

pub use configuration::{settings, Shape};
use configuration::{TXN_OPS, VALUE_KB};
use controllers::Node;
pub use crash_points::Moment;
pub use faults::Fault;
use invariants::Waiting;
pub use jobs::Job;
use network::Asked;
pub use statistics::Cost;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use store::Bucket;
pub use store::StateService;
use store_calls::STATE_PATIENCE;
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
use users::Odd;
use workers::Worker;

/// How long after all troubles a job may be without any answer about it.
const FORGOTTEN: u64 = 75_000;

enum Due {
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
    Odd(Odd),
    /// Odd requests go on until then; so many were sent.
    OddRequests(u64, u64),
    /// A worker stands still for so long.
    Hang(usize, u64),
}

pub struct World {
    shape: Shape,
    now: u64,
    order: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, Due>,
    random: u64,
    settings: Vec<Settings>,
    nodes: Vec<Node>,
    pub state: StateService,
    workers: Vec<Worker>,
    rentals: BTreeMap<String, Vec<MachineId>>,
    /// Workers that were ever told to start a task.
    placed: BTreeMap<(JobId, u32), Vec<usize>>,
    /// The last second in which all workers were checked.
    checked: u64,
    /// The last second in which the use of teams was summed up.
    summed: u64,
    /// A checksum of all that the controllers sent.
    pub trace: Trace,
    /// What the controllers' inputs cost, by kind.
    pub costs: BTreeMap<&'static str, Cost>,
    pub jobs: BTreeMap<JobId, Job>,
    requests: BTreeMap<(usize, RequestId), Asked>,
    last_request: u64,
    state_out: Vec<u64>,
    silent: Vec<(u64, u64)>,
    cuts: BTreeMap<(usize, usize), (u64, bool)>,
    peers_cut: u64,
    /// Boots that begin before then: how much longer, and which never end.
    slow_boots: (u64, u64, usize),
    /// Jobs submitted with a mistake.
    pub mistaken: BTreeSet<JobId>,
    /// Starts per job.
    pub tries: BTreeMap<JobId, usize>,
    /// Nodes that are to end in the middle of something, and how often any did.
    traps: Vec<(usize, Moment, u64, Option<u64>)>,
    pub sprung: BTreeMap<Moment, usize>,
    /// Requests of users that were told to come back.
    pub refused: usize,
    /// What users were last told of jobs that were refused for good.
    pub final_no: BTreeMap<JobId, u16>,
    /// Until when, what share, and how late at the most.
    copies: (u64, u64, u64),
    late_writes: (u64, u64),
    slow_state: (u64, u64),
    held_reports: (u64, u64, u64),
    slow_links: (u64, u64),
    cancel_at_end: (u64, u64),
    /// Odd requests that got an answer for good.
    pub odd_answers: usize,
    /// Starts after a user was told that their job is cancelled.
    pub late_starts: usize,
    /// When work that waits beside room was first seen to, and when all was last judged.
    waiting: BTreeMap<JobId, Waiting>,
    judged: u64,
    /// Tasks that ended of late: when, on which machine, and of which job.
    left: VecDeque<(u64, usize, JobId)>,
    lost_starts: usize,
    last_done: u64,
    /// Jobs whose users ask no more.
    given_up: BTreeSet<JobId>,
    /// When the last trouble is over of those that have begun, and of all.
    calm_from: u64,
    over_from: u64,
    /// Rules seen broken.
    pub broken: Vec<String>,
    pub starts: usize,
}

impl World {
    /// Three controllers; `lease_s` is what they are told of workers' leases.
    pub fn new(seed: u64, lease_s: f64) -> World {
        World::shaped(seed, Shape::small(), lease_s)
    }

    /// A world as large as `shape` says, whose controllers are told the truth.
    pub fn sized(seed: u64, shape: Shape) -> World {
        let lease_s = shape.lease_ms as f64 / 1000.0;
        World::shaped(seed, shape, lease_s)
    }

    fn shaped(seed: u64, shape: Shape, lease_s: f64) -> World {
        let state = StateService {
            buckets: shape.strict.then(|| (Bucket::new(shape.rps), Bucket::new(shape.write_rps))),
            page: shape.page,
            most_bytes: VALUE_KB * 1024,
            most_ops: TXN_OPS,
            ..StateService::default()
        };
        let mut world = World {
            now: 1000,
            order: 0,
            due: BinaryHeap::new(),
            what: BTreeMap::new(),
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            settings: (0..shape.nodes).map(|n| settings(&shape, n, lease_s)).collect(),
            nodes: vec![],
            state,
            workers: vec![],
            rentals: BTreeMap::new(),
            placed: BTreeMap::new(),
            checked: 0,
            summed: 0,
            trace: Trace::default(),
            costs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request: 0,
            state_out: vec![0; shape.nodes],
            silent: vec![(0, 0); shape.nodes],
            cuts: BTreeMap::new(),
            peers_cut: 0,
            slow_boots: (0, 1, 0),
            mistaken: BTreeSet::new(),
            tries: BTreeMap::new(),
            traps: vec![],
            sprung: BTreeMap::new(),
            refused: 0,
            final_no: BTreeMap::new(),
            copies: (0, 0, 0),
            late_writes: (0, 0),
            slow_state: (0, 0),
            held_reports: (0, 0, 0),
            slow_links: (0, 0),
            cancel_at_end: (0, 0),
            odd_answers: 0,
            late_starts: 0,
            waiting: BTreeMap::new(),
            judged: 0,
            left: VecDeque::new(),
            lost_starts: 0,
            last_done: 0,
            given_up: BTreeSet::new(),
            calm_from: 0,
            over_from: 0,
            broken: vec![],
            starts: 0,
            shape,
        };
        for node in 0..world.shape.nodes {
            world.nodes.push(Node {
                core: None,
                life: 0,
                started: 0,
                still_until: 0,
                mute_until: 0,
                alone_until: 0,
                hidden_until: 0,
                older: false,
            });
            world.at(world.now, Due::Restart(node));
        }
        for index in 0..world.shape.up {
            // More small ones than large ones, as fleets are.
            let size = [0, 1, 0, 2, 0, 0, 1, 0, 1, 0][index % 10] % world.shape.types.len();
            let kind = world.shape.types[size].name.clone();
            let up_at = world.now + world.random(world.shape.report_ms);
            world.add_worker(kind, index / 10 % world.shape.zones.len(), true, up_at);
        }
        world
    }

    fn random_node(&mut self) -> usize {
        self.random(self.shape.nodes as u64) as usize
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below.max(1)
    }

    fn at(&mut self, time: u64, what: Due) {
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
            self.happen(what);
        }
        self.now = until;
        self.check_cancelled();
    }

    fn happen(&mut self, what: Due) {
        self.judge();
        // What comes to a node that stands still waits, its own ticks first.
        let to = match &what {
            Due::Tick(node, _) | Due::ToNode(node, ..) | Due::Heartbeat(node, ..) => Some(*node),
            _ => None,
        };
        if let Some(until) = to.map(|node| self.nodes[node].still_until).filter(|until| self.now < *until) {
            let late = if matches!(what, Due::Tick(..)) { 0 } else { 1 };
            return self.at(until + late, what);
        }
        match what {
            Due::Tick(node, life) if self.nodes[node].life == life => {
                self.feed(node, Input::Tick);
                self.at(self.now + 50, Due::Tick(node, life));
            }
            Due::ToNode(node, life, input) if self.nodes[node].life == life => self.feed(node, input),
            Due::Tick(..) | Due::ToNode(..) => {}
            Due::State(node, life, id, call, deadline) => self.state_call(node, life, id, call, deadline),
            Due::Cloud(node, life, id, call) => {
                let answer = self.cloud_call(call);
                self.at(self.now + 50, Due::ToNode(node, life, Input::Cloud(id, answer)));
            }
            Due::ReportTimer(worker) => {
                if self.workers[worker].alive {
                    let (report_ms, spread) = (self.shape.report_ms, worker as u64 % 7);
                    self.at(self.now + report_ms * 3 / 4 + spread * (report_ms * 3 / 50), Due::ReportTimer(worker));
                    self.send_heartbeat(worker);
                }
            }
            Due::TryNext(worker, flight) => {
                let nodes = self.nodes.len();
                let w = &mut self.workers[worker];
                if w.alive && w.flight.is_some_and(|(number, _)| number == flight) {
                    w.flight = None;
                    w.node = (w.node + 1) % nodes;
                    self.send_heartbeat(worker);
                }
            }
            Due::Heartbeat(node, life, worker, heartbeat) => {
                if self.nodes[node].life != life || self.nodes[node].core.is_none() {
                    // Refused or reset: the next node, a second later.
                    self.at(self.now + 1000, Due::TryNext(worker, heartbeat.heartbeat_number.0));
                } else {
                    self.last_request += 1;
                    let id = RequestId(self.last_request);
                    self.requests.insert((node, id), Asked::Worker(worker, heartbeat.heartbeat_number.0));
                    self.feed(node, Input::Heartbeat(id, heartbeat));
                }
            }
            Due::Copy(worker, heartbeat) => {
                let node = self.random_node();
                self.last_request += 1;
                if self.nodes[node].core.is_some() {
                    let id = RequestId(self.last_request);
                    self.requests.insert((node, id), Asked::Worker(worker, 0));
                    self.feed(node, Input::Heartbeat(id, heartbeat));
                }
            }
            Due::Answer(worker, flight, response, agent_epoch) => {
                self.worker_answered(worker, flight, response, agent_epoch)
            }
            Due::Restart(node) => {
                let core = Core::new(self.settings[node].clone(), Tuning::default());
                let n = &mut self.nodes[node];
                n.core = Some(core);
                n.life += 1;
                n.started = self.now;
                let life = n.life;
                self.at(self.now + 1, Due::Tick(node, life));
            }
            Due::Fault(fault) => self.strike(fault),
            // Names are named once they are accepted.
            Due::Submit(spec, tries)
                if spec.dependencies.iter().any(|n| self.jobs.get(n).is_some_and(|j| !j.accepted)) =>
            {
                self.at(self.now + 200, Due::Submit(spec, tries));
            }
            Due::Submit(spec, tries) => {
                let id = spec.id.clone();
                let doomed = spec
                    .dependencies
                    .iter()
                    .any(|n| self.jobs.get(n).is_some_and(|j| j.doomed.is_some() || j.cancel_told.is_some()));
                let doomed = doomed.then_some(self.now);
                self.jobs.entry(id.clone()).or_insert_with(|| Job {
                    spec: spec.clone(),
                    came: self.now,
                    accepted: false,
                    cancel_asked: false,
                    cancel_told: None,
                    doomed,
                    answered: self.now,
                    done_told: false,
                    began: None,
                    last_start: 0,
                    finished: BTreeSet::new(),
                });
                self.ask(ClientRequest::Submit(Box::new(spec)), id, "submit", tries);
            }
            Due::Cancel(job, tries) => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.cancel_asked = true;
                }
                self.ask(ClientRequest::Cancel(job.clone()), job, "cancel", tries)
            }
            Due::Poll(job) => self.ask(ClientRequest::Query(job.clone()), job, "poll", 0),
            Due::ClientRequest(job) => self.ask(ClientRequest::Query(job.clone()), job, "ask", 0),
            Due::Odd(odd) => self.send_odd(odd),
            Due::OddRequests(until, number) => {
                self.odd_request(number);
                if self.now < until {
                    let pause = 100 + self.random(900);
                    self.at(self.now + pause, Due::OddRequests(until, number + 1));
                }
            }
            Due::Hang(worker, for_ms) => self.workers[worker].hung_until = self.now + for_ms,
        }
    }
}
