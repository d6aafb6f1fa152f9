//! Applies faults to the simulated cluster when they start.

use super::crash_points::PlannedCrash;
use super::events::ScheduledEvent;
use super::faults::FaultWindow;
use super::network::Cut;
use super::requests::PendingRequest;
use super::store_calls::LostAnswers;
use super::workers::Worker;
use super::{Fault, SimulatedCluster};

impl SimulatedCluster {
    /// Schedules a fault for the time `at` (milliseconds).
    pub fn inject_fault(&mut self, at: u64, fault: Fault) {
        self.faults_end.all = self.faults_end.all.max(at + fault.duration_ms());
        self.schedule(at, ScheduledEvent::ApplyFault(fault));
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        self.faults_end.active = self.faults_end.active.max(self.now + fault.duration_ms());
        match fault {
            Fault::Crash { .. }
            | Fault::LeaderCrash { .. }
            | Fault::CrashAt { .. }
            | Fault::ControllerPaused { .. }
            | Fault::ControllerVersion { .. }
            | Fault::ControllerIsolated { .. }
            | Fault::ControllerAnswersLost { .. } => self.apply_controller_fault(fault),
            Fault::PeerLinksCut { .. }
            | Fault::LinkCut { .. }
            | Fault::ZoneIsolated { .. }
            | Fault::SlowLinks { .. } => self.apply_network_fault(fault),
            Fault::StoreOutage { .. }
            | Fault::StoreAnswersLost { .. }
            | Fault::DelayedTransactions { .. }
            | Fault::SlowStore { .. }
            | Fault::StoreLimits { .. } => self.apply_store_fault(fault),
            Fault::MachineDies { .. }
            | Fault::MachineHangs { .. }
            | Fault::MachineFaulty { .. }
            | Fault::TasksFail { .. }
            | Fault::ZoneMachinesDie { .. }
            | Fault::SlowProvisioning { .. } => self.apply_machine_fault(fault),
            Fault::DownlinkLost { .. }
            | Fault::UplinkLost { .. }
            | Fault::DelayedAnswers { .. }
            | Fault::DelayedHeartbeats { .. }
            | Fault::DuplicatedHeartbeats { .. }
            | Fault::HeartbeatsCopiedToNextOwner { .. } => self.apply_heartbeat_fault(fault),
            Fault::CancelRunningJobs { .. } | Fault::CancelAtCompletion { .. } | Fault::ProbeRequests { .. } => {
                self.apply_user_fault(fault)
            }
        }
    }

    fn apply_controller_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Crash { node, restart_after } => self.crash(node, restart_after),
            Fault::LeaderCrash { restart_after } => {
                if let Some(node) = self.leader() {
                    self.apply_fault(Fault::Crash { node, restart_after });
                }
            }
            Fault::CrashAt { node, point, restart_after, late } => {
                self.planned_crashes.push(PlannedCrash { node, point, restart_after, late });
            }
            Fault::ControllerPaused { node, for_ms } => self.controllers[node].paused_until = now + for_ms,
            Fault::ControllerVersion { node, previous } => self.controllers[node].previous_version = previous,
            Fault::ControllerIsolated { node, for_ms } => {
                self.store_faults.refuse_until(node, now + for_ms);
                self.controllers[node].isolated_until = now + for_ms;
            }
            Fault::ControllerAnswersLost { node, for_ms } => self.controllers[node].answers_lost_until = now + for_ms,
            other => unreachable!("not a controller fault: {other:?}"),
        }
    }

    /// Ends a controller's process, if it runs, and schedules its restart.
    fn crash(&mut self, node: usize, restart_after: u64) {
        if self.controllers[node].core.take().is_none() {
            return;
        }
        self.controllers[node].incarnation += 1;
        // Users retry the requests whose answers are lost with the process.
        for request in self.requests.take_all_of(node) {
            match request {
                PendingRequest::User(request) => self.retry_request(request),
                PendingRequest::Probe(probe) => self.retry_probe(probe),
                PendingRequest::Heartbeat { .. } => {}
            }
        }
        self.schedule(self.now + restart_after, ScheduledEvent::StartController { node });
    }

    /// Returns the node recorded in the store as leader.
    fn leader(&self) -> Option<usize> {
        let record = self.store.value("t/l")?;
        (0..self.controllers.len()).find(|node| record["node"] == format!("n{node}"))
    }

    fn apply_network_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::PeerLinksCut { for_ms } => self.network.peer_links_cut_until = now + for_ms,
            Fault::LinkCut { node, zone, for_ms, hold } => {
                let zones = self.config.zones.len();
                for zone in if zone < zones { zone..zone + 1 } else { 0..zones } {
                    self.network.cut(node, zone, Cut { until: now + for_ms, hold });
                }
            }
            Fault::ZoneIsolated { zone, for_ms, hold } => self.isolate_zone(zone, for_ms, hold),
            Fault::SlowLinks { for_ms, max_delay_ms } => {
                self.network.slow_links = FaultWindow { until: now + for_ms, max_delay_ms, ..FaultWindow::default() };
            }
            other => unreachable!("not a network fault: {other:?}"),
        }
    }

    fn isolate_zone(&mut self, isolated: usize, for_ms: u64, hold: bool) {
        let until = self.now + for_ms;
        let zones = self.config.zones.len();
        for node in 0..self.controllers.len() {
            let inside = node % zones == isolated;
            for zone in (0..zones).filter(|zone| (*zone == isolated) != inside) {
                self.network.cut(node, zone, Cut { until, hold });
            }
            if inside {
                self.store_faults
                    .lose_answers(node, LostAnswers { until, carried_out_after: if hold { for_ms } else { 0 } });
                self.controllers[node].isolated_until = until;
                self.controllers[node].users_cut_until = until;
            }
        }
    }

    fn apply_store_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::StoreOutage { node: None, for_ms } => {
                for node in 0..self.controllers.len() {
                    self.store_faults.refuse_until(node, now + for_ms);
                }
                // The store extends every lease to its full TTL after the end of an outage.
                self.store.expire_leases(now);
                self.store.extend_leases(now + for_ms);
            }
            Fault::StoreOutage { node: Some(node), for_ms } => self.store_faults.refuse_until(node, now + for_ms),
            Fault::StoreAnswersLost { node, for_ms, carried_out_after } => {
                self.store_faults.lose_answers(node, LostAnswers { until: now + for_ms, carried_out_after });
            }
            Fault::DelayedTransactions { share, for_ms } => {
                self.store_faults.delayed_transactions =
                    FaultWindow { until: now + for_ms, share, ..FaultWindow::default() };
            }
            Fault::SlowStore { for_ms, max_delay_ms } => {
                self.store_faults.slow = FaultWindow { until: now + for_ms, max_delay_ms, ..FaultWindow::default() };
            }
            Fault::StoreLimits { value_kb, txn_ops, writes_per_s } => {
                (self.store.max_value_bytes, self.store.max_changes) = (value_kb * 1024, txn_ops);
                self.store.limit_rates(self.config.requests_per_s, writes_per_s);
            }
            other => unreachable!("not a store fault: {other:?}"),
        }
    }

    fn apply_machine_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::MachineDies { pick } => {
                if let Some(worker) = self.running_worker(pick) {
                    worker.terminate();
                }
            }
            Fault::MachineHangs { pick, for_ms } => {
                if let Some(worker) = self.running_worker(pick) {
                    worker.hung_until = now + for_ms;
                }
            }
            Fault::MachineFaulty { pick } => {
                if let Some(worker) = self.running_worker(pick) {
                    worker.faulty = true;
                }
            }
            Fault::TasksFail { every_nth } => self.fail_tasks(every_nth),
            Fault::ZoneMachinesDie { zone, every_nth } => {
                let machines = self.workers.iter_mut().filter(|worker| worker.alive && worker.zone == zone);
                machines.step_by(every_nth.max(1)).for_each(Worker::terminate);
            }
            Fault::SlowProvisioning { factor, every_nth_never_boots, for_ms } => {
                self.cloud.slow_provisioning(now + for_ms, factor, every_nth_never_boots);
            }
            other => unreachable!("not a machine fault: {other:?}"),
        }
    }

    /// Returns the running worker at index `pick`, modulo their number; None if there is none.
    fn running_worker(&mut self, pick: usize) -> Option<&mut Worker> {
        let running = self.workers.iter().filter(|worker| worker.alive).count();
        let mut workers = self.workers.iter_mut().filter(|worker| worker.alive);
        workers.nth(pick.checked_rem(running)?)
    }

    fn apply_heartbeat_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::DownlinkLost { every_nth, for_ms } => {
                let machines = self.workers.iter_mut().filter(|worker| worker.alive);
                machines.step_by(every_nth.max(1)).for_each(|worker| worker.downlink_lost_until = now + for_ms);
            }
            Fault::UplinkLost { every_nth, zone, for_ms } => {
                let in_zone = |worker: &&mut Worker| worker.alive && zone.is_none_or(|zone| zone == worker.zone);
                let machines = self.workers.iter_mut().filter(in_zone);
                machines.step_by(every_nth.max(1)).for_each(|worker| worker.uplink_lost_until = now + for_ms);
            }
            Fault::DelayedAnswers { every_nth, for_ms, max_delay_ms } => {
                let delayed = FaultWindow { until: now + for_ms, max_delay_ms, ..FaultWindow::default() };
                let machines = self.workers.iter_mut().filter(|worker| worker.alive);
                machines.step_by(every_nth.max(1)).for_each(|worker| worker.delayed_answers = delayed);
            }
            Fault::DelayedHeartbeats { share, for_ms, max_delay_ms } => {
                self.network.delayed_heartbeats = FaultWindow { until: now + for_ms, share, max_delay_ms };
            }
            Fault::DuplicatedHeartbeats { share, for_ms, max_delay_ms } => {
                self.network.duplicated_heartbeats = FaultWindow { until: now + for_ms, share, max_delay_ms };
            }
            Fault::HeartbeatsCopiedToNextOwner { for_ms, min_delay_ms } => {
                self.network.copied_heartbeats.start(now + for_ms, min_delay_ms);
            }
            other => unreachable!("not a heartbeat fault: {other:?}"),
        }
    }

    fn apply_user_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::CancelRunningJobs { count, hang_ms } => self.cancel_running_jobs(count, hang_ms),
            Fault::CancelAtCompletion { share, for_ms } => {
                self.cancel_at_completion = FaultWindow { until: now + for_ms, share, ..FaultWindow::default() };
            }
            Fault::ProbeRequests { for_ms } => {
                self.schedule(now, ScheduledEvent::NextProbe { until: now + for_ms, number: now });
            }
            other => unreachable!("not a user fault: {other:?}"),
        }
    }
}
