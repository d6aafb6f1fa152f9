//! A stand-in for workers, cloud, state service and users, written from the
//! protocol. It drives controllers' cores in virtual time with crashes, cuts
//! and delayed messages, and checks the rules by itself.

mod invariants;
mod store;
mod trace;
pub mod users;

use invariants::Waiting;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use store::Bucket;
pub use store::StateService;
use tillercleat::coordination::{ClientRequest, CloudAnswer, CloudCall, Core, Input, Output, Response};
use tillercleat::protocol::cloud::{Catalog, ListedMachine, ListedMachineState, MachineIds, MachinePage, MachineType};
use tillercleat::protocol::peer::PeerStatus;
use tillercleat::protocol::state::{Change, StoreRequest, StoreResponse};
use tillercleat::protocol::users::{JobSpec, JobState, Malformed};
use tillercleat::protocol::workers::{Command, ExitReason, Heartbeat, TaskName, TaskState, TaskStatus};
use tillercleat::settings::{Settings, Tuning};
use tillercleat::units::{
    AgentEpoch, Attempt, CallId, FencingToken, HeartbeatNumber, JobId, MachineId, MonotonicTime, NodeName, RequestId,
};
use trace::Trace;
use users::Odd;

/// How large a world is, and its limits.
#[derive(Debug, Clone)]
pub struct Shape {
    pub nodes: usize,
    pub zones: Vec<String>,
    /// Machines that the cloud has in all.
    pub machines: usize,
    /// Of these, up and reporting from the start.
    pub up: usize,
    pub types: Vec<MachineType>,
    pub report_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
    /// Requests and changes a second that the state service takes; the rest it
    /// refuses if `strict`.
    pub rps: f64,
    pub write_rps: f64,
    pub strict: bool,
    /// Items of one page of a list.
    pub page: usize,
    pub teams: serde_json::Value,
    /// What the controllers are told of limits to come.
    pub next: serde_json::Value,
}

fn machine_type(name: &str, cpus: f64, mem_gb: f64, zones: &[String]) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        mem_gb,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: cpus / 8.0,
        spot_price: Some(cpus / 20.0),
        provisioning_s: 5.0,
        zones: zones.to_vec(),
    }
}

impl Shape {
    /// Three controllers, two zones and a dozen machines.
    pub fn small() -> Shape {
        let zones = vec!["a".to_string(), "b".to_string()];
        Shape {
            nodes: 3,
            machines: 14,
            up: 0,
            types: vec![machine_type("m8", 8.0, 32.0, &zones)],
            zones,
            report_ms: 1000,
            lease_ms: 10_000,
            cancel_ms: 40_000,
            rps: 400.0,
            write_rps: 200.0,
            strict: false,
            page: 50,
            teams: serde_json::json!([{"name": "red", "cpus": 8.0, "cpus_max": 24.0}, {"name": "blue", "cpus_max": 0.0}]),
            next: serde_json::Value::Null,
        }
    }

    /// As many machines as asked for, of three sizes, half of them up at the start.
    pub fn fleet(nodes: usize, zones: usize, machines: usize) -> Shape {
        let zones: Vec<String> = (0..zones).map(|n| format!("z{n}")).collect();
        Shape {
            nodes,
            machines,
            up: machines / 2,
            types: vec![
                machine_type("m8", 8.0, 32.0, &zones),
                machine_type("m16", 16.0, 64.0, &zones),
                machine_type("m64", 64.0, 256.0, &zones),
            ],
            zones,
            report_ms: 3000,
            lease_ms: 17_500,
            cancel_ms: 47_500,
            rps: 0.8 * machines as f64,
            write_rps: 0.33 * machines as f64,
            strict: true,
            page: 1000,
            teams: serde_json::json!([{"name": "red", "cpus": 500.0, "cpus_max": 2500.0}, {"name": "blue", "cpus_max": 0.0}]),
            next: serde_json::Value::Null,
        }
    }
}

/// Processor time that the controllers' cores took for inputs of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub count: u64,
    pub nanos: u64,
    pub most: u64,
}

impl Cost {
    fn add(&mut self, nanos: u64) {
        self.count += 1;
        self.nanos += nanos;
        self.most = self.most.max(nanos);
    }
}

/// What costs are counted under.
fn kind_of(input: &Input) -> &'static str {
    match input {
        Input::Tick => "tick",
        Input::ClientRequest(..) => "question",
        Input::Heartbeat(..) => "report",
        Input::State(_, StoreResponse::WatchEvents(_)) => "watch",
        Input::State(_, StoreResponse::Page(_)) => "page",
        Input::State(..) => "state",
        Input::Cloud(..) => "cloud",
        Input::PeerStatus(_) => "note",
    }
}

/// The most that a value may take, in KiB.
const VALUE_KB: usize = 8;

/// The most changes of a transaction.
const TXN_OPS: usize = 12;

/// Within what time of its submission one of a class's largest jobs must begin.
const LARGEST_BEGIN: u64 = 240_000;

/// How long controllers wait for an answer of the state service.
const STATE_PATIENCE: u64 = 1500;

/// How long after all troubles a job may be without any answer about it.
const FORGOTTEN: u64 = 75_000;

/// What goes wrong, and when (milliseconds).
#[derive(Debug, Clone)]
pub enum Fault {
    Crash {
        node: usize,
        back_after: u64,
    },
    /// The state service answers 503, to all or to one node.
    StateOutage {
        node: Option<usize>,
        for_ms: u64,
    },
    /// State answers get lost, though the requests are carried out, perhaps late.
    StateSilence {
        node: usize,
        for_ms: u64,
        late: u64,
    },
    /// Workers of a zone, or beyond the last zone all, and one node cannot reach each other.
    Cut {
        node: usize,
        zone: usize,
        for_ms: u64,
        hold: bool,
    },
    MachineDies {
        pick: usize,
    },
    MachineHangs {
        pick: usize,
        for_ms: u64,
    },
    PeersCut {
        for_ms: u64,
    },
    /// A node stands still while its clocks run on; what comes meanwhile waits.
    StandsStill {
        node: usize,
        for_ms: u64,
    },
    /// New machines take so many times as long, and every so many never come up.
    SlowBoots {
        times: u64,
        never_each: usize,
        for_ms: u64,
    },
    /// A machine fails every task that it starts.
    MachineFaulty {
        pick: usize,
    },
    /// Reports of every so many machines arrive, but answers don't reach them.
    Deaf {
        each: usize,
        for_ms: u64,
    },
    /// These machines (every so many, of a zone or of all) reach no controller.
    MachinesMute {
        each: usize,
        zone: Option<usize>,
        for_ms: u64,
    },
    /// Users call off so many jobs that run and have long to go, within a fifth of a
    /// second; up to eight of their machines then hang for so long.
    CancelNow {
        count: usize,
        hang_ms: u64,
    },
    /// This share of jobs, in percent, is called off, asked about and sent again about
    /// when its last task ends.
    CancelAtEnd {
        share: u64,
        for_ms: u64,
    },
    /// Users repeat submissions, well and badly, cancel what is done, and send jobs that
    /// fit no machine or lack a field.
    OddRequests {
        for_ms: u64,
    },
    /// This share of reports, in percent, is held back, and arrives so much later at any node.
    HeldReports {
        share: u64,
        for_ms: u64,
        most: u64,
    },
    /// What is sent between any two takes up to so much longer.
    SlowLinks {
        for_ms: u64,
        most: u64,
    },
    /// A zone with its machines and controllers is cut off from all others, the state
    /// service, and users.
    ZoneCut {
        zone: usize,
        for_ms: u64,
        hold: bool,
    },
    /// All machines of a zone die, or every so many.
    ZoneLoses {
        zone: usize,
        each: usize,
    },
    /// Whoever leads ends.
    LeaderEnds {
        back_after: u64,
    },
    /// A node's answers to workers are lost.
    Mute {
        node: usize,
        for_ms: u64,
    },
    /// This share of reports, in percent, arrives once more, up to so much later, at any node.
    Copies {
        share: u64,
        for_ms: u64,
        late: u64,
    },
    /// This share of transactions, in percent, gets no answer and is carried out
    /// 2 to 12 s later, after newer ones.
    LateWrites {
        share: u64,
        for_ms: u64,
    },
    /// The state service carries out and answers each call up to so much later.
    SlowState {
        for_ms: u64,
        most: u64,
    },
    /// Answers to every so many machines are held up, each for up to so long.
    HeldAnswers {
        each: usize,
        for_ms: u64,
        most: u64,
    },
    /// A node loses the state service and the other nodes, not its workers.
    Alone {
        node: usize,
        for_ms: u64,
    },
    /// The state service's limits fall.
    Limits {
        value_kb: usize,
        txn_ops: usize,
        write_rps: f64,
    },
    /// The node's next life is of the version before, as far as the records
    /// show; or of this one again.
    Older {
        node: usize,
        older: bool,
    },
    /// The process ends the next time that a node does something, and is
    /// started again at once. What it just asked for is carried out so much
    /// later, in the time of its next life perhaps, or never.
    EndsAt {
        node: usize,
        moment: Moment,
        back_after: u64,
        late: Option<u64>,
    },
}

impl Fault {
    /// How long it is a trouble.
    fn lasts(&self) -> u64 {
        match self {
            Fault::Crash { back_after, .. } | Fault::LeaderEnds { back_after } | Fault::EndsAt { back_after, .. } => {
                *back_after
            }
            Fault::CancelNow { hang_ms, .. } => hang_ms + 400,
            Fault::StateOutage { for_ms, .. }
            | Fault::StateSilence { for_ms, .. }
            | Fault::Cut { for_ms, .. }
            | Fault::MachineHangs { for_ms, .. }
            | Fault::PeersCut { for_ms }
            | Fault::StandsStill { for_ms, .. }
            | Fault::SlowBoots { for_ms, .. }
            | Fault::Deaf { for_ms, .. }
            | Fault::Mute { for_ms, .. }
            | Fault::MachinesMute { for_ms, .. }
            | Fault::CancelAtEnd { for_ms, .. }
            | Fault::OddRequests { for_ms }
            | Fault::ZoneCut { for_ms, .. }
            | Fault::Alone { for_ms, .. } => *for_ms,
            Fault::Copies { for_ms, late, .. } => for_ms + late,
            Fault::HeldAnswers { for_ms, most, .. }
            | Fault::HeldReports { for_ms, most, .. }
            | Fault::SlowLinks { for_ms, most }
            | Fault::SlowState { for_ms, most } => for_ms + most,
            Fault::LateWrites { for_ms, .. } => for_ms + 12_000,
            _ => 0,
        }
    }
}

/// What a controller is in the middle of, told by what it asks of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moment {
    /// Reading all records.
    Reads,
    /// Its lease, and the key that shows it to the others.
    Leases,
    Announces,
    /// Ownership of a part for itself.
    Claims,
    /// A part on its way to another node.
    HandsOver,
    Leads,
    GivesAllowance,
    /// A rental's name, before the call, and the call.
    NamesRental,
    Rents,
    /// A key that lets it answer workers for an owner.
    Keeps,
    /// Tasks' records.
    Writes,
}

impl Moment {
    pub const ALL: [Moment; 11] = [
        Moment::Reads,
        Moment::Leases,
        Moment::Announces,
        Moment::Claims,
        Moment::HandsOver,
        Moment::Leads,
        Moment::GivesAllowance,
        Moment::NamesRental,
        Moment::Rents,
        Moment::Keeps,
        Moment::Writes,
    ];

    /// What a node does by sending this, if it is any of these.
    fn of(node: &str, output: &Output) -> Option<Moment> {
        match output {
            Output::State(_, StoreRequest::List { .. }) => Some(Moment::Reads),
            Output::State(_, StoreRequest::GrantLease { .. }) => Some(Moment::Leases),
            Output::State(_, StoreRequest::Transaction(transaction)) => transaction.changes.iter().find_map(|change| {
                let Change::Put { key, value, .. } = change else { return None };
                Some(match key.split('/').nth(1)? {
                    "n" => Moment::Announces,
                    "o" if value["node"] == node => Moment::Claims,
                    "o" => Moment::HandsOver,
                    "l" => Moment::Leads,
                    "a" => Moment::GivesAllowance,
                    "f" => Moment::NamesRental,
                    "w" => Moment::Keeps,
                    "s" => Moment::Writes,
                    _ => return None,
                })
            }),
            Output::Cloud(_, CloudCall::Rent(_)) => Some(Moment::Rents),
            _ => None,
        }
    }
}

/// How the jobs of a class or team were served, of those that came early enough.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub came: usize,
    pub started: usize,
    pub done: usize,
}

impl Served {
    /// The operators call a day failed on which less than half is served.
    pub fn enough(&self) -> bool {
        2 * self.started >= self.came && 2 * self.done >= self.came
    }
}

enum Due {
    Tick(usize, u32),
    ToNode(usize, u32, Input),
    State(usize, u32, CallId, StoreRequest, u64),
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

struct Node {
    core: Option<Core>,
    life: u32,
    started: u64,
    still_until: u64,
    mute_until: u64,
    alone_until: u64,
    /// Until when no user reaches it.
    hidden_until: u64,
    /// Announces itself as the version before did.
    older: bool,
}

struct OnMachine {
    attempt: Attempt,
    state: TaskState,
    why: Option<ExitReason>,
    ends: u64,
}

struct Worker {
    name: MachineId,
    kind: String,
    zone: usize,
    spot: bool,
    rented: u64,
    up_at: u64,
    alive: bool,
    hung_until: u64,
    deaf_until: u64,
    /// Until when it reaches no controller.
    mute_until: u64,
    /// Until when its answers are held up, and for how long each at the most.
    held: (u64, u64),
    faulty: bool,
    agent_epoch: u64,
    heartbeat_number: u64,
    token: u64,
    node: usize,
    lease_from: u64,
    tasks: BTreeMap<(JobId, u32), OnMachine>,
    /// The report in flight: its number and when it was sent.
    flight: Option<(u64, u64)>,
}

pub struct Job {
    pub spec: JobSpec,
    /// When its user first asked.
    came: u64,
    accepted: bool,
    cancel_asked: bool,
    cancel_told: Option<u64>,
    /// When a user was told that a job before it is cancelled.
    doomed: Option<u64>,
    /// When a question about it was answered last.
    answered: u64,
    done_told: bool,
    /// When its first task was started, and when the last one so far.
    began: Option<u64>,
    last_start: u64,
    finished: BTreeSet<u32>,
}

impl Job {
    /// When its user was told that it is cancelled, or that one before it is.
    fn cancelled(&self) -> Option<u64> {
        self.cancel_told.into_iter().chain(self.doomed).min()
    }
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

enum Asked {
    /// With whether the job had been accepted when its user asked.
    User(JobId, &'static str, u32, bool),
    Odd(Odd),
    Worker(usize, u64),
}

/// What the version before would have written: it knows of no levels, and drops
/// what it does not know of a job's record.
fn as_older(call: &mut StoreRequest) {
    let StoreRequest::Transaction(transaction) = call else { return };
    for change in &mut transaction.changes {
        if let Change::Put { value: serde_json::Value::Object(value), .. } = change {
            for field in ["level", "awaits", "ready"] {
                value.remove(field);
            }
        }
    }
}

pub fn settings(shape: &Shape, node: usize, lease_s: f64) -> Settings {
    let addr = |n: usize| format!("127.0.0.1:{}", 1000 + n);
    let domain = |n: usize| shape.zones[n % shape.zones.len()].clone();
    let known: Vec<serde_json::Value> = (0..shape.nodes)
        .filter(|n| *n != node)
        .map(|n| serde_json::json!({"label": format!("n{n}"), "domain": domain(n), "address": addr(n)}))
        .collect();
    serde_json::from_value(serde_json::json!({
        "label": format!("n{node}"), "domain": domain(node),
        "client_listen": addr(50 + node), "internal_addr": addr(node),
        "known": known, "external": {"cloud": addr(90), "state": addr(91)}, "unheard_of": 1,
        "cluster": {
            "zones": shape.zones,
            "teams": shape.teams,
            "objectives": [],
            "workers": {
                "report_s": shape.report_ms as f64 / 1000.0,
                "lease_s": lease_s,
                "cancel_s": shape.cancel_ms as f64 / 1000.0
            },
            "state": {"rps": shape.rps, "write_rps": shape.write_rps, "value_kb": VALUE_KB, "txn_ops": TXN_OPS,
                "next": shape.next},
            "cloud": {"rps": 5.0, "list_lag_s": 2.0},
            "quota": {"ram_mb": 56.0, "fd_limit": 800}
        }
    }))
    .expect("settings")
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

    fn add_worker(&mut self, kind: String, zone: usize, spot: bool, up_at: u64) -> MachineId {
        let index = self.workers.len();
        let name = MachineId::new(&format!("i-{index:06}"));
        let node = self.random_node();
        self.workers.push(Worker {
            name: name.clone(),
            kind,
            zone,
            spot,
            rented: self.now,
            up_at,
            alive: true,
            hung_until: 0,
            deaf_until: 0,
            mute_until: 0,
            held: (0, 0),
            faulty: false,
            agent_epoch: 1,
            heartbeat_number: 0,
            token: 0,
            node,
            lease_from: up_at,
            tasks: BTreeMap::new(),
            flight: None,
        });
        self.at(up_at, Due::ReportTimer(index));
        name
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

    pub fn fault(&mut self, at: u64, fault: Fault) {
        self.over_from = self.over_from.max(at + fault.lasts());
        self.at(at, Due::Fault(fault));
    }

    pub fn submit(&mut self, at: u64, spec: JobSpec) {
        self.at(at, Due::Submit(spec, 0));
    }

    pub fn cancel(&mut self, at: u64, job: &JobId) {
        self.at(at, Due::Cancel(job.clone(), 0));
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

    /// How much longer the way between two takes.
    fn link(&mut self) -> u64 {
        if self.now < self.slow_links.0 {
            self.random(self.slow_links.1)
        } else {
            0
        }
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

    fn ask(&mut self, ask: ClientRequest, job: JobId, what: &'static str, tries: u32) {
        let node = self.random_node();
        if self.nodes[node].core.is_none() || self.now < self.nodes[node].hidden_until {
            return self.ask_again(job, what, tries);
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let accepted = self.jobs.get(&job).is_some_and(|j| j.accepted);
        self.requests.insert((node, id), Asked::User(job, what, tries, accepted));
        let (life, at) = (self.nodes[node].life, self.now + self.link());
        self.at(at, Due::ToNode(node, life, Input::ClientRequest(id, ask)));
    }

    fn ask_again(&mut self, job: JobId, what: &'static str, tries: u32) {
        let at = self.now + 1000;
        if self.given_up.contains(&job) {
            return;
        }
        match what {
            "submit" if tries < 90 => {
                let spec = self.jobs[&job].spec.clone();
                self.at(at, Due::Submit(spec, tries + 1));
            }
            "cancel" if tries < 90 => self.at(at, Due::Cancel(job, tries + 1)),
            "poll" => self.at(self.now + 3000, Due::Poll(job)),
            _ => {}
        }
    }

    fn feed(&mut self, node: usize, input: Input) {
        let n = &mut self.nodes[node];
        let Some(core) = n.core.as_mut() else { return };
        // Steady clocks drift apart a little, and the time of day is off.
        let steady = (self.now - n.started) * (100_000 + [0, 40, 25][node % 3]) / 100_000 + 1;
        let kind = kind_of(&input);
        let began = std::time::Instant::now();
        let outputs = core.handle(MonotonicTime(steady), self.now + 500 * (node % 3) as u64, input);
        self.costs.entry(kind).or_default().add(began.elapsed().as_nanos() as u64);
        let life = n.life;
        self.trace.add(self.now, node, &outputs);
        for output in outputs {
            if self.springs(node, &output) {
                // What it was about to send after this is never sent.
                return;
            }
            match output {
                Output::Response(id, response) => self.replied(node, id, response),
                Output::State(id, mut call) => {
                    if self.nodes[node].older {
                        as_older(&mut call);
                    }
                    let wait = if let StoreRequest::Watch { wait_ms, .. } = call { wait_ms } else { 0 };
                    let mut delay = 3 + self.random(6);
                    if self.now < self.slow_state.0 {
                        delay += self.random(self.slow_state.1);
                    }
                    // The caller waits no longer; the call is carried out all the same.
                    if delay + 10 > STATE_PATIENCE {
                        let unknown = Input::State(id, StoreResponse::Unknown);
                        self.at(self.now + STATE_PATIENCE, Due::ToNode(node, life, unknown));
                        self.at(self.now + delay, Due::State(node, u32::MAX, id, call, 0));
                        continue;
                    }
                    self.at(self.now + delay, Due::State(node, life, id, call, self.now + wait));
                }
                Output::Cloud(id, call) => self.at(self.now + 80, Due::Cloud(node, life, id, call)),
                Output::RevisionHint(revision) => {
                    let status = PeerStatus { from: format!("n{node}"), revision: revision.0, ..PeerStatus::default() };
                    let status = PeerStatus { state_reachable: true, ..status };
                    self.tell(node, status);
                }
                Output::BroadcastStatus(status) => self.tell(node, status),
            }
        }
    }

    /// Ends a node that is to end when it sends this; true if it did.
    fn springs(&mut self, node: usize, output: &Output) -> bool {
        let Some(moment) = Moment::of(&format!("n{node}"), output).filter(|_| !self.traps.is_empty()) else {
            return false;
        };
        let Some(at) = self.traps.iter().position(|trap| trap.0 == node && trap.1 == moment) else { return false };
        let (_, _, back_after, late) = self.traps.swap_remove(at);
        *self.sprung.entry(moment).or_default() += 1;
        // Nobody is left to take the answer.
        let gone = u32::MAX;
        match (output, late) {
            (Output::State(id, call), Some(late)) => {
                self.at(self.now + late, Due::State(node, gone, *id, call.clone(), 0));
            }
            (Output::Cloud(id, call), Some(late)) => {
                self.at(self.now + late, Due::Cloud(node, gone, *id, call.clone()))
            }
            _ => {}
        }
        self.strike(Fault::Crash { node, back_after });
        true
    }

    fn tell(&mut self, node: usize, status: PeerStatus) {
        for peer in (0..self.nodes.len()).filter(|p| *p != node) {
            let alone = self.nodes[node].alone_until.max(self.nodes[peer].alone_until);
            if self.now >= self.peers_cut.max(alone) && self.nodes[peer].core.is_some() {
                let (to, link) = (self.nodes[peer].life, self.link());
                self.at(self.now + 2 + link, Due::ToNode(peer, to, Input::PeerStatus(status.clone())));
            }
        }
    }

    fn state_call(&mut self, node: usize, life: u32, id: CallId, call: StoreRequest, deadline: u64) {
        let answer_at = |world: &World| world.now + 3;
        if self.now < self.state_out[node] {
            // Open watches wait; everything else is refused.
            if matches!(call, StoreRequest::Watch { .. }) && self.now < deadline {
                return self.at(self.now + 100, Due::State(node, life, id, call, deadline));
            }
            return self.at(answer_at(self), Due::ToNode(node, life, Input::State(id, StoreResponse::Unavailable)));
        }
        let (until, late) = self.silent[node];
        if self.now < until {
            if late > 0 && matches!(call, StoreRequest::Transaction(_)) {
                // Carried out late; the answer never comes.
                self.at(self.now + late, Due::State(node, u32::MAX, id, call, 0));
            }
            return self.at(self.now + 1500, Due::ToNode(node, life, Input::State(id, StoreResponse::Unknown)));
        }
        let (until, share) = self.late_writes;
        if self.now < until
            && matches!(call, StoreRequest::Transaction(_))
            && life != u32::MAX
            && self.random(100) < share
        {
            let late = 2000 + self.random(10_000);
            self.at(self.now + late, Due::State(node, u32::MAX, id, call, 0));
            return self.at(self.now + 1500, Due::ToNode(node, life, Input::State(id, StoreResponse::Unknown)));
        }
        if let StoreRequest::Transaction(transaction) = &call {
            // Carried out late, it would undo what is newer.
            if !transaction.changes.is_empty() && transaction.conditions.is_empty() {
                self.broken.push(format!("unconditional: {:?} at {}", transaction.changes, self.now));
            }
        }
        if let StoreRequest::Watch { after, .. } = &call {
            self.state.expire(self.now);
            if self.state.revision <= after.0 && self.now < deadline {
                return self.at(self.now + 20, Due::State(node, life, id, call, deadline));
            }
        }
        let answer = self.state.run(self.now, call);
        self.at(answer_at(self), Due::ToNode(node, life, Input::State(id, answer)));
    }

    fn cloud_call(&mut self, call: CloudCall) -> CloudAnswer {
        match call {
            CloudCall::Catalog => CloudAnswer::Catalog(Catalog { types: self.shape.types.clone() }),
            CloudCall::List { .. } => {
                let machines = self.workers.iter().filter(|w| w.alive && self.now >= w.rented + 2000);
                let machines = machines
                    .map(|w| ListedMachine {
                        machine: w.name.clone(),
                        kind: w.kind.clone(),
                        zone: self.shape.zones[w.zone].clone(),
                        spot: w.spot,
                        state: if self.now >= w.up_at {
                            ListedMachineState::Running
                        } else {
                            ListedMachineState::Booting
                        },
                        age_s: (self.now - w.rented) as f64 / 1000.0,
                    })
                    .collect();
                CloudAnswer::Page(MachinePage { machines, truncated: false })
            }
            CloudCall::Rent(request) => {
                if let Some(names) = self.rentals.get(&request.request_id) {
                    return CloudAnswer::Rented(MachineIds { machines: names.clone() });
                }
                let alive = self.workers.iter().filter(|w| w.alive).count();
                let count = (request.count as usize).min(self.shape.machines.saturating_sub(alive));
                if count == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let zone = self.shape.zones.iter().position(|z| *z == request.zone).expect("a zone of the catalog");
                let mut names = vec![];
                for _ in 0..count {
                    let index = self.workers.len();
                    let boot = 2000 + self.random(6000);
                    let up_at = match self.slow_boots {
                        (until, ..) if self.now >= until => self.now + boot,
                        (_, _, never_each) if never_each > 0 && index % never_each == 0 => u64::MAX / 2,
                        (_, times, _) => self.now + boot * times,
                    };
                    names.push(self.add_worker(request.kind.clone(), zone, request.spot, up_at));
                }
                self.rentals.insert(request.request_id, names.clone());
                CloudAnswer::Rented(MachineIds { machines: names })
            }
            CloudCall::Return(names) => {
                for worker in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    worker.alive = false;
                    worker.tasks.clear();
                }
                CloudAnswer::Returned
            }
        }
    }

    /// Lets a worker's time pass: its lease, and the tasks that end.
    fn live(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if now > worker.lease_from + self.shape.lease_ms {
            worker.agent_epoch += 1;
            worker.lease_from = now;
            worker.tasks.clear();
        }
        if now < worker.hung_until {
            // A hanging machine carries out nothing, but its lease runs out.
            return;
        }
        for (key, task) in &mut worker.tasks {
            if task.state != TaskState::Exited && task.ends <= now {
                task.state = TaskState::Exited;
                self.left.push_back((now, index, key.0.clone()));
                if worker.faulty || self.mistaken.contains(&key.0) {
                    task.why = Some(ExitReason::Error);
                    continue;
                }
                task.why = Some(ExitReason::Done);
                if let Some(job) = self.jobs.get_mut(&key.0) {
                    job.finished.insert(key.1);
                    self.last_done = now;
                }
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        if self.now < self.workers[index].hung_until {
            return;
        }
        self.live(index);
        // All of them at every report would cost the square of a large fleet.
        if self.checked < self.now / 1000 || self.workers.len() < 100 {
            self.checked = self.now / 1000;
            self.check_cancelled();
        }
        let now = self.now;
        let worker = &mut self.workers[index];
        // One at a time.
        if worker.flight.is_some() {
            return;
        }
        worker.heartbeat_number += 1;
        worker.flight = Some((worker.heartbeat_number, now));
        let tasks = worker.tasks.iter().map(|(key, task)| TaskStatus {
            task: TaskName { job: key.0.clone(), index: key.1 },
            attempt: task.attempt,
            state: task.state,
            exit_reason: task.why,
            checkpoint_saved: None,
        });
        let heartbeat = Heartbeat {
            machine: worker.name.clone(),
            addr: "127.0.0.1:1".into(),
            kind: worker.kind.clone(),
            zone: self.shape.zones[worker.zone].clone(),
            spot: worker.spot,
            agent_epoch: AgentEpoch(worker.agent_epoch),
            heartbeat_number: HeartbeatNumber(worker.heartbeat_number),
            token: FencingToken(worker.token),
            termination_notice_s: None,
            tasks: tasks.collect(),
        };
        let (node, zone, flight) = (worker.node, worker.zone, worker.heartbeat_number);
        if now < worker.mute_until {
            // No connection opens.
            return self.at(now + 5000, Due::TryNext(index, flight));
        }
        if now < self.held_reports.0 && self.random(100) < self.held_reports.1 {
            let late = 1000 + self.random(self.held_reports.2);
            self.at(now + late, Due::Copy(index, heartbeat));
            return self.at(now + 5000, Due::TryNext(index, flight));
        }
        if now < self.copies.0 && self.random(100) < self.copies.1 {
            let late = 1 + self.random(self.copies.2);
            self.at(now + late, Due::Copy(index, heartbeat.clone()));
        }
        self.at(now + 5000, Due::TryNext(index, flight));
        let (life, link) = (self.nodes[node].life, self.link());
        match self.cuts.get(&(node, zone)) {
            Some(&(until, true)) if now < until => self.at(until + 1, Due::Heartbeat(node, life, index, heartbeat)),
            Some(&(until, false)) if now < until => {}
            _ => self.at(now + 2 + link, Due::Heartbeat(node, life, index, heartbeat)),
        }
    }

    fn replied(&mut self, node: usize, id: RequestId, response: Response) {
        match self.requests.remove(&(node, id)) {
            Some(Asked::User(job, what, tries, accepted)) => self.user_answered(job, what, tries, accepted, response),
            Some(Asked::Odd(odd)) => self.odd_answered(odd, response),
            Some(Asked::Worker(worker, flight)) => {
                if self.now < self.workers[worker].deaf_until.max(self.nodes[node].mute_until) {
                    if let Response::Commands { commands, .. } = &response {
                        let starts = commands.iter().filter(|c| matches!(c, Command::Start { .. }));
                        self.lost_starts += starts.count();
                    }
                    return;
                }
                let zone = self.workers[worker].zone;
                let agent_epoch = self.workers[worker].agent_epoch;
                if let Some(most) = Some(self.workers[worker].held).filter(|held| self.now < held.0).map(|held| held.1)
                {
                    let late = 2 + self.random(most);
                    return self.at(self.now + late, Due::Answer(worker, flight, response, agent_epoch));
                }
                let at = match self.cuts.get(&(node, zone)) {
                    Some(&(until, true)) if self.now < until => until + 1,
                    Some(&(until, false)) if self.now < until => return,
                    _ => self.now + 2 + self.link(),
                };
                self.at(at, Due::Answer(worker, flight, response, agent_epoch));
            }
            None => {}
        }
    }

    fn worker_answered(&mut self, index: usize, flight: u64, response: Response, agent_epoch: u64) {
        if self.now < self.workers[index].hung_until {
            // Processed when it goes on, if it still is in time then.
            let at = self.workers[index].hung_until;
            return self.at(at, Due::Answer(index, flight, response, agent_epoch));
        }
        self.live(index);
        let nodes = self.nodes.len();
        let worker = &mut self.workers[index];
        let Some((current, sent)) = worker.flight else { return };
        // Late answers, and those to an earlier session, are dropped.
        if !worker.alive || current != flight || self.now > sent + 4000 || agent_epoch != worker.agent_epoch {
            return;
        }
        worker.flight = None;
        match response {
            Response::Commands { token, commands } => {
                if token.0 < worker.token {
                    return;
                }
                worker.token = token.0;
                worker.lease_from = sent;
                for command in commands {
                    self.carry_out(index, command);
                }
            }
            Response::Redirect(Some(node)) => {
                worker.node = (0..nodes).find(|n| NodeName::new(&format!("n{n}")) == node).unwrap_or(0);
            }
            _ => worker.node = (worker.node + 1) % nodes,
        }
    }

    fn carry_out(&mut self, index: usize, command: Command) {
        let now = self.now;
        match command {
            Command::Start { task, attempt } => {
                let key = (task.job.clone(), task.index);
                if self.workers[index].tasks.get(&key).is_some_and(|t| t.attempt == attempt) {
                    return;
                }
                self.check_start(index, &key);
                let run = self.jobs.get(&task.job).map_or(1000, |j| (j.spec.estimated_run_s * 1000.0) as u64);
                let ends = now + run * (80 + self.random(60)) / 100;
                let fails = self.workers[index].faulty || self.mistaken.contains(&task.job);
                let ends = if fails { now + 1000 } else { ends };
                let ends = if run == 0 { u64::MAX } else { ends };
                let task = OnMachine { attempt, state: TaskState::Running, why: None, ends };
                let job = key.0.clone();
                self.workers[index].tasks.insert(key, task);
                if now < self.cancel_at_end.0 && self.random(100) < self.cancel_at_end.1 {
                    self.about_to_end(&job);
                }
            }
            Command::Stop { task, attempt, .. } => {
                if let Some(on) = self.workers[index].tasks.get_mut(&(task.job, task.index)) {
                    if on.attempt == attempt && on.state != TaskState::Exited {
                        on.state = TaskState::Exited;
                        on.why = Some(ExitReason::Stopped);
                    }
                }
            }
            Command::Forget { task, attempt } => {
                let key = (task.job, task.index);
                if self.workers[index].tasks.get(&key).is_some_and(|t| t.attempt == attempt) {
                    self.workers[index].tasks.remove(&key);
                }
            }
        }
    }

    /// Checks what must hold when a task starts.
    fn check_start(&mut self, index: usize, key: &(JobId, u32)) {
        self.starts += 1;
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.began.get_or_insert(self.now);
            job.last_start = self.now;
        }
        *self.tries.entry(key.0.clone()).or_default() += 1;
        // Workers act on their leases also while nobody looks.
        let small = self.workers.len() < 100;
        let before = self.placed.entry(key.clone()).or_default().clone();
        let job_on: BTreeSet<usize> = match self.jobs.get(&key.0) {
            Some(job) if job.spec.one_zone || job.spec.apart => {
                let range = (key.0.clone(), 0)..=(key.0.clone(), u32::MAX);
                self.placed.range(range).flat_map(|(_, on)| on.iter().copied()).collect()
            }
            _ => BTreeSet::new(),
        };
        // The team's use is summed over all workers: in a large world once a second.
        let sum_up = small || self.summed < self.now / 1000;
        let all = if sum_up { 0..self.workers.len() } else { 0..0 };
        if sum_up {
            self.summed = self.now / 1000;
        }
        for other in all.chain(before.iter().copied()).chain(job_on.iter().copied()).collect::<Vec<_>>() {
            self.live(other);
        }
        let running = |w: &Worker| w.tasks.get(key).is_some_and(|t| t.state != TaskState::Exited);
        let twice = before.iter().any(|at| *at != index && self.workers[*at].alive && running(&self.workers[*at]));
        if twice {
            self.broken.push(format!("ran_twice: {}/{} at {}", key.0, key.1, self.now));
        }
        if !before.contains(&index) {
            self.placed.entry(key.clone()).or_default().push(index);
        }
        let Some(job) = self.jobs.get(&key.0) else {
            return self.broken.push(format!("invented start: {}", key.0));
        };
        let undone = |name: &JobId| self.jobs.get(name).is_none_or(|j| j.finished.len() < j.spec.task_count as usize);
        if let Some(name) = job.spec.dependencies.iter().find(|name| undone(name)) {
            self.broken.push(format!("too_early: {}/{} at {}, {name} is not done", key.0, key.1, self.now));
        }
        let spec = &job.spec;
        let worker = &self.workers[index];
        let zone_ok = spec.zone.as_deref().is_none_or(|z| z == self.shape.zones[worker.zone]);
        if !zone_ok || (worker.spot && !spec.spot_allowed) {
            self.broken.push(format!("wrong_place: {}/{} at {}", key.0, key.1, self.now));
        }
        let zones = |of: &JobId| -> Vec<usize> {
            let live = job_on.iter().map(|at| &self.workers[*at]).filter(|w| w.alive);
            live.flat_map(|w| {
                w.tasks.iter().filter(|(k, t)| k.0 == *of && t.state != TaskState::Exited).map(|_| w.zone)
            })
            .collect()
        };
        let others = zones(&key.0);
        let together = others.iter().filter(|z| **z == worker.zone).count();
        let half = spec.task_count.div_ceil(2) as usize;
        if spec.one_zone && together < others.len() || spec.apart && together >= half {
            self.broken.push(format!("wrong_place by zone: {}/{} at {}", key.0, key.1, self.now));
        }
        let limit = self.settings[0].cluster.teams.iter().find(|t| t.name == spec.team).map_or(0.0, |t| t.cpus_max);
        if limit > 0.0 && sum_up {
            let cpus: f64 = self
                .workers
                .iter()
                .filter(|w| w.alive)
                .flat_map(|w| w.tasks.iter())
                .filter(|(_, t)| t.state != TaskState::Exited)
                .filter_map(|(k, _)| self.jobs.get(&k.0).filter(|j| j.spec.team == spec.team).map(|j| j.spec.cpus))
                .sum();
            if cpus + spec.cpus > limit + 1e-6 {
                self.broken.push(format!("quota: {} of {limit} at {}", cpus + spec.cpus, self.now));
            }
        }
        self.late_starts += usize::from(job.cancelled().is_some());
        if job.cancelled().is_some_and(|at| self.now > at + self.shape.cancel_ms) {
            self.broken.push(format!("ran_cancelled: {}/{} starts at {}", key.0, key.1, self.now));
        }
    }

    fn check_cancelled(&mut self) {
        for at in 0..self.workers.len() {
            if self.workers[at].alive {
                self.live(at);
            }
        }
        for worker in self.workers.iter().filter(|w| w.alive) {
            for (key, task) in &worker.tasks {
                let told = self.jobs.get(&key.0).and_then(Job::cancelled);
                if task.state != TaskState::Exited && told.is_some_and(|at| self.now > at + self.shape.cancel_ms) {
                    self.broken.push(format!("ran_cancelled: {}/{} at {}", key.0, key.1, self.now));
                }
            }
        }
    }

    fn user_answered(&mut self, id: JobId, what: &'static str, tries: u32, accepted: bool, response: Response) {
        let now = self.now;
        let (cancel_ms, calm_from) = (self.shape.cancel_ms, self.calm_from);
        let Some(job) = self.jobs.get_mut(&id) else {
            if matches!(response, Response::Job { .. }) {
                self.broken.push(format!("invented: {id}"));
            }
            return;
        };
        match response {
            Response::Job { status, state, .. } => {
                if accepted && status.http_status() == 201 {
                    self.broken.push(format!("accepted twice: {id} at {now}"));
                }
                if state == JobState::Done && job.finished.len() < job.spec.task_count as usize {
                    self.broken.push(format!("not_done: {id} at {now}"));
                }
                let back = (job.done_told && state != JobState::Done)
                    || (job.cancel_told.is_some() && state != JobState::Cancelled);
                if back {
                    self.broken.push(format!("went_back: {id} is {state:?} at {now}"));
                }
                job.done_told |= state == JobState::Done;
                job.answered = now;
                let open = matches!(state, JobState::Queued | JobState::Running);
                if open && job.doomed.is_some_and(|at| now > at + cancel_ms) {
                    self.broken.push(format!("orphaned: {id} is {state:?} at {now}"));
                }
                let told = state == JobState::Cancelled && job.cancel_told.is_none();
                if told {
                    job.cancel_told = Some(now);
                    if !job.cancel_asked && job.doomed.is_none() && job.spec.dependencies.is_empty() {
                        self.broken.push(format!("went_back: nobody cancelled {id} at {now}"));
                    }
                }
                let first = !job.accepted;
                job.accepted = true;
                if told {
                    self.doom_after(&id);
                }
                if first || what == "poll" {
                    self.at(now + 3000, Due::Poll(id));
                }
            }
            Response::Error(refusal) => {
                let status = refusal.http_status();
                if accepted && matches!(status, 400 | 404 | 422) {
                    self.broken.push(format!("forgotten: {id} gets {status} at {now}"));
                }
                if accepted && now > calm_from.max(job.answered) + FORGOTTEN {
                    self.broken.push(format!("forgotten: {id} at {now}, last heard of at {}", job.answered));
                }
                if what == "submit" && matches!(status, 400 | 422) {
                    self.final_no.insert(id, status);
                    return;
                }
                self.refused += usize::from(status == 503);
                self.ask_again(id, what, tries);
            }
            _ => {}
        }
    }

    /// All that needs a cancelled job is cancelled with it.
    fn doom_after(&mut self, id: &JobId) {
        let mut next = vec![id.clone()];
        while let Some(id) = next.pop() {
            for (follower, job) in &mut self.jobs {
                if job.doomed.is_none() && job.spec.dependencies.contains(&id) {
                    job.doomed = Some(self.now);
                    next.push(follower.clone());
                }
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        let now = self.now;
        self.calm_from = self.calm_from.max(now + fault.lasts());
        match fault {
            Fault::Crash { node, back_after } => {
                if self.nodes[node].core.take().is_some() {
                    self.nodes[node].life += 1;
                    // Users whose answer died with the node ask again.
                    let (lost, kept) = std::mem::take(&mut self.requests).into_iter().partition(|(at, _)| at.0 == node);
                    self.requests = kept;
                    for asked in BTreeMap::into_values(lost) {
                        match asked {
                            Asked::User(job, what, tries, _) => self.ask_again(job, what, tries),
                            Asked::Odd(odd) => self.odd_again(odd),
                            Asked::Worker(..) => {}
                        }
                    }
                    self.at(now + back_after, Due::Restart(node));
                }
            }
            Fault::StateOutage { node: None, for_ms } => {
                self.state_out.iter_mut().for_each(|until| *until = (*until).max(now + for_ms));
                // Every lease has its full time again when the outage ends.
                self.state.expire(now);
                for lease in self.state.leases.values_mut() {
                    lease.1 = lease.1.max(now + for_ms + lease.0);
                }
            }
            Fault::StateOutage { node: Some(node), for_ms } => {
                self.state_out[node] = self.state_out[node].max(now + for_ms);
            }
            Fault::StateSilence { node, for_ms, late } => self.silent[node] = (now + for_ms, late),
            Fault::Cut { node, zone, for_ms, hold } => {
                let zones = self.shape.zones.len();
                for zone in if zone < zones { zone..zone + 1 } else { 0..zones } {
                    self.cuts.insert((node, zone), (now + for_ms, hold));
                }
            }
            Fault::MachineDies { pick } => {
                let alive: Vec<usize> = (0..self.workers.len()).filter(|w| self.workers[*w].alive).collect();
                if !alive.is_empty() {
                    let worker = &mut self.workers[alive[pick % alive.len()]];
                    worker.alive = false;
                    worker.tasks.clear();
                }
            }
            Fault::MachineHangs { pick, for_ms } => {
                let alive: Vec<usize> = (0..self.workers.len()).filter(|w| self.workers[*w].alive).collect();
                if !alive.is_empty() {
                    self.workers[alive[pick % alive.len()]].hung_until = now + for_ms;
                }
            }
            Fault::Deaf { each, for_ms } => {
                for worker in self.workers.iter_mut().filter(|w| w.alive).step_by(each.max(1)) {
                    worker.deaf_until = now + for_ms;
                }
            }
            Fault::MachinesMute { each, zone, for_ms } => {
                let those = self.workers.iter_mut().filter(|w| w.alive && zone.is_none_or(|z| z == w.zone));
                those.step_by(each.max(1)).for_each(|w| w.mute_until = now + for_ms);
            }
            Fault::CancelNow { count, hang_ms } => self.call_off(count, hang_ms),
            Fault::CancelAtEnd { share, for_ms } => self.cancel_at_end = (now + for_ms, share),
            Fault::OddRequests { for_ms } => self.at(now, Due::OddRequests(now + for_ms, now)),
            Fault::HeldReports { share, for_ms, most } => self.held_reports = (now + for_ms, share, most),
            Fault::SlowLinks { for_ms, most } => self.slow_links = (now + for_ms, most),
            Fault::ZoneCut { zone, for_ms, hold } => {
                let zones = self.shape.zones.len();
                for node in 0..self.nodes.len() {
                    let inside = node % zones == zone;
                    for far in (0..zones).filter(|z| (*z == zone) != inside) {
                        self.cuts.insert((node, far), (now + for_ms, hold));
                    }
                    if inside {
                        self.silent[node] = (now + for_ms, if hold { for_ms } else { 0 });
                        (self.nodes[node].alone_until, self.nodes[node].hidden_until) = (now + for_ms, now + for_ms);
                    }
                }
            }
            Fault::ZoneLoses { zone, each } => {
                let there = self.workers.iter_mut().filter(|w| w.alive && w.zone == zone);
                there.step_by(each.max(1)).for_each(|worker| {
                    worker.alive = false;
                    worker.tasks.clear();
                });
            }
            Fault::LeaderEnds { back_after } => {
                let leads = |node: &usize| {
                    let key = self.state.rows.get("t/l");
                    key.is_some_and(|row| row.0["node"] == format!("n{node}"))
                };
                if let Some(node) = (0..self.nodes.len()).find(leads) {
                    self.strike(Fault::Crash { node, back_after });
                }
            }
            Fault::Mute { node, for_ms } => self.nodes[node].mute_until = now + for_ms,
            Fault::Copies { share, for_ms, late } => self.copies = (now + for_ms, share, late),
            Fault::SlowState { for_ms, most } => self.slow_state = (now + for_ms, most),
            Fault::LateWrites { share, for_ms } => self.late_writes = (now + for_ms, share),
            Fault::HeldAnswers { each, for_ms, most } => {
                for worker in self.workers.iter_mut().filter(|w| w.alive).step_by(each.max(1)) {
                    worker.held = (now + for_ms, most);
                }
            }
            Fault::Alone { node, for_ms } => {
                self.state_out[node] = self.state_out[node].max(now + for_ms);
                self.nodes[node].alone_until = now + for_ms;
            }
            Fault::Limits { value_kb, txn_ops, write_rps } => {
                (self.state.most_bytes, self.state.most_ops) = (value_kb * 1024, txn_ops);
                self.state.buckets = Some((Bucket::new(self.shape.rps), Bucket::new(write_rps)));
            }
            Fault::Older { node, older } => self.nodes[node].older = older,
            Fault::PeersCut { for_ms } => self.peers_cut = now + for_ms,
            Fault::StandsStill { node, for_ms } => self.nodes[node].still_until = now + for_ms,
            Fault::SlowBoots { times, never_each, for_ms } => self.slow_boots = (now + for_ms, times, never_each),
            Fault::EndsAt { node, moment, back_after, late } => self.traps.push((node, moment, back_after, late)),
            Fault::MachineFaulty { pick } => {
                let alive: Vec<usize> = (0..self.workers.len()).filter(|w| self.workers[*w].alive).collect();
                if !alive.is_empty() {
                    self.workers[alive[pick % alive.len()]].faulty = true;
                }
            }
        }
    }

    /// Jobs that were accepted and neither done nor cancelled in their users' eyes.
    pub fn open_jobs(&self) -> Vec<&JobId> {
        let open = |j: &Job| j.accepted && !j.done_told && j.cancel_told.is_none();
        self.jobs.iter().filter(|(_, j)| open(j)).map(|(id, _)| id).collect()
    }

    /// Jobs that follow a cancelled one and do not say so.
    pub fn unsettled(&self) -> Vec<String> {
        let waits = |j: &Job| j.accepted && j.doomed.is_some() && j.cancel_told.is_none();
        self.jobs.iter().filter(|(_, j)| waits(j)).map(|(id, _)| format!("waits on: {id}")).collect()
    }

    /// True if all tasks of a job have completed.
    pub fn done(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|j| j.finished.len() == j.spec.task_count as usize)
    }

    /// What controllers are told of limits to come, from their next lives on.
    pub fn tell_next(&mut self, next: serde_json::Value) {
        for settings in &mut self.settings {
            settings.cluster.state.next = serde_json::from_value(next.clone()).expect("limits");
        }
    }

    /// Machines that hear nothing and are paid for.
    pub fn deaf(&self) -> usize {
        self.workers.iter().filter(|w| w.alive && self.now < w.deaf_until).count()
    }

    /// Starts sent to machines that hear nothing.
    pub fn lost_starts(&self) -> usize {
        self.lost_starts
    }

    /// The longest that an accepted job waited for its first start.
    pub fn longest_wait(&self) -> u64 {
        let begun = self.jobs.values().filter(|j| j.accepted);
        begun.map(|j| j.began.unwrap_or(self.now) - j.came).max().unwrap_or(0)
    }

    /// When the last task was done.
    pub fn last_done(&self) -> u64 {
        self.last_done
    }

    /// A node is of the version before from the start.
    pub fn older(&mut self, node: usize) {
        self.nodes[node].older = true;
    }

    /// The user of a job no longer asks, but keeps in mind what it sent.
    pub fn forget_user(&mut self, at: u64, id: &JobId) {
        self.run(at);
        self.given_up.insert(id.clone());
    }

    /// Users ask about a job, this once.
    pub fn poll(&mut self, at: u64, job: &JobId) {
        self.at(at, Due::Poll(job.clone()));
    }

    /// The largest jobs of each class: its tenth with most cores times tasks,
    /// and that with most tasks.
    fn largest(&self) -> BTreeSet<&JobId> {
        let mut classes: BTreeMap<&str, Vec<(&JobId, &JobSpec)>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            classes.entry(&job.spec.class).or_default().push((id, &job.spec));
        }
        let mut largest = BTreeSet::new();
        for mut jobs in classes.into_values() {
            let tenth = jobs.len().div_ceil(10);
            jobs.sort_by_key(|(_, spec)| Reverse(spec.task_count));
            largest.extend(jobs.iter().take(tenth).map(|(id, _)| *id));
            jobs.sort_by(|(_, a), (_, b)| {
                (b.cpus * f64::from(b.task_count)).total_cmp(&(a.cpus * f64::from(a.task_count)))
            });
            largest.extend(jobs.iter().take(tenth).map(|(id, _)| *id));
        }
        largest
    }

    /// How jobs that came by `by` were served, by class and by team. Those that
    /// were cancelled or cannot succeed count nowhere.
    pub fn served(&self, by: u64) -> BTreeMap<String, Served> {
        let mut served: BTreeMap<String, Served> = BTreeMap::new();
        let largest = self.largest();
        for (id, job) in &self.jobs {
            if job.came > by || job.cancelled().is_some() || self.mistaken.contains(id) {
                continue;
            }
            let among = largest.contains(id).then(|| format!("largest of {}", job.spec.class));
            for name in
                [format!("class {}", job.spec.class), format!("team {}", job.spec.team)].into_iter().chain(among)
            {
                // The largest must begin in time, unless they wait for others.
                let largest = name.starts_with("largest") && job.spec.dependencies.is_empty();
                let within = if largest { LARGEST_BEGIN } else { u64::MAX };
                let sum = served.entry(name).or_default();
                sum.came += 1;
                sum.started += usize::from(job.began.is_some_and(|at| at - job.came <= within));
                sum.done += usize::from(job.finished.len() == job.spec.task_count as usize);
            }
        }
        served
    }

    /// Classes and teams of which less than half was served, of what came by `by`.
    pub fn starved(&self, by: u64) -> Vec<String> {
        let few = |(name, served): (String, Served)| (!served.enough()).then(|| format!("{name}: {served:?}"));
        self.served(by).into_iter().filter_map(few).collect()
    }

    /// All that must not be at the end of a day on which all work can be done:
    /// broken rules, jobs not done, classes and teams served too little.
    pub fn problems(&self) -> Vec<String> {
        let left = self.open_jobs().into_iter().map(|id| format!("left: {id}"));
        self.broken.iter().cloned().chain(left).chain(self.starved(u64::MAX)).collect()
    }

    /// Jobs whose users were told that they are accepted.
    pub fn accepted(&self) -> usize {
        self.jobs.values().filter(|j| j.accepted).count()
    }

    /// Machines that are paid for.
    pub fn alive(&self) -> usize {
        self.workers.iter().filter(|w| w.alive).count()
    }

    /// Machines rented so far.
    pub fn rented(&self) -> usize {
        self.workers.len()
    }

    /// Healthy machines that are gone again, and faulty ones that are not.
    pub fn misjudged(&self) -> (usize, usize) {
        let gone = self.workers.iter().filter(|w| !w.faulty && !w.alive).count();
        (gone, self.workers.iter().filter(|w| w.faulty && w.alive).count())
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> usize {
        self.state.rows.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Leases of living workers that have run out.
    pub fn sessions_ended(&self) -> u64 {
        self.workers.iter().filter(|w| w.alive).map(|w| w.agent_epoch - 1).sum()
    }
}
