//! Which task runs where and in which order.

pub(crate) mod candidates;
pub(crate) mod capacity_timeline;
pub(crate) mod lifetimes;
pub(crate) mod objectives;
pub(crate) mod pending_queue;
pub(crate) mod preemption;
pub(crate) mod queue_order;
pub(crate) mod resources;
pub(crate) mod scheduling_cycle;
pub(crate) mod scoring;
pub(crate) mod starvation;
pub(crate) mod unplaceable_services;
