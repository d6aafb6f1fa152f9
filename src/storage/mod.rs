//! What is known: durable records, the cache of them, and machine lifetimes.

pub mod cache;
mod compact;
pub mod effective_priority;
pub mod names;
pub mod records;
