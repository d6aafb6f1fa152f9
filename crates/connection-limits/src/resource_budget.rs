//! Derives the connection budget from the limits on threads, sockets and memory. Computed once at startup
//! and by `tillercleat check`.

use std::fmt;
use thiserror::Error;

/// Memory per connection: the touched pages of its thread's stack, its buffers, and kernel memory.
const CONNECTION_KIB: u64 = 48;

/// Share of the memory limit that all connections together may use.
const MAX_MEMORY_SHARE: f64 = 0.5;

/// Minimum number of connections; with fewer the process cannot do useful work.
const MIN_CONNECTIONS: usize = 8;

/// Resource limits of the whole process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Number of threads, including those that do not serve connections.
    pub threads: usize,
    /// Number of sockets and other file descriptors.
    pub sockets: usize,
    /// Memory in MiB.
    pub memory_mib: f64,
}

/// Resources that the process needs in addition to those of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservedResources {
    /// Number of threads that do not serve connections.
    pub threads: usize,
    /// Number of sockets and other file descriptors that are not connections.
    pub sockets: usize,
}

/// Limits on the connections of users and workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Maximum number of connections that are open or closing at the same time.
    pub max_connections: usize,
    /// Number of connections from which on the limiter closes one for each new connection.
    pub eviction_threshold: usize,
    /// Maximum number of connections that have not made a request yet.
    pub max_unidentified: usize,
    /// Minimum number of connections reserved for workers.
    pub min_reserved_for_workers: usize,
}

/// Resource whose limit can be too low for the process to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Threads of the process.
    Threads,
    /// Sockets and other file descriptors.
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

/// Reason why the limits allow no budget.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum BudgetError {
    /// The limit leaves fewer than `MIN_CONNECTIONS` after the process's own needs.
    #[error(
        "the limit of {limit} {resource} is too low: the process needs {reserved} itself and at least \
         {MIN_CONNECTIONS} for connections"
    )]
    LimitTooLow {
        /// Resource that is scarce.
        resource: Resource,
        /// Configured limit on the resource.
        limit: usize,
        /// Amount that the process needs for itself.
        reserved: usize,
    },
}

impl ResourceBudget {
    /// Computes the budget under these limits. The scarcest resource determines the number of connections.
    ///
    /// # Errors
    ///
    /// If threads or sockets leave room for fewer than eight connections.
    pub fn new(limits: Limits, reserved: ReservedResources) -> Result<ResourceBudget, BudgetError> {
        let threads = remaining(Resource::Threads, limits.threads, reserved.threads)?;
        let sockets = remaining(Resource::Sockets, limits.sockets, reserved.sockets)?;
        let memory = (limits.memory_mib.max(0.0) * 1024.0 * MAX_MEMORY_SHARE / CONNECTION_KIB as f64) as usize;
        let max_connections = threads.min(sockets).min(memory.max(MIN_CONNECTIONS));
        Ok(ResourceBudget {
            max_connections,
            // Leaves room for evicted connections that have not ended yet.
            eviction_threshold: max_connections - (max_connections / 16).max(2),
            max_unidentified: (max_connections / 4).max(2),
            min_reserved_for_workers: max_connections / 4,
        })
    }
}

/// Returns the amount of a resource that is left for connections.
fn remaining(resource: Resource, limit: usize, reserved: usize) -> Result<usize, BudgetError> {
    let remaining = limit.saturating_sub(reserved);
    if remaining < MIN_CONNECTIONS {
        return Err(BudgetError::LimitTooLow { resource, limit, reserved });
    }
    Ok(remaining)
}

#[cfg(test)]
mod tests;
