//! Scheduling: decides which task runs on which machine, and the order in which jobs are served.
//!
//! The core's tick calls `run_scheduling_cycles`; the leader and the fleet query the pending queue
//! and the quick-start reserve. The method and its reasons are in docs/DESIGN.md. This module sends
//! nothing to workers or to the store: its decisions become desired states of tasks, or marks on
//! tasks to be stopped.

pub(crate) mod candidate_machine;
pub(crate) mod candidates;
pub(crate) mod capacity_timeline;
pub(crate) mod lifetimes;
pub(crate) mod objectives;
pub(crate) mod pending_queue;
pub(crate) mod placement_request;
pub(crate) mod preemption;
pub(crate) mod queue_order;
pub(crate) mod resources;
pub(crate) mod scheduling_cycle;
pub(crate) mod scoring;
pub(crate) mod starvation;
pub(crate) mod task_stop;
pub(crate) mod unplaceable_services;
pub(crate) mod zone_occupancy;
