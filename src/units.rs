//! Ids, versions and times as small types of their own.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

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

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

number!(
    /// One of as many parts as controllers are configured.
    PartId, u32);
number!(
    /// Shows a worker who may command it: the revision of the ownership transaction.
    Token, u64);
number!(
    /// A change number of the state service; 0 stands for "no such key".
    Revision, u64);
number!(
    /// Counts the tries of a task.
    Attempt, u64);
number!(
    /// A worker's session: a new one begins whenever its lease ran out.
    Session, u64);
number!(
    /// Orders a worker's messages within a session.
    Seq, u64);
number!(
    /// A lease of the state service.
    LeaseId, u64);
number!(
    /// Matches an answer to a call the core asked for.
    CallId, u64);
number!(
    /// A waiting request of a user or worker.
    RequestId, u64);

name!(
    /// A job's unique id, chosen by its user.
    JobRef);
name!(
    /// A machine's name, which is also its worker's.
    MachineId);
name!(
    /// A controller's name.
    NodeName);

/// A moment on this process's steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A length of time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub u64);

impl Span {
    pub fn secs(seconds: f64) -> Self {
        Span((seconds.max(0.0) * 1000.0) as u64)
    }
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Time {
    /// Time passed since `earlier`; nothing if that lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0 + span.0)
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// A hash that is the same in every process and version (FNV-1a, then mixed).
pub fn stable_hash(pieces: &[&str]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for piece in pieces {
        for byte in piece.bytes().chain(std::iter::once(0xff)) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

impl PartId {
    /// The part that a name belongs to for life.
    pub fn of(name: &str, parts: u32) -> PartId {
        PartId((stable_hash(&["part", name]) % u64::from(parts.max(1))) as u32)
    }
}
