//! Newtypes for ids, versions and times.

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
    /// A revision of the state service; 0 means that the key does not exist.
    Revision, u64);
number!(
    /// A lease of the state service.
    LeaseId, u64);
number!(
    /// Number of a service's version; the first is 1.
    VersionNumber, u32);
number!(
    /// Id of a call; its answer carries the same id.
    CallId, u64);
number!(
    /// Id of a health check; its verdict carries the same id.
    CheckId, u64);
number!(
    /// Id of an operator's request that has not been answered yet.
    RequestId, u64);

/// Id of a job, unique across the platform and never reused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub String);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A replica: its job and its index within the job.
pub type ReplicaKey = (JobId, u32);

/// A time on a monotonic clock, or a duration, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts from seconds; negative numbers and NaN become 0.
    pub fn from_secs(seconds: f64) -> Millis {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }

    /// Time elapsed since `earlier`; 0 if `earlier` is in the future.
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
