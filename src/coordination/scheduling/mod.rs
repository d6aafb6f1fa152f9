//! Scheduling: which task runs on which machine, and in which order jobs are served.
//!
//! Entry points are `run_scheduling_cycles` (the core's tick) and the questions that the
//! leader and the fleet ask of queue and reserve. The method and its reasons are in
//! docs/DESIGN.md. Nothing here talks to workers or to the store: decisions become desired
//! states of tasks, or tasks marked to be stopped.

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
