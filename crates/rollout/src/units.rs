//! Ids, versions and times as small types of their own.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// A revision of the state service; 0 stands for "no such key".
    Revision, u64);
number!(
    /// A lease of the state service.
    LeaseId, u64);
number!(
    /// Counts a service's versions from 1.
    VersionNumber, u32);
number!(
    /// Matches an answer to a call.
    CallId, u64);
number!(
    /// Matches a verdict to a check.
    CheckId, u64);
number!(
    /// A waiting request of an operator.
    RequestId, u64);

/// A job's unique id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub String);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A replica: its job, and its number within it.
pub type ReplicaKey = (JobId, u32);

/// A moment on a steady clock, or a length of time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// From seconds; what is negative or no number counts as nothing.
    pub fn from_secs(seconds: f64) -> Millis {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }

    /// Time passed since `earlier`; nothing if that lies ahead.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}
