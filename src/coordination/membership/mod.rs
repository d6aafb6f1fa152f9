//! Membership: this controller's lease, its peers, shard ownership, leader election and feature levels.
//!
//! Driven by [`Core::tick_membership`] and by responses of the store; other modules query [`Membership`] through its
//! functions. Peer statuses are hints: only the store decides ownership.
//!
//! [`Core::tick_membership`]: crate::coordination::Core::tick_membership

pub(crate) mod feature_level;
pub(crate) mod leader_election;
pub(crate) mod node_lease;
pub(crate) mod ownership;
pub(crate) mod peer_status;
pub(crate) mod peers;
pub(crate) mod shard_assignment;
pub(crate) mod shard_release;
pub(crate) mod startup;

use crate::coordination::membership::feature_level::AnnouncedLevels;
use crate::coordination::membership::node_lease::NodeLease;
use crate::coordination::membership::ownership::Handovers;
use crate::coordination::membership::peer_status::StatusSchedule;
use crate::coordination::membership::peers::Peers;
use crate::coordination::membership::shard_release::ShardRelease;
use crate::coordination::membership::startup::StartupProgress;
use crate::units::{LeaseId, MachineId, Millis, MonotonicTime, NodeName};

/// Membership state of this controller. Each field is changed only by the module that defines its type.
#[derive(Debug)]
pub(crate) struct Membership {
    node_lease: NodeLease,
    handovers: Handovers,
    peers: Peers,
    status_schedule: StatusSchedule,
    announced_levels: AnnouncedLevels,
    shard_release: ShardRelease,
    startup: StartupProgress,
}

impl Membership {
    /// Creates the state of a process that has just started, with these configured peers.
    pub(crate) fn new(peers: impl Iterator<Item = NodeName>) -> Membership {
        Membership {
            node_lease: NodeLease::default(),
            handovers: Handovers::default(),
            peers: Peers::new(peers),
            status_schedule: StatusSchedule::default(),
            announced_levels: AnnouncedLevels::default(),
            shard_release: ShardRelease::default(),
            startup: StartupProgress::default(),
        }
    }

    /// Returns this controller's lease in the store, or `None` before the grant and after the lease expired.
    pub(crate) fn lease(&self) -> Option<LeaseId> {
        self.node_lease.id()
    }

    /// Returns the other configured controllers and their latest statuses.
    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Records that a heartbeat arrived from a worker of any shard.
    pub(crate) fn heartbeat_arrived(&mut self, now: MonotonicTime) {
        self.shard_release.heartbeat_arrived(now);
    }

    /// Records a new heartbeat of a machine of an owned shard, and whether it shows that responses arrive there.
    pub(crate) fn heartbeat_accepted(&mut self, now: MonotonicTime, machine: &MachineId, receives_responses: bool) {
        self.shard_release.heartbeat_accepted(now, machine, receives_responses);
    }

    /// Excludes a suspension of this process for `gap` from the silence of its peers: what they sent meanwhile is
    /// still queued.
    pub(crate) fn handle_clock_jump(&mut self, gap: Millis) {
        self.peers.handle_clock_jump(gap);
    }
}
