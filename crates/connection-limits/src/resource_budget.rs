//! One budget of connections, derived from the limits of threads, sockets and memory. A pure computation,
//! made once at start and by `tillercleat check`.

use std::fmt;
use thiserror::Error;

/// Memory that one connection takes, in KiB: the touched part of its
/// thread's stack, its buffers, and what the kernel keeps for it.
const CONNECTION_KIB: u64 = 48;

/// Share of the memory that connections may take in all.
const MEMORY_SHARE: f64 = 0.5;

/// With fewer connections a process is of no use.
const MIN_CONNECTIONS: usize = 8;

/// What the process may have in all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Threads, every one of them counted.
    pub threads: usize,
    /// Sockets and other descriptors.
    pub sockets: usize,
    /// Memory in MiB.
    pub memory_mib: f64,
}

/// What the process needs for itself, before it accepts a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservedResources {
    /// Threads that do not serve connections.
    pub threads: usize,
    /// Sockets and other descriptors that are not connections.
    pub sockets: usize,
}

/// Connections that users and workers may have, in all and in part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// The most that may be open or closing at the same time.
    pub max_connections: usize,
    /// From so many on, one is closed for each that arrives.
    pub eviction_threshold: usize,
    /// The most that may not have made a request yet.
    pub max_unidentified: usize,
    /// The least number that is kept for workers.
    pub min_reserved_for_workers: usize,
}

/// A resource whose limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Threads of the process.
    Threads,
    /// Sockets and other descriptors.
    Sockets,
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Resource::Threads => "threads",
            Resource::Sockets => "sockets",
        })
    }
}

/// Why no budget can be made.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum BudgetError {
    /// The limit named leaves too little beside the process's own needs.
    #[error(
        "the limit of {limit} {resource} is too low: the process needs {reserved} itself and at least \
         {MIN_CONNECTIONS} for connections"
    )]
    LimitTooLow {
        /// What there is too little of.
        resource: Resource,
        /// The limit.
        limit: usize,
        /// What the process needs for itself.
        reserved: usize,
    },
}

impl ResourceBudget {
    /// The budget under these limits: each limit allows so many connections,
    /// and the scarcest resource decides.
    ///
    /// # Errors
    ///
    /// If threads or sockets leave room for fewer than eight connections.
    pub fn new(limits: Limits, reserved: ReservedResources) -> Result<ResourceBudget, BudgetError> {
        let threads = remaining(Resource::Threads, limits.threads, reserved.threads)?;
        let sockets = remaining(Resource::Sockets, limits.sockets, reserved.sockets)?;
        let memory = (limits.memory_mib.max(0.0) * 1024.0 * MEMORY_SHARE / CONNECTION_KIB as f64) as usize;
        let max_connections = threads.min(sockets).min(memory.max(MIN_CONNECTIONS));
        Ok(ResourceBudget {
            max_connections,
            // The difference is for those that are to be closed and have not ended yet.
            eviction_threshold: max_connections - (max_connections / 16).max(2),
            max_unidentified: (max_connections / 4).max(2),
            min_reserved_for_workers: max_connections / 4,
        })
    }
}

/// What is left of a resource for connections.
fn remaining(resource: Resource, limit: usize, reserved: usize) -> Result<usize, BudgetError> {
    let remaining = limit.saturating_sub(reserved);
    if remaining < MIN_CONNECTIONS {
        return Err(BudgetError::LimitTooLow { resource, limit, reserved });
    }
    Ok(remaining)
}

#[cfg(test)]
mod tests;
