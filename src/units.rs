//! Ids, versions and times as small types of their own.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
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

/// A text that is compared, ordered and hashed by a number as far as it is short:
/// reports and rounds look names up by the million, and a text elsewhere in
/// memory costs far more to reach than to compare. The order is that of texts.
#[derive(Clone)]
struct Text {
    text: Arc<str>,
    /// The first bytes, the first one highest, and in the lowest place the
    /// length, or more than any that fits.
    key: u128,
}

/// Bytes of a text that its number holds.
const INLINE: usize = 15;

impl Text {
    fn new(text: Arc<str>) -> Text {
        let mut bytes = [0; 16];
        let len = text.len().min(INLINE);
        bytes[..len].copy_from_slice(&text.as_bytes()[..len]);
        bytes[INLINE] = if text.len() > INLINE { u8::MAX } else { len as u8 };
        Text { text, key: u128::from_be_bytes(bytes) }
    }

    /// True if the number says all.
    fn is_short(&self) -> bool {
        self.key as u8 != u8::MAX
    }
}

impl fmt::Debug for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

impl PartialEq for Text {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key && (self.is_short() || self.text == other.text)
    }
}

impl Eq for Text {}

impl Ord for Text {
    fn cmp(&self, other: &Self) -> Ordering {
        match self.key.cmp(&other.key) {
            Ordering::Equal if !self.is_short() => self.text.cmp(&other.text),
            order => order,
        }
    }
}

impl PartialOrd for Text {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Hash for Text {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
        if !self.is_short() {
            self.text.hash(state);
        }
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Text);

        impl $name {
            pub fn new(text: &str) -> Self {
                Self(Text::new(Arc::from(text)))
            }
            pub fn as_str(&self) -> &str {
                &self.0.text
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.as_str())
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                Arc::<str>::deserialize(deserializer).map(|text| Self(Text::new(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

number!(
    /// One of as many shards as controllers are configured.
    ShardId, u32);
number!(
    /// Shows a worker who may command it: the revision of the ownership transaction.
    FencingToken, u64);
number!(
    /// A change number of the state service; 0 stands for "no such key".
    Revision, u64);
number!(
    /// Counts the tries of a task.
    Attempt, u64);
number!(
    /// A worker's session: a new one begins whenever its lease ran out.
    AgentEpoch, u64);
number!(
    /// Orders a worker's messages within a session.
    HeartbeatNumber, u64);
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
    JobId);
name!(
    /// A machine's name, which is also its worker's.
    MachineId);
name!(
    /// A controller's name.
    NodeName);

/// A moment on this process's steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonotonicTime(pub u64);

/// A length of time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Millis(pub u64);

impl Millis {
    pub fn secs(seconds: f64) -> Self {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl MonotonicTime {
    /// Time passed since `earlier`; nothing if that lies ahead.
    pub fn since(self, earlier: MonotonicTime) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, span: Millis) -> MonotonicTime {
        MonotonicTime(self.0 + span.0)
    }
}

impl Sub<Millis> for MonotonicTime {
    type Output = MonotonicTime;
    fn sub(self, span: Millis) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(span.0))
    }
}

/// Processor cores and GPUs that tasks use, lack or may use. Stored as the pair of both.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ComputeAmount {
    /// Processor cores, also fractions of one.
    pub cpus: f64,
    /// GPUs, also fractions of one.
    pub gpus: f64,
}

impl From<(f64, f64)> for ComputeAmount {
    fn from((cpus, gpus): (f64, f64)) -> ComputeAmount {
        ComputeAmount { cpus, gpus }
    }
}

impl From<ComputeAmount> for (f64, f64) {
    fn from(amount: ComputeAmount) -> (f64, f64) {
        (amount.cpus, amount.gpus)
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

impl ShardId {
    /// The shard that a name belongs to for life.
    pub fn of(name: &str, shards: u32) -> ShardId {
        ShardId((stable_hash(&["part", name]) % u64::from(shards.max(1))) as u32)
    }
}

#[cfg(test)]
mod tests;
