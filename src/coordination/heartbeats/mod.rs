//! What workers report and what they are told.

pub(crate) mod deferred_responses;
pub(crate) mod handling;
pub(crate) mod reachability;
