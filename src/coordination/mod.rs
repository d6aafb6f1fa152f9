//! The core: a state machine without I/O, clocks or randomness. Inputs and
//! the time go in; what to send, write and answer comes out.

pub(crate) mod fleet;
pub(crate) mod heartbeats;
pub(crate) mod jobs;
pub(crate) mod leader;
pub(crate) mod membership;
mod messages;
pub(crate) mod scheduling;
pub(crate) mod shards;
pub(crate) mod store_client;

use crate::coordination::jobs::completion::CompletedJobs;
use crate::coordination::jobs::dependency_graph::DependencyGraph;
use crate::coordination::jobs::dependency_lookup::DependencyLookups;
use crate::coordination::jobs::dependency_release::DependencyRelease;
use crate::coordination::jobs::status_query::StatusQueries;
use crate::coordination::membership::Membership;
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

/// How often controllers tell one another how they are.
const STATUS_INTERVAL: Millis = Millis(1000);

/// A pause between inputs that cannot be chance: ticks come far more often.
const CLOCK_JUMP: Millis = Millis(1000);

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
    cache: StateCache,
    store: StoreClient,
    owned_shards: BTreeMap<ShardId, OwnedShard>,
    completed_jobs: CompletedJobs,
    membership: Membership,
    next_cycle: MonotonicTime,
    next_housekeeping: MonotonicTime,
    /// A job came that is to be cut and dealt; it must not wait for the next housekeeping.
    assign_soon: bool,
    next_assignment: MonotonicTime,
    catalog: crate::coordination::fleet::catalog::MachineCatalog,
    fleet: crate::coordination::fleet::Fleet,
    unplaceable_services: crate::coordination::scheduling::unplaceable_services::UnplaceableServices,
    estimates: crate::coordination::fleet::estimates::Estimates,
    objectives: crate::coordination::scheduling::objectives::Objectives,
    guarantees: Vec<TeamGuarantee>,
    status_queries: StatusQueries,
    dependency_graph: DependencyGraph,
    dependency_release: DependencyRelease,
    dependency_lookups: DependencyLookups,
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
        let fleet = crate::coordination::fleet::Fleet::new(settings.cluster.cloud.rps);
        let guarantees = TeamGuarantee::all(&settings.cluster.teams, &mut cache.names);
        Core {
            node_name: NodeName::new(&settings.node),
            shard_count: names.len() as u32,
            timing: Timing::of(&settings),
            store: StoreClient::new(state.rps * 0.9 / share, (state.write_rps * 0.9 / share).max(1.0)),
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
            catalog: crate::coordination::fleet::catalog::MachineCatalog::default(),
            fleet,
            unplaceable_services: crate::coordination::scheduling::unplaceable_services::UnplaceableServices::default(),
            estimates: crate::coordination::fleet::estimates::Estimates::default(),
            status_queries: StatusQueries::default(),
            dependency_graph: DependencyGraph::default(),
            dependency_release: DependencyRelease::default(),
            dependency_lookups: DependencyLookups::default(),
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
