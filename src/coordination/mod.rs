//! The core: a state machine without I/O, clocks or randomness. Inputs and
//! the time go in; what to send, write and answer comes out.

mod aging;
mod aims;
mod allowances;
mod answering;
mod boots;
mod buying;
mod calls;
mod catalog;
mod chains;
mod demand;
mod failures;
mod fleet;
mod following;
mod hearing;
mod keeping;
mod leading;
mod learned;
mod membership;
mod mine;
mod openings;
mod part;
mod past;
mod preempting;
mod queries;
mod queue;
mod refusing;
mod replicas;
mod returning;
mod rounds;
pub mod scoring;
mod seats;
mod starting;
mod stranded;
mod upgrade;
mod users;
mod waiting;
mod withdrawing;
mod workers;
mod writing;

use crate::bookkeeping::budget::Budget;
use crate::bookkeeping::names::Label;
use crate::bookkeeping::records;
use crate::bookkeeping::view::View;
use crate::protocol::cloud::{Catalog, MachineNames, MachinePage, MachineType, RentRequest};
use crate::protocol::peer::Note;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall, Txn};
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Command, Report};
use crate::settings::{Settings, Tuning};
use crate::units::{CallId, JobRef, LeaseId, MachineId, NodeName, PartId, RequestId, Revision, Span, Time, Token};
use calls::{change_key, Call, Pending};
use mine::Mine;
use queries::Queries;
pub use replicas::{Replica, ReplicaState};
use starting::Milestone;
use std::collections::{BTreeMap, BTreeSet};

/// How often controllers tell one another how they are.
const NOTE_EVERY: Span = Span(1000);

/// A pause between inputs that cannot be chance: ticks come far more often.
const STANDSTILL: Span = Span(1000);

/// What a user asks.
#[derive(Debug, Clone)]
pub enum Ask {
    Submit(Box<JobSpec>),
    /// A submission that is not a valid one, of a job that may be known all the same.
    Malformed {
        id: JobRef,
        reason: String,
    },
    Query(JobRef),
    Cancel(JobRef),
    Up,
}

#[derive(Debug, Clone)]
pub enum CloudCall {
    Catalog,
    List { after: Option<MachineId> },
    Rent(RentRequest),
    Return(Vec<MachineId>),
}

#[derive(Debug, Clone)]
pub enum CloudAnswer {
    Catalog(Catalog),
    Page(MachinePage),
    Rented(MachineNames),
    NoCapacity,
    Returned,
    /// Refused, or no answer: it may be carried out late.
    Failed,
}

#[derive(Debug)]
pub enum Input {
    Tick,
    User(RequestId, Ask),
    Report(RequestId, Report),
    State(CallId, StateAnswer),
    Cloud(CallId, CloudAnswer),
    Note(Note),
}

/// The answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Job {
        status: u16,
        id: JobRef,
        state: crate::protocol::users::JobState,
        counts: Option<(u32, u32)>,
    },
    Problem {
        status: u16,
        reason: String,
        retry_after_s: Option<u32>,
    },
    Up,
    /// Commands for a worker.
    Commands {
        token: Token,
        commands: Vec<Command>,
    },
    /// The worker should report to this node, or look on.
    Elsewhere(Option<NodeName>),
}

impl Reply {
    fn problem(status: u16, reason: &str) -> Reply {
        Reply::Problem { status, reason: reason.into(), retry_after_s: None }
    }
    fn later(reason: &str) -> Reply {
        Reply::Problem { status: 503, reason: reason.into(), retry_after_s: Some(1) }
    }
}

#[derive(Debug)]
pub enum Output {
    Reply(RequestId, Reply),
    State(CallId, StateCall),
    Cloud(CallId, CloudCall),
    /// To all other controllers.
    Tell(Note),
    /// To all other controllers: the records have come as far as this.
    Nudge(Revision),
}

/// Lengths of time that the rules rest on, derived from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long a controller's lease lasts unrenewed.
    pub ttl: Span,
    pub renew_every: Span,
    /// A worker's lease, with room for drifting clocks.
    pub worker_lease: Span,
    /// How long an owner cut off from the state service may go on answering
    /// workers. Their leases then run out before a cancellation it cannot
    /// have heard of is due: horizon + lease + margin <= cancel.
    pub horizon: Span,
    /// How old the last read may be for starts to be sent.
    pub fresh: Span,
}

impl Timing {
    fn of(settings: &Settings) -> Timing {
        let w = &settings.cluster.workers;
        Timing {
            ttl: Span::secs((w.lease_s * 0.4).clamp(1.0, 60.0)),
            renew_every: Span::secs((w.lease_s * 0.1).clamp(0.25, 15.0)),
            worker_lease: Span::secs(w.longest_lease_s()),
            horizon: Span::secs(w.horizon_s()),
            fresh: Span::secs((w.lease_s * 0.3).max(1.0)),
        }
    }
}

/// What another controller told last.
#[derive(Debug, Default)]
struct PeerState {
    heard: Option<Time>,
    state_reachable: bool,
    note: Option<Note>,
}

pub struct Core {
    settings: Settings,
    tuning: Tuning,
    timing: Timing,
    me: NodeName,
    parts: u32,
    now: Time,
    /// When this life of the node began.
    began: Time,
    /// When it last went on after standing still.
    resumed: Time,
    wall_ms: u64,
    out: Vec<Output>,
    last_call: u64,
    calls: BTreeMap<CallId, Call>,
    view: View,
    loaded: bool,
    loading: bool,
    watching: bool,
    next_watch: Time,
    retry_state_at: Time,
    /// When the newest successful read of all records was sent.
    last_read: Option<Time>,
    last_state_answer: Option<Time>,
    reads: Budget,
    writes: Budget,
    lease: Option<LeaseId>,
    granting: bool,
    renewing: bool,
    renew_at: Time,
    /// Keys whose values did not fit, each told once.
    too_large: BTreeSet<String>,
    /// Keys with a simple transaction on its way.
    busy_keys: BTreeSet<String>,
    in_doubt: calls::InDoubt,
    mine: BTreeMap<PartId, Mine>,
    target_since: BTreeMap<PartId, (NodeName, Time)>,
    finish: BTreeSet<JobRef>,
    peers: BTreeMap<NodeName, PeerState>,
    next_note: Time,
    next_round: Time,
    next_housekeeping: Time,
    /// A job came that is to be cut and dealt; it must not wait for the next housekeeping.
    deal_soon: bool,
    next_deal: Time,
    catalog: BTreeMap<String, MachineType>,
    catalog_at: Option<Time>,
    cloud: fleet::Fleet,
    learned: learned::Learned,
    aims: aims::Aims,
    /// Teams with a guarantee: cores and GPUs.
    guarantees: Vec<(Label, f64, f64)>,
    queries: Queries,
    chains: chains::Chains,
    /// A waiting job may start: that must not wait for the next housekeeping.
    chains_soon: bool,
    tending: following::Tending,
    announced: upgrade::Announced,
    withdrawal: withdrawing::Withdrawal,
    start: starting::Start,
    answers: answering::Answers,
    /// Notes told so far.
    told: u64,
}

impl Core {
    pub fn new(settings: Settings, tuning: Tuning) -> Core {
        let mut settings = settings;
        settings.cluster.state = settings.cluster.state.least();
        let names = settings.node_names();
        let share = names.len().max(1) as f64;
        let state = &settings.cluster.state;
        let mut view = View::default();
        let aims = aims::Aims::read(&settings.cluster.objectives, &mut view.names);
        let guaranteed = settings.cluster.teams.iter().filter(|t| t.cpus > 0.0 || t.gpus > 0.0);
        let guarantees = guaranteed.map(|t| (view.names.label(&t.name), t.cpus, t.gpus)).collect();
        Core {
            me: NodeName::new(&settings.node),
            parts: names.len() as u32,
            timing: Timing::of(&settings),
            reads: Budget::new(state.rps * 0.9 / share),
            writes: Budget::new((state.write_rps * 0.9 / share).max(1.0)),
            peers: settings.peers.iter().map(|p| (NodeName::new(&p.node), PeerState::default())).collect(),
            settings,
            tuning,
            now: Time(0),
            began: Time(0),
            resumed: Time(0),
            wall_ms: 0,
            out: vec![],
            last_call: 0,
            calls: BTreeMap::new(),
            view,
            aims,
            guarantees,
            loaded: false,
            loading: false,
            watching: false,
            next_watch: Time(0),
            retry_state_at: Time(0),
            last_read: None,
            last_state_answer: None,
            lease: None,
            granting: false,
            renewing: false,
            renew_at: Time(0),
            too_large: BTreeSet::new(),
            busy_keys: BTreeSet::new(),
            in_doubt: calls::InDoubt::default(),
            mine: BTreeMap::new(),
            target_since: BTreeMap::new(),
            finish: BTreeSet::new(),
            next_note: Time(0),
            next_round: Time(0),
            next_housekeeping: Time(0),
            deal_soon: false,
            next_deal: Time(0),
            catalog: BTreeMap::new(),
            catalog_at: None,
            cloud: fleet::Fleet::default(),
            learned: learned::Learned::default(),
            queries: Queries::default(),
            chains: chains::Chains::default(),
            chains_soon: false,
            tending: following::Tending::default(),
            announced: upgrade::Announced::default(),
            withdrawal: withdrawing::Withdrawal::default(),
            start: starting::Start::default(),
            answers: answering::Answers::default(),
            told: 0,
        }
    }

    /// Takes one input at a time of this node's steady clock, with the time
    /// of day for estimates of age, and returns what is to be done.
    pub fn handle(&mut self, now: Time, wall_ms: u64, input: Input) -> Vec<Output> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        if gap >= STANDSTILL {
            self.stood_still(gap);
        }
        match input {
            Input::Tick => self.tick(),
            Input::User(request, ask) => self.user(request, ask),
            Input::Report(request, report) => self.report(request, report),
            Input::State(call, answer) => self.state_answer(call, answer),
            Input::Cloud(call, answer) => self.cloud_answer(call, answer),
            Input::Note(note) => self.note(note),
        }
        self.tend_queries();
        self.tend_answers();
        self.flush_all();
        std::mem::take(&mut self.out)
    }

    /// Nothing came for much longer than the pause between ticks: this node
    /// stood still while its clocks ran on. What it did not hear meanwhile is
    /// no proof of anybody's silence, and what ran meanwhile took it no longer.
    /// Leases are another matter: they ran out whether or not it stood.
    fn stood_still(&mut self, gap: Span) {
        tracing::info!("stood still for {:.1} s", gap.as_secs());
        self.resumed = self.now;
        for peer in self.peers.values_mut() {
            peer.heard = peer.heard.map(|at| at + gap);
        }
        self.cloud.stood_still(gap);
    }

    /// How long the caller may wait before the next tick.
    pub fn next_tick(&self) -> Span {
        Span(50)
    }

    fn tick(&mut self) {
        self.tick_membership();
        self.look_for_milestones();
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + Span(500);
            self.housekeeping();
        }
        self.look_up_unknown();
        if self.chains_soon {
            self.release_ready();
        }
        if self.deal_soon && self.now >= self.next_deal {
            self.deal_soon = false;
            self.next_deal = self.now + Span(self.tuning.round_ms);
            self.deal_new();
        }
        if self.now >= self.next_round {
            self.next_round = self.now + Span(self.tuning.round_ms);
            self.rounds();
        }
        if self.now >= self.next_note {
            self.next_note = self.now + NOTE_EVERY;
            self.tell();
        }
    }

    fn housekeeping(&mut self) {
        self.refresh_catalog();
        self.judge_machines();
        self.judge_hearing();
        self.forget_errors();
        self.tend_notes();
        self.expire_machines();
        self.lead();
        self.ask_about_gifts();
        self.share_allowances();
        self.finish_jobs();
        self.raise_level();
        self.release_ready();
        self.write_ends();
        self.put_away();
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        self.out.push(Output::Reply(request, reply));
    }

    /// True if the records were read lately enough to start new work on them.
    fn state_fresh(&self) -> bool {
        self.last_read.is_some_and(|at| self.now.since(at) <= self.timing.fresh)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    pub(in crate::coordination) fn core() -> Core {
        Core::new(crate::settings::tests::example(40.0), Tuning::default())
    }

    /// The record of job wk-000002, of one task, with these fields.
    pub(in crate::coordination) fn record(mut fields: serde_json::Value) -> serde_json::Value {
        fields["at"] = 0.into();
        fields["spec"] = serde_json::json!({
            "ref": "wk-000002", "haul": "c", "crew": "t", "rig": "array", "rank": "normal", "loads": 1,
            "cores": 1.0, "mem_gb": 1.0, "kit": "i", "image_gb": 1.0, "reckon_s": 1.0
        });
        fields
    }

    /// A node that stood still took its peers to be silent and its machines to
    /// be idle, and exits found afterwards for runs as much longer.
    #[test]
    fn a_standstill_is_nobodys_silence_and_no_run_time() {
        let mut core = core();
        core.handle(Time(900), 0, Input::Tick);
        core.handle(Time(1000), 0, Input::Note(Note { from: "n1".into(), ..Note::default() }));
        core.handle(Time(1050), 0, Input::Tick);
        assert_eq!(core.resumed, Time(0));
        core.handle(Time(21_050), 20_000, Input::Tick);
        assert_eq!(core.resumed, Time(21_050));
        let heard = core.peers[&NodeName::new("n1")].heard;
        assert_eq!(heard, Some(Time(21_000)));
    }

    /// With a size of 16, an array of 25,000 tasks took thousands of writes;
    /// a slice must still stay one value with all of its tasks running.
    #[test]
    fn large_arrays_share_writes_within_one_value() {
        let core = core();
        assert_eq!(core.slice_size(300), 16);
        let size = core.slice_size(25_000);
        assert!((100..200).contains(&size), "{size}");
        let task = |n: u32| records::TaskRecord::On(crate::units::Attempt(99), MachineId::new(&format!("i-{n:07}")));
        for tasks in [25_000, 100_000] {
            let record = records::SliceRecord { tasks: (0..core.slice_size(tasks)).map(task).collect() };
            let plan = records::Plan { size, parts: vec![PartId(1); tasks.div_ceil(core.slice_size(tasks)) as usize] };
            assert!(serde_json::to_vec(&record).unwrap().len() < 8 * 1024);
            assert!(serde_json::to_vec(&plan).unwrap().len() < 6 * 1024);
        }
    }
}
