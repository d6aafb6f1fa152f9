//! What controllers and workers send to one another.

use super::*;

pub(super) enum PendingRequest {
    /// With whether the job had been accepted when its user asked.
    User(JobId, &'static str, u32, bool),
    Probe(ProbeSubmission),
    Worker(usize, u64),
}

impl SimulatedCluster {
    /// How much longer the way between two takes.
    pub(super) fn link(&mut self) -> u64 {
        if self.now < self.slow_links.0 {
            self.random.below(self.slow_links.1)
        } else {
            0
        }
    }

    pub(super) fn send_peer_status(&mut self, node: usize, status: PeerStatus) {
        for peer in (0..self.nodes.len()).filter(|p| *p != node) {
            let alone = self.nodes[node].isolated_until.max(self.nodes[peer].isolated_until);
            if self.now >= self.peer_links_cut_until.max(alone) && self.nodes[peer].core.is_some() {
                let (to, link) = (self.nodes[peer].incarnation, self.link());
                self.schedule(self.now + 2 + link, ScheduledEvent::ToNode(peer, to, Input::PeerStatus(status.clone())));
            }
        }
    }

    pub(super) fn route_response(&mut self, node: usize, id: RequestId, response: Response) {
        match self.requests.remove(&(node, id)) {
            Some(PendingRequest::User(job, what, tries, accepted)) => {
                self.user_answered(job, what, tries, accepted, response)
            }
            Some(PendingRequest::Probe(probe)) => self.probe_answered(probe, response),
            Some(PendingRequest::Worker(worker, in_flight)) => {
                if self.now < self.workers[worker].downlink_lost_until.max(self.nodes[node].answers_lost_until) {
                    if let Response::Commands { commands, .. } = &response {
                        let starts = commands.iter().filter(|c| matches!(c, Command::Start { .. }));
                        self.statistics.undelivered_starts += starts.count();
                    }
                    return;
                }
                let zone = self.workers[worker].zone;
                let agent_epoch = self.workers[worker].agent_epoch;
                if let Some(most) =
                    Some(self.workers[worker].delayed_answers).filter(|held| self.now < held.0).map(|held| held.1)
                {
                    let late = 2 + self.random.below(most);
                    return self
                        .schedule(self.now + late, ScheduledEvent::Answer(worker, in_flight, response, agent_epoch));
                }
                let at = match self.cuts.get(&(node, zone)) {
                    Some(&(until, true)) if self.now < until => until + 1,
                    Some(&(until, false)) if self.now < until => return,
                    _ => self.now + 2 + self.link(),
                };
                self.schedule(at, ScheduledEvent::Answer(worker, in_flight, response, agent_epoch));
            }
            None => {}
        }
    }
}
