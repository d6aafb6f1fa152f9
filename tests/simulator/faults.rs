//! The faults that tests inject. What each of them does stands in `fault_effects`.

use super::crash_points::CrashPoint;
use super::random::Random;

/// What goes wrong. Times are in milliseconds, `for_ms` is how long it lasts, `share` is in
/// percent, and `every_nth` picks every so many of the machines that run.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The process of a controller ends and is started again later.
    Crash { node: usize, restart_after: u64 },
    /// Whoever is leader crashes.
    LeaderCrash { restart_after: u64 },
    /// The process ends the next time that it reaches this point. What it just asked for is
    /// carried out after `late`, perhaps when its successor runs, or never.
    CrashAt { node: usize, point: CrashPoint, restart_after: u64, late: Option<u64> },
    /// A controller stands still while its clocks run on; what arrives meanwhile waits.
    ControllerPaused { node: usize, for_ms: u64 },
    /// From its next start on, a controller writes as the previous version did, or as this one
    /// does again.
    ControllerVersion { node: usize, previous: bool },
    /// A controller loses the store and the other controllers, not its workers.
    ControllerIsolated { node: usize, for_ms: u64 },
    /// A controller's answers to workers are lost.
    ControllerAnswersLost { node: usize, for_ms: u64 },
    /// Controllers don't reach one another.
    PeerLinksCut { for_ms: u64 },
    /// Workers of a zone, or of all zones if there is no such zone, and one controller don't
    /// reach each other. What is sent is lost, or if `hold`, delivered afterwards.
    LinkCut { node: usize, zone: usize, for_ms: u64, hold: bool },
    /// A zone with its machines and controllers is cut off from all others, the store and users.
    ZoneIsolated { zone: usize, for_ms: u64, hold: bool },
    /// Each message takes longer, by up to `max_delay_ms`.
    SlowLinks { for_ms: u64, max_delay_ms: u64 },
    /// The store answers 503, to all or to one controller.
    StoreOutage { node: Option<usize>, for_ms: u64 },
    /// The store's answers to a controller get lost. Its transactions are carried out late, or
    /// never if `carried_out_after` is 0.
    StoreAnswersLost { node: usize, for_ms: u64, carried_out_after: u64 },
    /// This share of transactions gets no answer and is carried out 2 to 12 s later, after
    /// newer ones.
    DelayedTransactions { share: u64, for_ms: u64 },
    /// The store carries out and answers each call later.
    SlowStore { for_ms: u64, max_delay_ms: u64 },
    /// The store's limits fall.
    StoreLimits { value_kb: usize, txn_ops: usize, writes_per_s: f64 },
    /// A machine is lost, with all that runs on it.
    MachineDies { pick: usize },
    /// A worker stands still; its tasks go on and its lease runs out.
    MachineHangs { pick: usize, for_ms: u64 },
    /// A machine fails every task that it starts.
    MachineFaulty { pick: usize },
    /// All machines of a zone die, or every so many.
    ZoneMachinesDie { zone: usize, every_nth: usize },
    /// New machines take `factor` times as long, and every so many never come up.
    SlowProvisioning { factor: u64, every_nth_never: usize, for_ms: u64 },
    /// Heartbeats of these machines arrive, but the answers don't reach them.
    DownlinkLost { every_nth: usize, for_ms: u64 },
    /// These machines, of a zone or of all, reach no controller.
    UplinkLost { every_nth: usize, zone: Option<usize>, for_ms: u64 },
    /// Answers to these machines arrive late.
    DelayedAnswers { every_nth: usize, for_ms: u64, max_delay_ms: u64 },
    /// This share of heartbeats arrives late, at any controller.
    DelayedHeartbeats { share: u64, for_ms: u64, max_delay_ms: u64 },
    /// This share of heartbeats arrives a second time, at any controller.
    DuplicatedHeartbeats { share: u64, for_ms: u64, max_delay_ms: u64 },
    /// Users cancel so many jobs that have long to go, within a fifth of a second; up to eight
    /// of their machines then hang.
    CancelRunningJobs { count: usize, hang_ms: u64 },
    /// This share of jobs is cancelled, asked about and submitted again when its last task ends.
    CancelAtCompletion { share: u64, for_ms: u64 },
    /// Users repeat submissions, well and badly, cancel what is done, and submit jobs that fit
    /// no machine or lack a field.
    ProbeRequests { for_ms: u64 },
}

/// Transactions that are delayed are carried out at least this much later (milliseconds).
pub(super) const MIN_TRANSACTION_DELAY_MS: u64 = 2000;
/// What a transaction's delay may exceed that by.
pub(super) const TRANSACTION_DELAY_SPREAD_MS: u64 = 10_000;

/// Within what time cancelled jobs' machines begin to hang, at the most.
const MAX_HANG_START_MS: u64 = 400;

impl Fault {
    /// How long its effects last (milliseconds).
    pub(super) fn duration_ms(&self) -> u64 {
        match self {
            Fault::Crash { restart_after, .. }
            | Fault::LeaderCrash { restart_after }
            | Fault::CrashAt { restart_after, .. } => *restart_after,
            Fault::CancelRunningJobs { hang_ms, .. } => hang_ms + MAX_HANG_START_MS,
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
            Fault::DuplicatedHeartbeats { for_ms, max_delay_ms, .. }
            | Fault::DelayedAnswers { for_ms, max_delay_ms, .. }
            | Fault::DelayedHeartbeats { for_ms, max_delay_ms, .. }
            | Fault::SlowLinks { for_ms, max_delay_ms }
            | Fault::SlowStore { for_ms, max_delay_ms } => for_ms + max_delay_ms,
            Fault::DelayedTransactions { for_ms, .. } => {
                for_ms + MIN_TRANSACTION_DELAY_MS + TRANSACTION_DELAY_SPREAD_MS
            }
            Fault::MachineDies { .. }
            | Fault::MachineFaulty { .. }
            | Fault::ZoneMachinesDie { .. }
            | Fault::StoreLimits { .. }
            | Fault::ControllerVersion { .. } => 0,
        }
    }
}

/// A time in which a share of messages meets a fault, or all of them are late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FaultWindow {
    /// When it ends (milliseconds).
    pub(super) until: u64,
    /// Percent of the messages, where not all are affected.
    pub(super) share: u64,
    pub(super) max_delay_ms: u64,
}

impl FaultWindow {
    pub(super) fn is_active(&self, now: u64) -> bool {
        now < self.until
    }

    /// Whether this message is one of the share. Nothing is drawn outside the window.
    pub(super) fn hits(&self, now: u64, random: &mut Random) -> bool {
        self.is_active(now) && random.below(100) < self.share
    }

    /// How late a message is that the fault hits.
    pub(super) fn delay(&self, random: &mut Random) -> u64 {
        random.below(self.max_delay_ms)
    }

    /// The delay of a message sent now: none outside the window.
    pub(super) fn delay_at(&self, now: u64, random: &mut Random) -> u64 {
        if self.is_active(now) {
            self.delay(random)
        } else {
            0
        }
    }
}

/// When faults are over, so that checks know from when on nothing excuses a delay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FaultsEnd {
    /// The end of those that have begun (milliseconds).
    pub(super) active: u64,
    /// The end of all, also of those to come.
    pub(super) all: u64,
}
