//! What goes wrong, and when.

use super::*;

/// What goes wrong, and when (milliseconds).
#[derive(Debug, Clone)]
pub enum Fault {
    Crash {
        node: usize,
        restart_after: u64,
    },
    /// The state service answers 503, to all or to one node.
    StoreOutage {
        node: Option<usize>,
        for_ms: u64,
    },
    /// State answers get lost, though the requests are carried out, perhaps late.
    StoreAnswersLost {
        node: usize,
        for_ms: u64,
        carried_out_after: u64,
    },
    /// Workers of a zone, or beyond the last zone all, and one node cannot reach each other.
    LinkCut {
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
    PeerLinksCut {
        for_ms: u64,
    },
    /// A node stands still while its clocks run on; what comes meanwhile waits.
    ControllerPaused {
        node: usize,
        for_ms: u64,
    },
    /// New machines take so many times as long, and every so many never come up.
    SlowProvisioning {
        factor: u64,
        every_nth_never: usize,
        for_ms: u64,
    },
    /// A machine fails every task that it starts.
    MachineFaulty {
        pick: usize,
    },
    /// Reports of every so many machines arrive, but answers don't reach them.
    DownlinkLost {
        every_nth: usize,
        for_ms: u64,
    },
    /// These machines (every so many, of a zone or of all) reach no controller.
    UplinkLost {
        every_nth: usize,
        zone: Option<usize>,
        for_ms: u64,
    },
    /// Users call off so many jobs that run and have long to go, within a fifth of a
    /// second; up to eight of their machines then hang for so long.
    CancelRunningJobs {
        count: usize,
        hang_ms: u64,
    },
    /// This share of jobs, in percent, is called off, asked about and sent again about
    /// when its last task ends.
    CancelAtCompletion {
        share: u64,
        for_ms: u64,
    },
    /// Users repeat submissions, well and badly, cancel what is done, and send jobs that
    /// fit no machine or lack a field.
    ProbeRequests {
        for_ms: u64,
    },
    /// This share of reports, in percent, is held back, and arrives so much later at any node.
    DelayedHeartbeats {
        share: u64,
        for_ms: u64,
        max_delay_ms: u64,
    },
    /// What is sent between any two takes up to so much longer.
    SlowLinks {
        for_ms: u64,
        max_delay_ms: u64,
    },
    /// A zone with its machines and controllers is cut off from all others, the state
    /// service, and users.
    ZoneIsolated {
        zone: usize,
        for_ms: u64,
        hold: bool,
    },
    /// All machines of a zone die, or every so many.
    ZoneMachinesDie {
        zone: usize,
        every_nth: usize,
    },
    /// Whoever leads ends.
    LeaderCrash {
        restart_after: u64,
    },
    /// A node's answers to workers are lost.
    ControllerAnswersLost {
        node: usize,
        for_ms: u64,
    },
    /// This share of reports, in percent, arrives once more, up to so much later, at any node.
    DuplicatedHeartbeats {
        share: u64,
        for_ms: u64,
        max_delay_ms: u64,
    },
    /// This share of transactions, in percent, gets no answer and is carried out
    /// 2 to 12 s later, after newer ones.
    DelayedTransactions {
        share: u64,
        for_ms: u64,
    },
    /// The state service carries out and answers each call up to so much later.
    SlowStore {
        for_ms: u64,
        max_delay_ms: u64,
    },
    /// Answers to every so many machines are held up, each for up to so long.
    DelayedAnswers {
        every_nth: usize,
        for_ms: u64,
        max_delay_ms: u64,
    },
    /// A node loses the state service and the other nodes, not its workers.
    ControllerIsolated {
        node: usize,
        for_ms: u64,
    },
    /// The state service's limits fall.
    StoreLimits {
        value_kb: usize,
        txn_ops: usize,
        writes_per_s: f64,
    },
    /// The node's next incarnation is of the version before, as far as the records
    /// show; or of this one again.
    ControllerVersion {
        node: usize,
        previous: bool,
    },
    /// The process ends the next time that a node does something, and is
    /// started again at once. What it just asked for is carried out so much
    /// later, in the time of its next incarnation perhaps, or never.
    CrashAt {
        node: usize,
        point: CrashPoint,
        restart_after: u64,
        late: Option<u64>,
    },
}

impl Fault {
    /// How long it is a trouble.
    pub(super) fn duration_ms(&self) -> u64 {
        match self {
            Fault::Crash { restart_after, .. }
            | Fault::LeaderCrash { restart_after }
            | Fault::CrashAt { restart_after, .. } => *restart_after,
            Fault::CancelRunningJobs { hang_ms, .. } => hang_ms + 400,
            Fault::StoreOutage { for_ms, .. }
            | Fault::StoreAnswersLost { for_ms, .. }
            | Fault::LinkCut { for_ms, .. }
            | Fault::MachineHangs { for_ms, .. }
            | Fault::PeerLinksCut { for_ms }
            | Fault::ControllerPaused { for_ms, .. }
            | Fault::SlowProvisioning { for_ms, .. }
            | Fault::DownlinkLost { for_ms, .. }
            | Fault::ControllerAnswersLost { for_ms, .. }
            | Fault::UplinkLost { for_ms, .. }
            | Fault::CancelAtCompletion { for_ms, .. }
            | Fault::ProbeRequests { for_ms }
            | Fault::ZoneIsolated { for_ms, .. }
            | Fault::ControllerIsolated { for_ms, .. } => *for_ms,
            Fault::DuplicatedHeartbeats { for_ms, max_delay_ms, .. } => for_ms + max_delay_ms,
            Fault::DelayedAnswers { for_ms, max_delay_ms, .. }
            | Fault::DelayedHeartbeats { for_ms, max_delay_ms, .. }
            | Fault::SlowLinks { for_ms, max_delay_ms }
            | Fault::SlowStore { for_ms, max_delay_ms } => for_ms + max_delay_ms,
            Fault::DelayedTransactions { for_ms, .. } => for_ms + 12_000,
            _ => 0,
        }
    }
}

impl SimulatedCluster {
    pub fn inject_fault(&mut self, at: u64, fault: Fault) {
        self.all_faults_end = self.all_faults_end.max(at + fault.duration_ms());
        self.schedule(at, ScheduledEvent::Fault(fault));
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        let now = self.now;
        self.active_faults_end = self.active_faults_end.max(now + fault.duration_ms());
        match fault {
            Fault::Crash { node, restart_after } => {
                if self.nodes[node].core.take().is_some() {
                    self.nodes[node].incarnation += 1;
                    // Users whose answer died with the node ask again.
                    let (lost, kept) = std::mem::take(&mut self.requests).into_iter().partition(|(at, _)| at.0 == node);
                    self.requests = kept;
                    for asked in BTreeMap::into_values(lost) {
                        match asked {
                            PendingRequest::User(job, what, tries, _) => self.ask_again(job, what, tries),
                            PendingRequest::Probe(probe) => self.retry_probe(probe),
                            PendingRequest::Worker(..) => {}
                        }
                    }
                    self.schedule(now + restart_after, ScheduledEvent::Restart(node));
                }
            }
            Fault::StoreOutage { node: None, for_ms } => {
                self.store_outage_until.iter_mut().for_each(|until| *until = (*until).max(now + for_ms));
                // Every lease has its full time again when the outage ends.
                self.store.expire(now);
                for lease in self.store.leases.values_mut() {
                    lease.1 = lease.1.max(now + for_ms + lease.0);
                }
            }
            Fault::StoreOutage { node: Some(node), for_ms } => {
                self.store_outage_until[node] = self.store_outage_until[node].max(now + for_ms);
            }
            Fault::StoreAnswersLost { node, for_ms, carried_out_after } => {
                self.store_answers_lost[node] = (now + for_ms, carried_out_after)
            }
            Fault::LinkCut { node, zone, for_ms, hold } => {
                let zones = self.config.zones.len();
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
            Fault::DownlinkLost { every_nth, for_ms } => {
                for worker in self.workers.iter_mut().filter(|w| w.alive).step_by(every_nth.max(1)) {
                    worker.downlink_lost_until = now + for_ms;
                }
            }
            Fault::UplinkLost { every_nth, zone, for_ms } => {
                let those = self.workers.iter_mut().filter(|w| w.alive && zone.is_none_or(|z| z == w.zone));
                those.step_by(every_nth.max(1)).for_each(|w| w.uplink_lost_until = now + for_ms);
            }
            Fault::CancelRunningJobs { count, hang_ms } => self.cancel_running_jobs(count, hang_ms),
            Fault::CancelAtCompletion { share, for_ms } => self.cancel_at_completion = (now + for_ms, share),
            Fault::ProbeRequests { for_ms } => self.schedule(now, ScheduledEvent::ProbeRequests(now + for_ms, now)),
            Fault::DelayedHeartbeats { share, for_ms, max_delay_ms } => {
                self.delayed_heartbeats = (now + for_ms, share, max_delay_ms)
            }
            Fault::SlowLinks { for_ms, max_delay_ms } => self.slow_links = (now + for_ms, max_delay_ms),
            Fault::ZoneIsolated { zone, for_ms, hold } => {
                let zones = self.config.zones.len();
                for node in 0..self.nodes.len() {
                    let inside = node % zones == zone;
                    for far in (0..zones).filter(|z| (*z == zone) != inside) {
                        self.cuts.insert((node, far), (now + for_ms, hold));
                    }
                    if inside {
                        self.store_answers_lost[node] = (now + for_ms, if hold { for_ms } else { 0 });
                        (self.nodes[node].isolated_until, self.nodes[node].users_cut_until) =
                            (now + for_ms, now + for_ms);
                    }
                }
            }
            Fault::ZoneMachinesDie { zone, every_nth } => {
                let there = self.workers.iter_mut().filter(|w| w.alive && w.zone == zone);
                there.step_by(every_nth.max(1)).for_each(|worker| {
                    worker.alive = false;
                    worker.tasks.clear();
                });
            }
            Fault::LeaderCrash { restart_after } => {
                let leads = |node: &usize| {
                    let key = self.store.rows.get("t/l");
                    key.is_some_and(|row| row.0["node"] == format!("n{node}"))
                };
                if let Some(node) = (0..self.nodes.len()).find(leads) {
                    self.apply_fault(Fault::Crash { node, restart_after });
                }
            }
            Fault::ControllerAnswersLost { node, for_ms } => self.nodes[node].answers_lost_until = now + for_ms,
            Fault::DuplicatedHeartbeats { share, for_ms, max_delay_ms } => {
                self.duplicated_heartbeats = (now + for_ms, share, max_delay_ms)
            }
            Fault::SlowStore { for_ms, max_delay_ms } => self.slow_store = (now + for_ms, max_delay_ms),
            Fault::DelayedTransactions { share, for_ms } => self.delayed_transactions = (now + for_ms, share),
            Fault::DelayedAnswers { every_nth, for_ms, max_delay_ms } => {
                for worker in self.workers.iter_mut().filter(|w| w.alive).step_by(every_nth.max(1)) {
                    worker.delayed_answers = (now + for_ms, max_delay_ms);
                }
            }
            Fault::ControllerIsolated { node, for_ms } => {
                self.store_outage_until[node] = self.store_outage_until[node].max(now + for_ms);
                self.nodes[node].isolated_until = now + for_ms;
            }
            Fault::StoreLimits { value_kb, txn_ops, writes_per_s } => {
                (self.store.max_value_bytes, self.store.max_changes) = (value_kb * 1024, txn_ops);
                self.store.buckets =
                    Some((TokenBucket::new(self.config.requests_per_s), TokenBucket::new(writes_per_s)));
            }
            Fault::ControllerVersion { node, previous } => self.nodes[node].previous_version = previous,
            Fault::PeerLinksCut { for_ms } => self.peer_links_cut_until = now + for_ms,
            Fault::ControllerPaused { node, for_ms } => self.nodes[node].paused_until = now + for_ms,
            Fault::SlowProvisioning { factor, every_nth_never, for_ms } => {
                self.slow_provisioning = (now + for_ms, factor, every_nth_never)
            }
            Fault::CrashAt { node, point, restart_after, late } => {
                self.crash_points.push((node, point, restart_after, late))
            }
            Fault::MachineFaulty { pick } => {
                let alive: Vec<usize> = (0..self.workers.len()).filter(|w| self.workers[*w].alive).collect();
                if !alive.is_empty() {
                    self.workers[alive[pick % alive.len()]].faulty = true;
                }
            }
        }
    }
}
