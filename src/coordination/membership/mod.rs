//! Membership: this controller's lease, its peers, which controller owns which shard and which one leads, and what
//! all controllers support. Driven by [`Core::tick_membership`] and by answers of the store; other folders ask
//! [`Membership`] through its functions. Peers' statuses are hints: what is owned is decided by the store alone.
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

/// What this controller knows of itself and its peers. Each field belongs to the module that its type stands in.
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
    /// A process that has just started, with these configured peers.
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

    /// This controller's lease in the store, if it has one.
    pub(crate) fn lease(&self) -> Option<LeaseId> {
        self.node_lease.id()
    }

    /// The other controllers and what each said last.
    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// A heartbeat of any worker arrived, of whichever shard.
    pub(crate) fn heartbeat_arrived(&mut self, now: MonotonicTime) {
        self.shard_release.heartbeat_arrived(now);
    }

    /// A machine of an owned shard sent a new heartbeat, which showed or didn't show that it receives responses.
    pub(crate) fn heartbeat_accepted(&mut self, now: MonotonicTime, machine: &MachineId, receives_responses: bool) {
        self.shard_release.heartbeat_accepted(now, machine, receives_responses);
    }

    /// This process was suspended for `gap`: what peers sent meanwhile is still to come.
    pub(crate) fn clock_jumped(&mut self, gap: Millis) {
        self.peers.clock_jumped(gap);
    }
}
