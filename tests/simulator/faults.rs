//! The faults that tests inject. Their effects are implemented in `fault_effects`.

use super::crash_points::CrashPoint;
use super::random::Random;

/// A fault. Times are in milliseconds; `for_ms` is the duration and `share` a percentage.
/// `every_nth` selects every nth running machine. `pick` selects one, modulo their number.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A controller's process crashes and restarts later.
    Crash { node: usize, restart_after: u64 },
    /// The current leader crashes and restarts later; no effect without a leader.
    LeaderCrash { restart_after: u64 },
    /// A controller crashes the next time that it reaches this point. The call that it just sent is
    /// executed after `late`, possibly after the restart, or never if None.
    CrashAt { node: usize, point: CrashPoint, restart_after: u64, late: Option<u64> },
    /// A controller stops processing while its clocks advance; its inputs are postponed.
    ControllerPaused { node: usize, for_ms: u64 },
    /// A controller writes records as the previous version does, or as the current version if
    /// `previous` is false.
    ControllerVersion { node: usize, previous: bool },
    /// A controller reaches neither the store nor the other controllers, but still its workers.
    ControllerIsolated { node: usize, for_ms: u64 },
    /// A controller's answers to workers are lost.
    ControllerAnswersLost { node: usize, for_ms: u64 },
    /// No controller reaches another one.
    PeerLinksCut { for_ms: u64 },
    /// Cuts the link between a controller and the workers of a zone, or of all zones if `zone` is out
    /// of range. Messages are lost, or delivered after the cut if `hold`.
    LinkCut { node: usize, zone: usize, for_ms: u64, hold: bool },
    /// The machines and controllers of a zone are cut off from other zones, the store and users.
    ZoneIsolated { zone: usize, for_ms: u64, hold: bool },
    /// Each message is delayed by up to `max_delay_ms`.
    SlowLinks { for_ms: u64, max_delay_ms: u64 },
    /// The store answers 503 to one controller, or to all if `node` is None.
    StoreOutage { node: Option<usize>, for_ms: u64 },
    /// The store's answers to a controller are lost. Its transactions are executed after
    /// `carried_out_after`, or never if that is 0.
    StoreAnswersLost { node: usize, for_ms: u64, carried_out_after: u64 },
    /// This share of transactions gets no answer and is executed 2 to 12 s later, possibly after
    /// newer ones.
    DelayedTransactions { share: u64, for_ms: u64 },
    /// The store executes and answers each call late, by up to `max_delay_ms`.
    SlowStore { for_ms: u64, max_delay_ms: u64 },
    /// The store's limits on value size, changes per transaction and changes per second are set to
    /// these values.
    StoreLimits { value_kb: usize, txn_ops: usize, writes_per_s: f64 },
    /// A machine is lost with all its tasks.
    MachineDies { pick: usize },
    /// A worker sends no heartbeats and executes no commands. Its tasks keep running until its lease
    /// expires.
    MachineHangs { pick: usize, for_ms: u64 },
    /// Every task on a machine fails.
    MachineFaulty { pick: usize },
    /// Every nth machine of a zone is lost; all of them if `every_nth` is 0 or 1.
    ZoneMachinesDie { zone: usize, every_nth: usize },
    /// New machines take `factor` times as long to come up, and every nth never does (none if 0).
    SlowProvisioning { factor: u64, every_nth_never_boots: usize, for_ms: u64 },
    /// Heartbeats of these machines arrive, but the answers to them are lost.
    DownlinkLost { every_nth: usize, for_ms: u64 },
    /// Heartbeats of these machines are lost; `zone` restricts the fault to one zone.
    UplinkLost { every_nth: usize, zone: Option<usize>, for_ms: u64 },
    /// Answers to these machines arrive late.
    DelayedAnswers { every_nth: usize, for_ms: u64, max_delay_ms: u64 },
    /// This share of heartbeats arrives late, at a random controller.
    DelayedHeartbeats { share: u64, for_ms: u64, max_delay_ms: u64 },
    /// This share of heartbeats arrives a second time, at a random controller.
    DuplicatedHeartbeats { share: u64, for_ms: u64, max_delay_ms: u64 },
    /// Of each worker, the first heartbeat sent during the fault is copied. The copy reaches the next
    /// controller that becomes the owner of the machine's shard at least `min_delay_ms` later, before most
    /// heartbeats of the workers themselves.
    HeartbeatsCopiedToNextOwner { for_ms: u64, min_delay_ms: u64 },
    /// Every nth running task fails now. Later attempts do not.
    TasksFail { every_nth: usize },
    /// Users cancel up to `count` jobs with long-running tasks within 200 ms. Up to eight of the
    /// machines that run them hang for `hang_ms`; none if that is 0.
    CancelRunningJobs { count: usize, hang_ms: u64 },
    /// This share of jobs is cancelled, queried and resubmitted around the end of their last task.
    CancelAtCompletion { share: u64, for_ms: u64 },
    /// Users repeat submissions, some of them malformed, cancel finished jobs, and submit jobs that
    /// lack a field or that no machine or team can run.
    ProbeRequests { for_ms: u64 },
}

/// Minimum delay of a delayed transaction (milliseconds).
pub(super) const MIN_TRANSACTION_DELAY_MS: u64 = 2000;
/// Random excess of that delay (milliseconds).
pub(super) const TRANSACTION_DELAY_SPREAD_MS: u64 = 10_000;

/// Latest time after the fault at which a cancelled job's machine starts to hang (milliseconds).
const MAX_HANG_START_MS: u64 = 400;

impl Fault {
    /// Returns how long the fault's effects last (milliseconds); 0 for permanent effects.
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
            Fault::HeartbeatsCopiedToNextOwner { for_ms, min_delay_ms } => for_ms + min_delay_ms,
            Fault::DelayedTransactions { for_ms, .. } => {
                for_ms + MIN_TRANSACTION_DELAY_MS + TRANSACTION_DELAY_SPREAD_MS
            }
            Fault::MachineDies { .. }
            | Fault::MachineFaulty { .. }
            | Fault::TasksFail { .. }
            | Fault::ZoneMachinesDie { .. }
            | Fault::StoreLimits { .. }
            | Fault::ControllerVersion { .. } => 0,
        }
    }
}

/// A period during which a share of the messages is affected by a fault, or all are delayed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FaultWindow {
    /// When it ends (milliseconds).
    pub(super) until: u64,
    /// Share of the messages that are affected (percent); unused if all of them are.
    pub(super) share: u64,
    pub(super) max_delay_ms: u64,
}

impl FaultWindow {
    pub(super) fn is_active(&self, now: u64) -> bool {
        now < self.until
    }

    /// Draws whether the fault affects this message. Draws no random number outside the window.
    pub(super) fn affects(&self, now: u64, random: &mut Random) -> bool {
        self.is_active(now) && random.below(100) < self.share
    }

    /// Draws the delay of an affected message (milliseconds).
    pub(super) fn delay(&self, random: &mut Random) -> u64 {
        random.below(self.max_delay_ms)
    }

    /// Returns the delay of a message sent now (milliseconds): 0 outside the window.
    pub(super) fn delay_at(&self, now: u64, random: &mut Random) -> u64 {
        if self.is_active(now) {
            self.delay(random)
        } else {
            0
        }
    }
}

/// When the injected faults end. Checks of delays start after that.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FaultsEnd {
    /// End of the faults that have started (milliseconds).
    pub(super) active: u64,
    /// End of all injected faults, including those that have not started yet (milliseconds).
    pub(super) all: u64,
}
