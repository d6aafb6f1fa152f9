//! Requests to the state store: those in flight, batches of transactions, and the share of its rate limit.

pub(crate) mod pending_requests;
pub(crate) mod rate_limiter;
pub(crate) mod transactions;
pub(crate) mod watch;
