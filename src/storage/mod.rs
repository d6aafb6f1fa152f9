//! The durable records with their stored form, and each controller's in-memory
//! replica of them.
//!
//! This layer makes no decisions and does no I/O; `coordination` does both.

pub mod cache;
pub mod effective_priority;
pub mod names;
pub mod records;
