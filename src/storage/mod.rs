//! What controllers know of the durable state: the records with their stored
//! form, and the replica of all of them in memory.
//!
//! This layer decides nothing and sends nothing; `coordination` does.

pub mod cache;
pub mod effective_priority;
pub mod names;
pub mod records;
