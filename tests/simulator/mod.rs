//! A cluster simulated in virtual time. The controllers' cores are the production code; users,
//! workers, cloud, store and network are simulated independently, from the protocol. Tests inject
//! faults and assert that the simulation recorded no invariant violations. A run is deterministic:
//! the same seed and the same calls give the same run, down to each byte that the controllers send.

mod cancellations;
mod cloud;
mod configuration;
mod controllers;
mod crash_points;
mod events;
mod fault_effects;
mod faults;
pub mod fixtures;
mod invariants;
mod network;
mod probes;
mod random;
mod requests;
mod start_checks;
pub mod statistics;
mod store;
mod store_calls;
mod trace;
mod users;
mod waiting_work;
mod worker_heartbeats;
mod workers;

use cloud::Cloud;
pub use configuration::{settings, ClusterConfig};
use controllers::Controller;
pub use crash_points::CrashPoint;
use crash_points::PlannedCrash;
use events::{EventQueue, ScheduledEvent};
pub use faults::Fault;
use faults::{FaultWindow, FaultsEnd};
use invariants::InvariantChecks;
use network::Network;
use random::Random;
use requests::PendingRequests;
use statistics::Statistics;
use std::collections::{BTreeMap, BTreeSet};
pub use store::SimulatedStore;
use store_calls::StoreFaults;
use tillercleat::settings::Settings;
use tillercleat::units::JobId;
use trace::Trace;
pub use users::Job;
use users::RequestKind;
use workers::Worker;

/// Virtual time at the start of a run (milliseconds).
const START_MS: u64 = 1000;

/// Machine types of the initial workers, as indices into the catalog. The pattern repeats every
/// ten workers and has more small machines than large ones, as real fleets do.
const MACHINE_TYPE_PATTERN: [usize; 10] = [0, 1, 0, 2, 0, 0, 1, 0, 1, 0];

/// The cluster with its pending events and the results recorded so far.
pub struct SimulatedCluster {
    config: ClusterConfig,
    /// Virtual time (milliseconds).
    now: u64,
    events: EventQueue,
    pub random: Random,
    /// Indexed by node.
    settings: Vec<Settings>,
    controllers: Vec<Controller>,
    planned_crashes: Vec<PlannedCrash>,
    requests: PendingRequests,
    network: Network,
    pub store: SimulatedStore,
    store_faults: StoreFaults,
    cloud: Cloud,
    workers: Vec<Worker>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs whose tasks all fail.
    pub failing_jobs: BTreeSet<JobId>,
    /// HTTP status of each permanently rejected submission (400 or 422).
    pub rejections: BTreeMap<JobId, u16>,
    /// Jobs whose users no longer retry unanswered or refused requests.
    users_given_up: BTreeSet<JobId>,
    cancel_at_completion: FaultWindow,
    faults_end: FaultsEnd,
    checks: InvariantChecks,
    /// Invariant violations: the rule, the job or task that broke it, and usually the time.
    pub violations: Vec<String>,
    pub statistics: Statistics,
    pub trace: Trace,
}

impl SimulatedCluster {
    /// Creates a small cluster. `lease_s` is the worker lease in the controllers' settings, which
    /// may differ from the lease that the workers keep.
    pub fn new(seed: u64, lease_s: f64) -> SimulatedCluster {
        SimulatedCluster::build(seed, ClusterConfig::small(), lease_s)
    }

    /// Creates a cluster whose controllers are configured with the workers' actual lease.
    pub fn with_config(seed: u64, config: ClusterConfig) -> SimulatedCluster {
        let lease_s = config.lease_ms as f64 / 1000.0;
        SimulatedCluster::build(seed, config, lease_s)
    }

    fn build(seed: u64, config: ClusterConfig, lease_s: f64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now: START_MS,
            events: EventQueue::default(),
            random: Random::from_seed(seed),
            settings: (0..config.nodes).map(|node| settings(&config, node, lease_s)).collect(),
            controllers: (0..config.nodes).map(|_| Controller::default()).collect(),
            planned_crashes: vec![],
            requests: PendingRequests::default(),
            network: Network::default(),
            store: config.store(),
            store_faults: StoreFaults::none(config.nodes),
            cloud: Cloud::default(),
            workers: vec![],
            jobs: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            rejections: BTreeMap::new(),
            users_given_up: BTreeSet::new(),
            cancel_at_completion: FaultWindow::default(),
            faults_end: FaultsEnd::default(),
            checks: InvariantChecks::default(),
            violations: vec![],
            statistics: Statistics::default(),
            trace: Trace::default(),
            config,
        };
        for node in 0..cluster.config.nodes {
            cluster.schedule(cluster.now, ScheduledEvent::StartController { node });
        }
        for index in 0..cluster.config.running {
            cluster.add_running_worker(index);
        }
        cluster
    }

    /// Adds a worker whose first heartbeat is due within one heartbeat interval of the start.
    fn add_running_worker(&mut self, index: usize) {
        let size = MACHINE_TYPE_PATTERN[index % MACHINE_TYPE_PATTERN.len()] % self.config.machine_types.len();
        let machine_type = self.config.machine_types[size].name.clone();
        let zone = index / MACHINE_TYPE_PATTERN.len() % self.config.zones.len();
        let up_at = self.now + self.random.below(self.config.heartbeat_ms);
        self.add_worker(machine_type, zone, true, up_at);
    }

    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.events.schedule(at, event);
    }

    /// Runs the simulation up to the virtual time `until` (milliseconds).
    pub fn run(&mut self, until: u64) {
        while let Some((at, event)) = self.events.next(until) {
            self.now = self.now.max(at);
            self.check_invariants();
            self.handle_event(event);
        }
        self.now = until;
        self.check_cancelled_tasks();
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        if let Some(until) = self.paused_until(&event) {
            // Events for a paused node are postponed until it resumes; its ticks run first.
            let after = if matches!(event, ScheduledEvent::Tick(_)) { 0 } else { 1 };
            return self.schedule(until + after, event);
        }
        match event {
            ScheduledEvent::Tick(process) => self.tick(process),
            ScheduledEvent::DeliverInput { to, input } => self.deliver_input(to, input),
            ScheduledEvent::StoreCall(call) => self.handle_store_call(call),
            ScheduledEvent::CloudCall { caller, id, call } => self.answer_cloud_call(caller, id, call),
            ScheduledEvent::HeartbeatDue { worker } => self.handle_heartbeat_due(worker),
            ScheduledEvent::HeartbeatFailed { worker, number } => self.handle_heartbeat_failure(worker, number),
            ScheduledEvent::DeliverHeartbeat { to, worker, heartbeat } => self.deliver_heartbeat(to, worker, heartbeat),
            ScheduledEvent::DeliverStrayHeartbeat { worker, to, heartbeat } => {
                self.deliver_stray_heartbeat(worker, to, heartbeat);
            }
            ScheduledEvent::DeliverAnswer(answer) => self.deliver_answer(answer),
            ScheduledEvent::StartController { node } => self.start_controller(node),
            ScheduledEvent::ApplyFault(fault) => self.apply_fault(fault),
            ScheduledEvent::Submit { spec, retries } => self.send_submission(spec, retries),
            ScheduledEvent::Cancel { job, retries } => self.send_cancellation(job, retries),
            ScheduledEvent::Poll { job } => self.send_query(job, RequestKind::Poll),
            ScheduledEvent::QueryOnce { job } => self.send_query(job, RequestKind::QueryOnce),
            ScheduledEvent::SendProbe(probe) => self.send_probe(probe),
            ScheduledEvent::NextProbe { until, number } => self.next_probe(until, number),
            ScheduledEvent::HangWorker { worker, for_ms } => self.workers[worker].hung_until = self.now + for_ms,
        }
    }

    /// Returns when the receiver of an event resumes, or None if it is not paused.
    fn paused_until(&self, event: &ScheduledEvent) -> Option<u64> {
        event.receiver().map(|node| self.controllers[node].paused_until).filter(|until| self.now < *until)
    }
}
