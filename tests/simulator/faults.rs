//! What goes wrong, and when.

use super::*;

/// What goes wrong, and when (milliseconds).
#[derive(Debug, Clone)]
pub enum Fault {
    Crash {
        node: usize,
        back_after: u64,
    },
    /// The state service answers 503, to all or to one node.
    StateOutage {
        node: Option<usize>,
        for_ms: u64,
    },
    /// State answers get lost, though the requests are carried out, perhaps late.
    StateSilence {
        node: usize,
        for_ms: u64,
        late: u64,
    },
    /// Workers of a zone, or beyond the last zone all, and one node cannot reach each other.
    Cut {
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
    PeersCut {
        for_ms: u64,
    },
    /// A node stands still while its clocks run on; what comes meanwhile waits.
    StandsStill {
        node: usize,
        for_ms: u64,
    },
    /// New machines take so many times as long, and every so many never come up.
    SlowBoots {
        times: u64,
        never_each: usize,
        for_ms: u64,
    },
    /// A machine fails every task that it starts.
    MachineFaulty {
        pick: usize,
    },
    /// Reports of every so many machines arrive, but answers don't reach them.
    Deaf {
        each: usize,
        for_ms: u64,
    },
    /// These machines (every so many, of a zone or of all) reach no controller.
    MachinesMute {
        each: usize,
        zone: Option<usize>,
        for_ms: u64,
    },
    /// Users call off so many jobs that run and have long to go, within a fifth of a
    /// second; up to eight of their machines then hang for so long.
    CancelNow {
        count: usize,
        hang_ms: u64,
    },
    /// This share of jobs, in percent, is called off, asked about and sent again about
    /// when its last task ends.
    CancelAtEnd {
        share: u64,
        for_ms: u64,
    },
    /// Users repeat submissions, well and badly, cancel what is done, and send jobs that
    /// fit no machine or lack a field.
    OddRequests {
        for_ms: u64,
    },
    /// This share of reports, in percent, is held back, and arrives so much later at any node.
    HeldReports {
        share: u64,
        for_ms: u64,
        most: u64,
    },
    /// What is sent between any two takes up to so much longer.
    SlowLinks {
        for_ms: u64,
        most: u64,
    },
    /// A zone with its machines and controllers is cut off from all others, the state
    /// service, and users.
    ZoneCut {
        zone: usize,
        for_ms: u64,
        hold: bool,
    },
    /// All machines of a zone die, or every so many.
    ZoneLoses {
        zone: usize,
        each: usize,
    },
    /// Whoever leads ends.
    LeaderEnds {
        back_after: u64,
    },
    /// A node's answers to workers are lost.
    Mute {
        node: usize,
        for_ms: u64,
    },
    /// This share of reports, in percent, arrives once more, up to so much later, at any node.
    Copies {
        share: u64,
        for_ms: u64,
        late: u64,
    },
    /// This share of transactions, in percent, gets no answer and is carried out
    /// 2 to 12 s later, after newer ones.
    LateWrites {
        share: u64,
        for_ms: u64,
    },
    /// The state service carries out and answers each call up to so much later.
    SlowState {
        for_ms: u64,
        most: u64,
    },
    /// Answers to every so many machines are held up, each for up to so long.
    HeldAnswers {
        each: usize,
        for_ms: u64,
        most: u64,
    },
    /// A node loses the state service and the other nodes, not its workers.
    Alone {
        node: usize,
        for_ms: u64,
    },
    /// The state service's limits fall.
    Limits {
        value_kb: usize,
        txn_ops: usize,
        write_rps: f64,
    },
    /// The node's next life is of the version before, as far as the records
    /// show; or of this one again.
    Older {
        node: usize,
        older: bool,
    },
    /// The process ends the next time that a node does something, and is
    /// started again at once. What it just asked for is carried out so much
    /// later, in the time of its next life perhaps, or never.
    EndsAt {
        node: usize,
        moment: Moment,
        back_after: u64,
        late: Option<u64>,
    },
}

impl Fault {
    /// How long it is a trouble.
    pub(super) fn lasts(&self) -> u64 {
        match self {
            Fault::Crash { back_after, .. } | Fault::LeaderEnds { back_after } | Fault::EndsAt { back_after, .. } => {
                *back_after
            }
            Fault::CancelNow { hang_ms, .. } => hang_ms + 400,
            Fault::StateOutage { for_ms, .. }
            | Fault::StateSilence { for_ms, .. }
            | Fault::Cut { for_ms, .. }
            | Fault::MachineHangs { for_ms, .. }
            | Fault::PeersCut { for_ms }
            | Fault::StandsStill { for_ms, .. }
            | Fault::SlowBoots { for_ms, .. }
            | Fault::Deaf { for_ms, .. }
            | Fault::Mute { for_ms, .. }
            | Fault::MachinesMute { for_ms, .. }
            | Fault::CancelAtEnd { for_ms, .. }
            | Fault::OddRequests { for_ms }
            | Fault::ZoneCut { for_ms, .. }
            | Fault::Alone { for_ms, .. } => *for_ms,
            Fault::Copies { for_ms, late, .. } => for_ms + late,
            Fault::HeldAnswers { for_ms, most, .. }
            | Fault::HeldReports { for_ms, most, .. }
            | Fault::SlowLinks { for_ms, most }
            | Fault::SlowState { for_ms, most } => for_ms + most,
            Fault::LateWrites { for_ms, .. } => for_ms + 12_000,
            _ => 0,
        }
    }
}

impl World {
    pub fn fault(&mut self, at: u64, fault: Fault) {
        self.over_from = self.over_from.max(at + fault.lasts());
        self.at(at, Due::Fault(fault));
    }

    pub(super) fn strike(&mut self, fault: Fault) {
        let now = self.now;
        self.calm_from = self.calm_from.max(now + fault.lasts());
        match fault {
            Fault::Crash { node, back_after } => {
                if self.nodes[node].core.take().is_some() {
                    self.nodes[node].life += 1;
                    // Users whose answer died with the node ask again.
                    let (lost, kept) = std::mem::take(&mut self.requests).into_iter().partition(|(at, _)| at.0 == node);
                    self.requests = kept;
                    for asked in BTreeMap::into_values(lost) {
                        match asked {
                            Asked::User(job, what, tries, _) => self.ask_again(job, what, tries),
                            Asked::Odd(odd) => self.odd_again(odd),
                            Asked::Worker(..) => {}
                        }
                    }
                    self.at(now + back_after, Due::Restart(node));
                }
            }
            Fault::StateOutage { node: None, for_ms } => {
                self.state_out.iter_mut().for_each(|until| *until = (*until).max(now + for_ms));
                // Every lease has its full time again when the outage ends.
                self.state.expire(now);
                for lease in self.state.leases.values_mut() {
                    lease.1 = lease.1.max(now + for_ms + lease.0);
                }
            }
            Fault::StateOutage { node: Some(node), for_ms } => {
                self.state_out[node] = self.state_out[node].max(now + for_ms);
            }
            Fault::StateSilence { node, for_ms, late } => self.silent[node] = (now + for_ms, late),
            Fault::Cut { node, zone, for_ms, hold } => {
                let zones = self.shape.zones.len();
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
            Fault::Deaf { each, for_ms } => {
                for worker in self.workers.iter_mut().filter(|w| w.alive).step_by(each.max(1)) {
                    worker.deaf_until = now + for_ms;
                }
            }
            Fault::MachinesMute { each, zone, for_ms } => {
                let those = self.workers.iter_mut().filter(|w| w.alive && zone.is_none_or(|z| z == w.zone));
                those.step_by(each.max(1)).for_each(|w| w.mute_until = now + for_ms);
            }
            Fault::CancelNow { count, hang_ms } => self.call_off(count, hang_ms),
            Fault::CancelAtEnd { share, for_ms } => self.cancel_at_end = (now + for_ms, share),
            Fault::OddRequests { for_ms } => self.at(now, Due::OddRequests(now + for_ms, now)),
            Fault::HeldReports { share, for_ms, most } => self.held_reports = (now + for_ms, share, most),
            Fault::SlowLinks { for_ms, most } => self.slow_links = (now + for_ms, most),
            Fault::ZoneCut { zone, for_ms, hold } => {
                let zones = self.shape.zones.len();
                for node in 0..self.nodes.len() {
                    let inside = node % zones == zone;
                    for far in (0..zones).filter(|z| (*z == zone) != inside) {
                        self.cuts.insert((node, far), (now + for_ms, hold));
                    }
                    if inside {
                        self.silent[node] = (now + for_ms, if hold { for_ms } else { 0 });
                        (self.nodes[node].alone_until, self.nodes[node].hidden_until) = (now + for_ms, now + for_ms);
                    }
                }
            }
            Fault::ZoneLoses { zone, each } => {
                let there = self.workers.iter_mut().filter(|w| w.alive && w.zone == zone);
                there.step_by(each.max(1)).for_each(|worker| {
                    worker.alive = false;
                    worker.tasks.clear();
                });
            }
            Fault::LeaderEnds { back_after } => {
                let leads = |node: &usize| {
                    let key = self.state.rows.get("t/l");
                    key.is_some_and(|row| row.0["node"] == format!("n{node}"))
                };
                if let Some(node) = (0..self.nodes.len()).find(leads) {
                    self.strike(Fault::Crash { node, back_after });
                }
            }
            Fault::Mute { node, for_ms } => self.nodes[node].mute_until = now + for_ms,
            Fault::Copies { share, for_ms, late } => self.copies = (now + for_ms, share, late),
            Fault::SlowState { for_ms, most } => self.slow_state = (now + for_ms, most),
            Fault::LateWrites { share, for_ms } => self.late_writes = (now + for_ms, share),
            Fault::HeldAnswers { each, for_ms, most } => {
                for worker in self.workers.iter_mut().filter(|w| w.alive).step_by(each.max(1)) {
                    worker.held = (now + for_ms, most);
                }
            }
            Fault::Alone { node, for_ms } => {
                self.state_out[node] = self.state_out[node].max(now + for_ms);
                self.nodes[node].alone_until = now + for_ms;
            }
            Fault::Limits { value_kb, txn_ops, write_rps } => {
                (self.state.most_bytes, self.state.most_ops) = (value_kb * 1024, txn_ops);
                self.state.buckets = Some((Bucket::new(self.shape.rps), Bucket::new(write_rps)));
            }
            Fault::Older { node, older } => self.nodes[node].older = older,
            Fault::PeersCut { for_ms } => self.peers_cut = now + for_ms,
            Fault::StandsStill { node, for_ms } => self.nodes[node].still_until = now + for_ms,
            Fault::SlowBoots { times, never_each, for_ms } => self.slow_boots = (now + for_ms, times, never_each),
            Fault::EndsAt { node, moment, back_after, late } => self.traps.push((node, moment, back_after, late)),
            Fault::MachineFaulty { pick } => {
                let alive: Vec<usize> = (0..self.workers.len()).filter(|w| self.workers[*w].alive).collect();
                if !alive.is_empty() {
                    self.workers[alive[pick % alive.len()]].faulty = true;
                }
            }
        }
    }
}
