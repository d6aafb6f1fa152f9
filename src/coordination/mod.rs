//! The core: a state machine without I/O, clocks or randomness. Inputs and
//! the time go in; what to send, write and answer comes out.

pub(crate) mod fleet;
pub(crate) mod heartbeats;
pub(crate) mod jobs;
pub(crate) mod leader;
pub(crate) mod membership;
pub(crate) mod scheduling;
pub(crate) mod shards;
pub(crate) mod store_client;

use crate::coordination::jobs::status_query::StatusQueries;
use crate::coordination::membership::Membership;
use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::shards::shard_quota::TeamGuarantee;
use crate::coordination::store_client::pending_requests::SentRequest;
use crate::coordination::store_client::rate_limiter::RateLimiter;
use crate::protocol::cloud::{Catalog, MachineNames, MachinePage, MachineType, RentRequest};
use crate::protocol::peer::PeerStatus;
use crate::protocol::state::{StateAnswer, StateCall};
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Command, Heartbeat};
use crate::settings::{Settings, Tuning};
use crate::storage::cache::StateCache;
use crate::units::{
    CallId, FencingToken, JobId, MachineId, Millis, MonotonicTime, NodeName, RequestId, Revision, ShardId,
};
pub use jobs::replicas::{Replica, ReplicaState};
use std::collections::{BTreeMap, BTreeSet};

/// How often controllers tell one another how they are.
const STATUS_INTERVAL: Millis = Millis(1000);

/// A pause between inputs that cannot be chance: ticks come far more often.
const CLOCK_JUMP: Millis = Millis(1000);

/// What a user asks.
#[derive(Debug, Clone)]
pub enum ClientRequest {
    Submit(Box<JobSpec>),
    /// A submission that is not a valid one, of a job that may be known all the same.
    Malformed {
        id: JobId,
        reason: String,
    },
    Query(JobId),
    Cancel(JobId),
    Health,
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
    ClientRequest(RequestId, ClientRequest),
    Heartbeat(RequestId, Heartbeat),
    State(CallId, StateAnswer),
    Cloud(CallId, CloudAnswer),
    PeerStatus(PeerStatus),
}

/// The answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    Job {
        status: u16,
        id: JobId,
        state: crate::protocol::users::JobState,
        counts: Option<(u32, u32)>,
    },
    Error {
        status: u16,
        reason: String,
        retry_after_s: Option<u32>,
    },
    Healthy,
    /// Commands for a worker.
    Commands {
        token: FencingToken,
        commands: Vec<Command>,
    },
    /// The worker should report to this node, or look on.
    Redirect(Option<NodeName>),
}

impl Response {
    fn problem(status: u16, reason: &str) -> Response {
        Response::Error { status, reason: reason.into(), retry_after_s: None }
    }
    fn later(reason: &str) -> Response {
        Response::Error { status: 503, reason: reason.into(), retry_after_s: Some(1) }
    }
}

#[derive(Debug)]
pub enum Output {
    Response(RequestId, Response),
    State(CallId, StateCall),
    Cloud(CallId, CloudCall),
    /// To all other controllers.
    BroadcastStatus(PeerStatus),
    /// To all other controllers: the records have come as far as this.
    RevisionHint(Revision),
}

/// Lengths of time that the rules rest on, derived from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long a controller's lease lasts unrenewed.
    pub ttl: Millis,
    pub renew_every: Millis,
    /// A worker's lease, with room for drifting clocks.
    pub worker_lease: Millis,
    /// How long an owner cut off from the state service may go on answering
    /// workers. Their leases then run out before a cancellation it cannot
    /// have heard of is due: horizon + lease + margin <= cancel.
    pub store_isolation_limit: Millis,
    /// How old the last read may be for starts to be sent.
    pub fresh: Millis,
}

impl Timing {
    fn of(settings: &Settings) -> Timing {
        let w = &settings.cluster.workers;
        Timing {
            ttl: Millis::secs((w.lease_s * 0.4).clamp(1.0, 60.0)),
            renew_every: Millis::secs((w.lease_s * 0.1).clamp(0.25, 15.0)),
            worker_lease: Millis::secs(w.longest_lease_s()),
            store_isolation_limit: Millis::secs(w.store_isolation_limit_s()),
            fresh: Millis::secs((w.lease_s * 0.3).max(1.0)),
        }
    }
}

pub struct Core {
    settings: Settings,
    tuning: Tuning,
    timing: Timing,
    node_name: NodeName,
    shard_count: u32,
    now: MonotonicTime,
    /// When this life of the node began.
    began: MonotonicTime,
    /// When it last went on after standing still.
    resumed_at: MonotonicTime,
    time_of_day_ms: u64,
    out: Vec<Output>,
    last_call: u64,
    pending_requests: BTreeMap<CallId, SentRequest>,
    cache: StateCache,
    loaded: bool,
    loading: bool,
    watching: bool,
    next_watch: MonotonicTime,
    retry_state_at: MonotonicTime,
    /// When the newest successful read of all records was sent.
    last_read: Option<MonotonicTime>,
    last_state_answer: Option<MonotonicTime>,
    reads: RateLimiter,
    writes: RateLimiter,
    /// Keys whose values did not fit, each told once.
    too_large: BTreeSet<String>,
    /// Keys with a simple transaction on its way.
    busy_keys: BTreeSet<String>,
    unresolved: crate::coordination::store_client::pending_requests::UnresolvedTransactions,
    owned_shards: BTreeMap<ShardId, OwnedShard>,
    finish: BTreeSet<JobId>,
    membership: Membership,
    next_cycle: MonotonicTime,
    next_housekeeping: MonotonicTime,
    /// A job came that is to be cut and dealt; it must not wait for the next housekeeping.
    assign_soon: bool,
    next_assignment: MonotonicTime,
    catalog: BTreeMap<String, MachineType>,
    catalog_at: Option<MonotonicTime>,
    fleet: crate::coordination::fleet::inventory::Fleet,
    estimates: crate::coordination::fleet::estimates::Estimates,
    objectives: crate::coordination::scheduling::objectives::Objectives,
    guarantees: Vec<TeamGuarantee>,
    status_queries: StatusQueries,
    dependency_graph: crate::coordination::jobs::dependency_graph::DependencyGraph,
    /// A waiting job may start: that must not wait for the next housekeeping.
    release_soon: bool,
    dependency_release: crate::coordination::jobs::dependency_release::DependencyRelease,
    deferred_responses: crate::coordination::heartbeats::deferred_responses::DeferredResponses,
}

impl Core {
    pub fn new(settings: Settings, tuning: Tuning) -> Core {
        let mut settings = settings;
        settings.cluster.state = settings.cluster.state.least();
        let names = settings.node_names();
        let share = names.len().max(1) as f64;
        let state = &settings.cluster.state;
        let mut cache = StateCache::default();
        let objectives = crate::coordination::scheduling::objectives::Objectives::read(
            &settings.cluster.objectives,
            &mut cache.names,
        );
        let guarantees = TeamGuarantee::all(&settings.cluster.teams, &mut cache.names);
        Core {
            node_name: NodeName::new(&settings.node),
            shard_count: names.len() as u32,
            timing: Timing::of(&settings),
            reads: RateLimiter::new(state.rps * 0.9 / share),
            writes: RateLimiter::new((state.write_rps * 0.9 / share).max(1.0)),
            membership: Membership::new(settings.peers.iter().map(|peer| NodeName::new(&peer.node))),
            settings,
            tuning,
            now: MonotonicTime(0),
            began: MonotonicTime(0),
            resumed_at: MonotonicTime(0),
            time_of_day_ms: 0,
            out: vec![],
            last_call: 0,
            pending_requests: BTreeMap::new(),
            cache,
            objectives,
            guarantees,
            loaded: false,
            loading: false,
            watching: false,
            next_watch: MonotonicTime(0),
            retry_state_at: MonotonicTime(0),
            last_read: None,
            last_state_answer: None,
            too_large: BTreeSet::new(),
            busy_keys: BTreeSet::new(),
            unresolved: crate::coordination::store_client::pending_requests::UnresolvedTransactions::default(),
            owned_shards: BTreeMap::new(),
            finish: BTreeSet::new(),
            next_cycle: MonotonicTime(0),
            next_housekeeping: MonotonicTime(0),
            assign_soon: false,
            next_assignment: MonotonicTime(0),
            catalog: BTreeMap::new(),
            catalog_at: None,
            fleet: crate::coordination::fleet::inventory::Fleet::default(),
            estimates: crate::coordination::fleet::estimates::Estimates::default(),
            status_queries: StatusQueries::default(),
            dependency_graph: crate::coordination::jobs::dependency_graph::DependencyGraph::default(),
            release_soon: false,
            dependency_release: crate::coordination::jobs::dependency_release::DependencyRelease::default(),
            deferred_responses: crate::coordination::heartbeats::deferred_responses::DeferredResponses::default(),
        }
    }

    /// Takes one input at a time of this node's steady clock, with the time
    /// of day for estimates of age, and returns what is to be done.
    pub fn handle(&mut self, now: MonotonicTime, time_of_day_ms: u64, input: Input) -> Vec<Output> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        self.time_of_day_ms = time_of_day_ms;
        if gap >= CLOCK_JUMP {
            self.clock_jumped(gap);
        }
        match input {
            Input::Tick => self.tick(),
            Input::ClientRequest(request, client_request) => self.handle_client_request(request, client_request),
            Input::Heartbeat(request, heartbeat) => self.heartbeat(request, heartbeat),
            Input::State(call, answer) => self.state_answer(call, answer),
            Input::Cloud(call, answer) => self.cloud_answer(call, answer),
            Input::PeerStatus(status) => self.receive_peer_status(status),
        }
        self.process_status_queries();
        self.send_due_responses();
        self.write_pending_changes();
        std::mem::take(&mut self.out)
    }

    /// Nothing came for much longer than the pause between ticks: this node
    /// stood still while its clocks ran on. What it did not hear meanwhile is
    /// no proof of anybody's silence, and what ran meanwhile took it no longer.
    /// Leases are another matter: they ran out whether or not it stood.
    fn clock_jumped(&mut self, gap: Millis) {
        tracing::info!("stood still for {:.1} s", gap.as_secs());
        self.resumed_at = self.now;
        self.membership.clock_jumped(gap);
        self.fleet.clock_jumped(gap);
    }

    /// How long the caller may wait before the next tick.
    pub fn next_tick(&self) -> Millis {
        Millis(50)
    }

    fn tick(&mut self) {
        self.tick_membership();
        self.check_milestones();
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + Millis(500);
            self.housekeeping();
        }
        self.look_up_unknown_dependencies();
        if self.release_soon {
            self.release_ready_jobs();
        }
        if self.assign_soon && self.now >= self.next_assignment {
            self.assign_soon = false;
            self.next_assignment = self.now + Millis(self.tuning.cycle_interval_ms);
            self.assign_new_slices();
        }
        if self.now >= self.next_cycle {
            self.next_cycle = self.now + Millis(self.tuning.cycle_interval_ms);
            self.run_scheduling_cycles();
        }
        self.broadcast_due_status();
    }

    fn housekeeping(&mut self) {
        self.refresh_catalog();
        self.update_faulty_machines();
        self.update_reachability();
        self.forget_errors();
        self.renew_lease_proxies();
        self.expire_machines();
        self.lead();
        self.resolve_quota_transfers();
        self.rebalance_quotas();
        self.finish_jobs();
        self.raise_feature_level();
        self.release_ready_jobs();
        self.write_dependency_outcomes();
        self.archive_ended_jobs();
    }

    fn response(&mut self, request: RequestId, response: Response) {
        self.out.push(Output::Response(request, response));
    }

    /// True if the records were read lately enough to start new work on them.
    fn records_fresh(&self) -> bool {
        self.last_read.is_some_and(|at| self.now.since(at) <= self.timing.fresh)
    }
}

#[cfg(test)]
mod tests;
