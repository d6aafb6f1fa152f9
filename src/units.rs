//! Ids, versions and times as small types of their own, so that one cannot be passed for another. Used by
//! every layer; their serialized forms are part of the stored records and of every protocol.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::{Add, Sub};
use std::sync::Arc;

/// Defines an id or version that is a number, both in memory and when serialized.
macro_rules! numeric_id {
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

/// The bytes of a text that its [`ComparableText::prefix`] holds.
const PREFIX_BYTES: usize = 15;

/// The last byte of a prefix of a longer text; no length of a short one is as large.
const LONGER_THAN_PREFIX: u8 = u8::MAX;

/// An immutable text that is cheap to clone, and cheap to compare, order and hash as long as it is short:
/// heartbeats and scheduling cycles look ids up by the million, and reading a text elsewhere in memory
/// costs far more than comparing it. The order is that of strings.
#[derive(Clone)]
struct ComparableText {
    text: Arc<str>,
    /// The first bytes, the first one in the highest place, and in the lowest place the
    /// length or [`LONGER_THAN_PREFIX`]. Prefixes therefore have the order of their texts.
    prefix: u128,
}

impl ComparableText {
    fn new(text: Arc<str>) -> ComparableText {
        let mut bytes = [0; 16];
        let len = text.len().min(PREFIX_BYTES);
        bytes[..len].copy_from_slice(&text.as_bytes()[..len]);
        bytes[PREFIX_BYTES] = if text.len() > PREFIX_BYTES { LONGER_THAN_PREFIX } else { len as u8 };
        ComparableText { text, prefix: u128::from_be_bytes(bytes) }
    }

    /// True if the prefix holds the whole text.
    fn is_short(&self) -> bool {
        self.prefix as u8 != LONGER_THAN_PREFIX
    }
}

impl fmt::Debug for ComparableText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

impl PartialEq for ComparableText {
    fn eq(&self, other: &Self) -> bool {
        self.prefix == other.prefix && (self.is_short() || self.text == other.text)
    }
}

impl Eq for ComparableText {}

impl Ord for ComparableText {
    fn cmp(&self, other: &Self) -> Ordering {
        match self.prefix.cmp(&other.prefix) {
            Ordering::Equal if !self.is_short() => self.text.cmp(&other.text),
            order => order,
        }
    }
}

impl PartialOrd for ComparableText {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Hash for ComparableText {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.prefix.hash(state);
        if !self.is_short() {
            self.text.hash(state);
        }
    }
}

/// Defines an id that is a text, both in memory and when serialized. Ordered as strings are.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(ComparableText);

        impl $name {
            /// The id of this text, which is not checked.
            pub fn new(text: &str) -> Self {
                Self(ComparableText::new(Arc::from(text)))
            }

            /// The text.
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
                Arc::<str>::deserialize(deserializer).map(|text| Self(ComparableText::new(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

numeric_id!(
    /// A shard: a fixed share of the machines. There are as many as configured controllers, numbered from 0.
    ShardId, u32);
numeric_id!(
    /// Shows a worker which controller may command it: the revision of the transaction that made the
    /// controller the owner of the worker's shard. Only rises.
    FencingToken, u64);
numeric_id!(
    /// The number of a change to the store, rising; as the version of a key that of its last change, 0 for
    /// "no such key".
    Revision, u64);
numeric_id!(
    /// The number of an attempt to run a task.
    Attempt, u64);
numeric_id!(
    /// One incarnation of a worker; a new one begins whenever its lease ran out.
    AgentEpoch, u64);
numeric_id!(
    /// Orders the heartbeats of a worker within an agent epoch.
    HeartbeatNumber, u64);
numeric_id!(
    /// A lease in the store.
    LeaseId, u64);
numeric_id!(
    /// A call that the core has made; its answer has the same id. Unique within a process.
    CallId, u64);
numeric_id!(
    /// A request of a user or worker that awaits a response. Unique within a process.
    RequestId, u64);

text_id!(
    /// A job's unique id, chosen by its user.
    JobId);
text_id!(
    /// A machine's name, which is also its worker's.
    MachineId);
text_id!(
    /// A controller's name.
    NodeName);

/// A moment on this process's monotonic clock, in milliseconds since the process started. Means nothing to
/// other processes and is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonotonicTime(pub u64);

/// A length of time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// A length given in seconds, rounded down to milliseconds; 0 if it is negative or not a number.
    pub fn from_secs(seconds: f64) -> Self {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }

    /// The length in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0 + other.0)
    }
}

impl MonotonicTime {
    /// Time passed since `earlier`; 0 if that lies ahead.
    pub fn since(self, earlier: MonotonicTime) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, duration: Millis) -> MonotonicTime {
        MonotonicTime(self.0 + duration.0)
    }
}

impl Sub<Millis> for MonotonicTime {
    type Output = MonotonicTime;

    /// Not before the process started.
    fn sub(self, duration: Millis) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(duration.0))
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

/// Parameters of the hash FNV-1a with 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Ends each piece of a hashed sequence; no UTF-8 text holds this byte.
const PIECE_END: u8 = 0xff;

/// A hash of a sequence of texts that is the same in every process and version: FNV-1a, whose bits are
/// then mixed as in MurmurHash3.
pub fn stable_hash(pieces: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for piece in pieces {
        for byte in piece.bytes().chain(std::iter::once(PIECE_END)) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Goes into the hash that assigns names to shards. All versions have to agree on it, so it stays.
const SHARD_HASH_DOMAIN: &str = "part";

impl ShardId {
    /// The shard, of so many, that the machine or job of this name belongs to for life.
    pub fn of(name: &str, shards: u32) -> ShardId {
        let hash = stable_hash(&[SHARD_HASH_DOMAIN, name]);
        ShardId((hash % u64::from(shards.max(1))) as u32)
    }
}

#[cfg(test)]
mod tests;
