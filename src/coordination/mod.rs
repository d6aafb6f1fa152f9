//! The core: a pure state machine that decides everything a controller does.
//!
//! This module owns [`Core`] and the order of its steps; the modules below own one concern each. The transport
//! layer calls [`Core::handle`] with each input and the time, and carries out the outputs. Nothing here does I/O
//! or reads a clock, so tests run the same code in virtual time.

pub(crate) mod fleet;
pub(crate) mod heartbeats;
pub(crate) mod jobs;
pub(crate) mod leader;
pub(crate) mod membership;
mod messages;
pub(crate) mod scheduling;
pub(crate) mod shards;
pub(crate) mod store_client;
mod timing;

use crate::coordination::fleet::catalog::MachineCatalog;
use crate::coordination::fleet::estimates::Estimates;
use crate::coordination::fleet::Fleet;
use crate::coordination::heartbeats::deferred_responses::DeferredResponses;
use crate::coordination::jobs::completion::CompletedJobs;
use crate::coordination::jobs::dependency_graph::DependencyGraph;
use crate::coordination::jobs::dependency_lookup::DependencyLookups;
use crate::coordination::jobs::dependency_release::DependencyRelease;
use crate::coordination::jobs::status_query::StatusQueries;
use crate::coordination::membership::Membership;
use crate::coordination::scheduling::objectives::Objectives;
use crate::coordination::scheduling::unplaceable_services::UnplaceableServices;
use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::shards::shard_quota::TeamGuarantee;
use crate::coordination::store_client::StoreClient;
use crate::settings::{Settings, Tuning};
use crate::storage::cache::StateCache;
use crate::units::{Millis, MonotonicTime, NodeName, RequestId, ShardId};
pub use jobs::refusal::{InfeasibleJob, Refusal, RefusalKind};
pub use jobs::replicas::{Replica, ReplicaState};
pub use messages::{ClientRequest, CloudAnswer, CloudCall, Input, JobProgress, JobResponseStatus, Output, Response};
use std::collections::BTreeMap;
use timing::Timing;

/// How often a controller sends its status to its peers.
const STATUS_INTERVAL: Millis = Millis(1000);

/// A pause between two inputs that counts as a jump of the clock: ticks come far more often.
const CLOCK_JUMP: Millis = Millis(1000);

/// Pause between two runs of the housekeeping steps.
const HOUSEKEEPING_INTERVAL: Millis = Millis(500);

/// Pause between two ticks.
const TICK_INTERVAL: Millis = Millis(50);

/// The share of the store's rate limits that all controllers use together; each has an equal part of it.
const RATE_LIMIT_SHARE: f64 = 0.9;

/// One controller's state machine. It does no I/O, reads no clock and draws no random numbers: everything that
/// it knows came in as an [`Input`], and everything that it does goes out as an [`Output`]. Its fields are open
/// to the modules below this one; each concern keeps its own state in a type with private fields.
pub struct Core {
    settings: Settings,
    tuning: Tuning,
    timing: Timing,
    node_name: NodeName,
    shard_count: u32,
    now: MonotonicTime,
    /// When this process started.
    began: MonotonicTime,
    /// When the clock last jumped.
    resumed_at: MonotonicTime,
    time_of_day_ms: u64,
    out: Vec<Output>,
    cache: StateCache,
    store: StoreClient,
    owned_shards: BTreeMap<ShardId, OwnedShard>,
    completed_jobs: CompletedJobs,
    membership: Membership,
    next_cycle: MonotonicTime,
    next_housekeeping: MonotonicTime,
    /// A job arrived whose slices are to be assigned before the next housekeeping.
    assign_soon: bool,
    next_assignment: MonotonicTime,
    catalog: MachineCatalog,
    fleet: Fleet,
    unplaceable_services: UnplaceableServices,
    estimates: Estimates,
    objectives: Objectives,
    guarantees: Vec<TeamGuarantee>,
    status_queries: StatusQueries,
    dependency_graph: DependencyGraph,
    dependency_release: DependencyRelease,
    dependency_lookups: DependencyLookups,
    deferred_responses: DeferredResponses,
}

impl Core {
    /// A core that knows nothing yet but its settings. Limits of the store that are announced for later hold from
    /// the start, so that nothing is begun that could not be finished under them.
    pub fn new(mut settings: Settings, tuning: Tuning) -> Core {
        settings.cluster.state = settings.cluster.state.strictest();
        let names = settings.node_names();
        let share = names.len().max(1) as f64;
        let state = &settings.cluster.state;
        let mut cache = StateCache::default();
        let objectives = Objectives::read(&settings.cluster.objectives, &mut cache.names);
        let fleet = Fleet::new(settings.cluster.cloud.rps);
        let guarantees = TeamGuarantee::all(&settings.cluster.teams, &mut cache.names);
        Core {
            node_name: NodeName::new(&settings.node),
            shard_count: names.len() as u32,
            timing: Timing::of(&settings),
            store: StoreClient::new(
                state.rps * RATE_LIMIT_SHARE / share,
                (state.write_rps * RATE_LIMIT_SHARE / share).max(1.0),
            ),
            membership: Membership::new(settings.peers.iter().map(|peer| NodeName::new(&peer.node))),
            settings,
            tuning,
            now: MonotonicTime(0),
            began: MonotonicTime(0),
            resumed_at: MonotonicTime(0),
            time_of_day_ms: 0,
            out: vec![],
            cache,
            objectives,
            guarantees,
            owned_shards: BTreeMap::new(),
            completed_jobs: CompletedJobs::default(),
            next_cycle: MonotonicTime(0),
            next_housekeeping: MonotonicTime(0),
            assign_soon: false,
            next_assignment: MonotonicTime(0),
            catalog: MachineCatalog::default(),
            fleet,
            unplaceable_services: UnplaceableServices::default(),
            estimates: Estimates::default(),
            status_queries: StatusQueries::default(),
            dependency_graph: DependencyGraph::default(),
            dependency_release: DependencyRelease::default(),
            dependency_lookups: DependencyLookups::default(),
            deferred_responses: DeferredResponses::default(),
        }
    }

    /// Handles one input and returns what is to be sent, written and answered. `now` is this process's monotonic
    /// clock; the time of day (milliseconds since the epoch) serves estimates of age only.
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
            Input::Heartbeat(request, heartbeat) => self.handle_heartbeat(request, heartbeat),
            Input::State(call, answer) => self.state_answer(call, answer),
            Input::Cloud(call, answer) => self.cloud_answer(call, answer),
            Input::PeerStatus(status) => self.receive_peer_status(status),
        }
        self.process_status_queries();
        self.send_due_responses();
        self.write_pending_changes();
        std::mem::take(&mut self.out)
    }

    /// No input came for much longer than the pause between ticks: this process was suspended while its clocks ran
    /// on. That nothing was received meanwhile proves no peer or machine silent, and does not make runs longer.
    /// Leases do run out during a jump.
    fn clock_jumped(&mut self, gap: Millis) {
        tracing::info!(gap_s = gap.as_secs(), "clock jumped: this process was suspended");
        self.resumed_at = self.now;
        self.membership.clock_jumped(gap);
        self.fleet.clock_jumped(gap);
    }

    /// How long the caller may wait before the next tick.
    pub fn next_tick(&self) -> Millis {
        TICK_INTERVAL
    }

    fn tick(&mut self) {
        self.tick_membership();
        self.check_milestones();
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL;
            self.housekeeping();
        }
        self.look_up_unknown_dependencies();
        if self.dependency_release.is_requested() {
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
        self.forget_replica_failures();
        self.renew_lease_proxies();
        self.expire_machines();
        self.run_leader_cycle();
        self.resolve_quota_transfers();
        self.rebalance_quotas();
        self.finish_jobs();
        self.raise_feature_level();
        self.release_ready_jobs();
        self.write_dependency_outcomes();
        self.archive_ended_jobs();
    }

    /// Answers a request of a user or worker.
    fn response(&mut self, request: RequestId, response: Response) {
        self.out.push(Output::Response(request, response));
    }

    /// Tells a user why a request is not carried out.
    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.response(request, Response::Error(refusal));
    }

    /// True if the records were read lately enough to start new work on them.
    fn records_fresh(&self) -> bool {
        self.store.last_read().is_some_and(|at| self.now.since(at) <= self.timing.fresh)
    }
}

#[cfg(test)]
mod tests;
