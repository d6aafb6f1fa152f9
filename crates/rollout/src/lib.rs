//! Gated roll-outs of services.
//!
//! A service goes from one version to the next in steps that its operators
//! define. A step starts only after the previous one has passed its checks for
//! its whole bake time; a failed step halts or reverts the roll-out.
//!
//! - [`mod@file`]: the roll-out file that operators write, and its validation.
//! - [`record`]: the durable state of a service, one value for each service.
//! - [`mod@reconcile`]: computes the next record of a service. Pure.
//! - [`health`]: the health of each replica, from checks and heartbeats. Pure.
//! - [`driver`], [`commands`]: the elected roll-out controller and the handler
//!   of operators' commands, as state machines that return calls to make. Pure.
//! - [`mod@check`], [`runtime`], [`listen`]: the sockets and threads.
//!
//! The record holds the desired state. Every effect follows from a durable
//! record and is idempotent: a job id is never reused, and a member that is
//! marked as retiring stays so. A second driver, a late transaction or a
//! repeated answer therefore changes nothing.

pub mod check;
pub mod commands;
pub mod driver;
mod events;
pub mod file;
pub mod health;
pub mod listen;
pub mod metrics;
pub mod ports;
pub mod reconcile;
pub mod record;
pub mod runtime;
pub mod settings;
pub mod units;
