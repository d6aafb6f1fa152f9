//! The core: a deterministic state machine that makes all decisions of a controller.
//!
//! This module owns [`Core`] and the order of its steps; each submodule owns one concern. The transport layer calls
//! [`Core::handle`] with each input and the current time, and executes the outputs. The core does no I/O and reads
//! no clock, so tests run the same code in virtual time.

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
pub use messages::{ClientRequest, CloudCall, CloudResponse, Input, JobProgress, JobResponseStatus, Output, Response};
use std::collections::BTreeMap;
use timing::Timing;

/// How often a controller sends its status to its peers.
const STATUS_INTERVAL: Millis = Millis(1000);

/// Gap between two inputs that counts as a clock jump. Ticks are far more frequent.
const MIN_CLOCK_JUMP: Millis = Millis(1000);

/// Interval between runs of the housekeeping steps.
const HOUSEKEEPING_INTERVAL: Millis = Millis(500);

/// Interval between ticks.
const TICK_INTERVAL: Millis = Millis(50);

/// Share of the store's rate limits that the controllers use, divided equally among them.
const RATE_LIMIT_SHARE: f64 = 0.9;

/// State machine of one controller. It does no I/O, reads no clock and draws no random numbers: all information
/// arrives as an [`Input`], and all effects are returned as an [`Output`]. The fields are visible to the submodules;
/// each submodule keeps its own state in a type with private fields.
pub struct Core {
    settings: Settings,
    tuning: Tuning,
    timing: Timing,
    node_name: NodeName,
    shard_count: u32,
    now: MonotonicTime,
    /// When this process started.
    started_at: MonotonicTime,
    /// When this process last resumed after a clock jump.
    resumed_at: MonotonicTime,
    time_of_day_ms: u64,
    outputs: Vec<Output>,
    cache: StateCache,
    store: StoreClient,
    owned_shards: BTreeMap<ShardId, OwnedShard>,
    completed_jobs: CompletedJobs,
    membership: Membership,
    next_cycle: MonotonicTime,
    next_housekeeping: MonotonicTime,
    /// A new job has slices to assign before the next housekeeping run.
    assignment_requested: bool,
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
    /// Creates a core from its settings, without records. Announced future limits of the store apply from the start,
    /// so that no operation starts that could not be completed under them.
    pub fn new(mut settings: Settings, tuning: Tuning) -> Core {
        settings.cluster.state = settings.cluster.state.strictest();
        let names = settings.node_names();
        let controllers = names.len().max(1) as f64;
        let limits = &settings.cluster.state;
        let mut cache = StateCache::default();
        let objectives = Objectives::from_settings(&settings.cluster.objectives, &mut cache.names);
        let fleet = Fleet::new(settings.cluster.cloud.rps);
        let guarantees = TeamGuarantee::all(&settings.cluster.teams, &mut cache.names);
        Core {
            node_name: NodeName::new(&settings.node),
            shard_count: names.len() as u32,
            timing: Timing::from_settings(&settings),
            store: StoreClient::new(
                limits.rps * RATE_LIMIT_SHARE / controllers,
                (limits.write_rps * RATE_LIMIT_SHARE / controllers).max(1.0),
            ),
            membership: Membership::new(settings.peers.iter().map(|peer| NodeName::new(&peer.node))),
            settings,
            tuning,
            now: MonotonicTime(0),
            started_at: MonotonicTime(0),
            resumed_at: MonotonicTime(0),
            time_of_day_ms: 0,
            outputs: vec![],
            cache,
            objectives,
            guarantees,
            owned_shards: BTreeMap::new(),
            completed_jobs: CompletedJobs::default(),
            next_cycle: MonotonicTime(0),
            next_housekeeping: MonotonicTime(0),
            assignment_requested: false,
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

    /// Handles one input and returns the resulting calls, messages and responses. `now` is this process's monotonic
    /// clock. The time of day, in milliseconds since the Unix epoch, is used only to estimate ages.
    pub fn handle(&mut self, now: MonotonicTime, time_of_day_ms: u64, input: Input) -> Vec<Output> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        self.time_of_day_ms = time_of_day_ms;
        if gap >= MIN_CLOCK_JUMP {
            self.handle_clock_jump(gap);
        }
        match input {
            Input::Tick => self.tick(),
            Input::ClientRequest(request, client_request) => self.handle_client_request(request, client_request),
            Input::Heartbeat(request, heartbeat) => self.handle_heartbeat(request, heartbeat),
            Input::Store(call, answer) => self.handle_store_response(call, answer),
            Input::Cloud(call, answer) => self.handle_cloud_response(call, answer),
            Input::PeerStatus(status) => self.receive_peer_status(status),
        }
        self.process_status_queries();
        self.send_due_responses();
        self.write_pending_changes();
        std::mem::take(&mut self.outputs)
    }

    /// Adjusts timers after a gap between inputs that is much longer than the tick interval: this process was
    /// suspended while its clocks advanced. The gap must not make peers or machines count as silent, nor lengthen
    /// the measured run times of tasks. Leases do expire during the gap.
    fn handle_clock_jump(&mut self, gap: Millis) {
        tracing::info!(gap_s = gap.as_secs(), "clock jumped; this process was suspended");
        self.resumed_at = self.now;
        self.membership.handle_clock_jump(gap);
        self.fleet.handle_clock_jump(gap);
    }

    /// Longest time that the caller may wait before the next [`Input::Tick`].
    pub fn tick_interval(&self) -> Millis {
        TICK_INTERVAL
    }

    fn tick(&mut self) {
        self.tick_membership();
        self.check_milestones();
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL;
            self.run_housekeeping();
        }
        self.look_up_unknown_dependencies();
        if self.dependency_release.is_requested() {
            self.release_ready_jobs();
        }
        if self.assignment_requested && self.now >= self.next_assignment {
            self.assignment_requested = false;
            self.next_assignment = self.now + Millis(self.tuning.cycle_interval_ms);
            self.assign_new_slices();
        }
        if self.now >= self.next_cycle {
            self.next_cycle = self.now + Millis(self.tuning.cycle_interval_ms);
            self.run_scheduling_cycles();
        }
        self.broadcast_due_status();
    }

    fn run_housekeeping(&mut self) {
        self.refresh_catalog();
        self.update_faulty_machines();
        self.update_reachability();
        self.forget_replica_failures();
        self.renew_lease_proxies();
        self.expire_machines();
        self.run_leader_cycle();
        self.resolve_quota_transfers();
        self.rebalance_quotas();
        self.write_job_completions();
        self.raise_feature_level();
        self.release_ready_jobs();
        self.write_dependency_cancellations();
        self.archive_ended_jobs();
    }

    /// Sends the response to a request of a user or worker.
    fn respond(&mut self, request: RequestId, response: Response) {
        self.outputs.push(Output::Response(request, response));
    }

    /// Responds to a user's request with the reason for its refusal.
    fn refuse(&mut self, request: RequestId, refusal: Refusal) {
        self.respond(request, Response::Error(refusal));
    }

    /// True if the last read of the records is recent enough to start new work.
    fn records_fresh(&self) -> bool {
        self.store.last_read().is_some_and(|at| self.now.since(at) <= self.timing.max_record_age)
    }
}

#[cfg(test)]
mod tests;
