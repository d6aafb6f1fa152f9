//! One budget for all that takes threads, sockets and memory.

use thiserror::Error;

/// Memory that one connection is counted with, in KiB: the touched part of its
/// thread's stack, its buffers, and what the kernel keeps for it.
const CONNECTION_KIB: u64 = 48;

/// Share of the memory that connections may take in all.
const MEMORY_SHARE: f64 = 0.5;

/// Fewer connections than this serve nobody.
const LEAST_CONNECTIONS: usize = 8;

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

/// What the process needs for its own dealings, before it takes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservedResources {
    pub threads: usize,
    pub sockets: usize,
}

/// Connections that users and workers may have, in all and in part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// All that may be open or ending at the same time.
    pub connections: usize,
    /// From so many on, one is let go for each that comes.
    pub crowded: usize,
    /// Of these, those that have not asked anything yet.
    pub unidentified: usize,
    /// The least that is kept for workers.
    pub workers: usize,
}

/// Why no budget can be made.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BudgetError {
    /// The limit named leaves too little beside the process's own needs.
    #[error(
        "{what} for {have} leave no {LEAST_CONNECTIONS} connections beside the {own} that the process needs itself"
    )]
    TooFew {
        /// What there is too little of.
        what: &'static str,
        /// The limit.
        have: usize,
        /// The process's own need.
        own: usize,
    },
}

impl ResourceBudget {
    /// The budget under these limits: each limit allows so many connections,
    /// and the scarcest rules.
    ///
    /// # Errors
    ///
    /// If a limit leaves room for fewer than a handful of connections.
    pub fn new(limits: Limits, own: ReservedResources) -> Result<ResourceBudget, BudgetError> {
        let left = |what, have: usize, own: usize| {
            let left = have.saturating_sub(own);
            if left < LEAST_CONNECTIONS {
                return Err(BudgetError::TooFew { what, have, own });
            }
            Ok(left)
        };
        let threads = left("threads", limits.threads, own.threads)?;
        let sockets = left("sockets", limits.sockets, own.sockets)?;
        let memory = (limits.memory_mib.max(0.0) * 1024.0 * MEMORY_SHARE / CONNECTION_KIB as f64) as usize;
        let connections = threads.min(sockets).min(memory.max(LEAST_CONNECTIONS));
        Ok(ResourceBudget {
            connections,
            // Room for those that are asked to end and have not ended yet.
            crowded: connections - (connections / 16).max(2),
            unidentified: (connections / 4).max(2),
            workers: connections / 4,
        })
    }
}

#[cfg(test)]
mod tests;
