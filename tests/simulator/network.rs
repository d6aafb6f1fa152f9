//! What controllers and workers send to one another.

use super::*;

pub(super) enum Asked {
    /// With whether the job had been accepted when its user asked.
    User(JobId, &'static str, u32, bool),
    Odd(Odd),
    Worker(usize, u64),
}

impl World {
    /// How much longer the way between two takes.
    pub(super) fn link(&mut self) -> u64 {
        if self.now < self.slow_links.0 {
            self.random(self.slow_links.1)
        } else {
            0
        }
    }

    pub(super) fn tell(&mut self, node: usize, status: PeerStatus) {
        for peer in (0..self.nodes.len()).filter(|p| *p != node) {
            let alone = self.nodes[node].alone_until.max(self.nodes[peer].alone_until);
            if self.now >= self.peers_cut.max(alone) && self.nodes[peer].core.is_some() {
                let (to, link) = (self.nodes[peer].life, self.link());
                self.at(self.now + 2 + link, Due::ToNode(peer, to, Input::PeerStatus(status.clone())));
            }
        }
    }

    pub(super) fn replied(&mut self, node: usize, id: RequestId, response: Response) {
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
}
