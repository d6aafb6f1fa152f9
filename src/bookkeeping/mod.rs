//! What is known: durable records, the view of them, and machine lifetimes.

pub mod budget;
mod dense;
pub mod lifetimes;
pub mod names;
pub mod records;
pub mod urge;
pub mod view;
