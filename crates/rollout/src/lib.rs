//! Gated roll-outs of services.
//!
//! A service goes from one version to the next in steps that its operators
//! define. A step begins only when the one before has passed its checks for its
//! whole bake time; a step that fails halts the roll-out, or reverts it.
//!
//! - [`mod@file`]: what operators write, and what is wrong with it.
//! - [`record`]: what is durable of a service, one value a service.
//! - [`mod@reconcile`]: what to change of the record next. Pure.
//! - [`health`]: what checks and reports say of each replica. Pure.
//! - [`driver`], [`commands`]: whoever drives, and operators' commands, as state
//!   machines that say which calls to make. Pure.
//! - [`mod@check`], [`runtime`], [`listen`]: sockets and threads around them.
//!
//! The record states intentions. Every effect follows from a record that is
//! durable, and can be repeated without harm by anybody at any later time: a
//! job's id is never used twice, and a job marked for retirement never comes
//! back. So a second driver, a late transaction or a repeated answer changes
//! nothing.

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
