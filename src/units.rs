//! Newtypes for ids, versions and times, so that the compiler tells them apart. Used by all layers; their
//! serialized forms are part of the stored records and of every protocol.

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

/// Number of bytes of a text that its [`ComparableText::prefix`] holds.
const PREFIX_BYTES: usize = 15;

/// Last byte of the prefix of a text of more than [`PREFIX_BYTES`]; greater than the length of any shorter text.
const LONGER_THAN_PREFIX: u8 = u8::MAX;

/// An immutable string that is cheap to clone and, if it is short, cheap to compare, order and hash.
/// Heartbeats and scheduling cycles do millions of id lookups, in which reading a string elsewhere in
/// memory costs far more than comparing it. Has the same order as `str`.
#[derive(Clone)]
struct ComparableText {
    text: Arc<str>,
    /// The first [`PREFIX_BYTES`] bytes in big-endian order, zero-padded, and then the length in bytes or
    /// [`LONGER_THAN_PREFIX`] as the lowest byte. Different prefixes therefore order as their texts do.
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
    fn fits_in_prefix(&self) -> bool {
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
        self.prefix == other.prefix && (self.fits_in_prefix() || self.text == other.text)
    }
}

impl Eq for ComparableText {}

impl Ord for ComparableText {
    fn cmp(&self, other: &Self) -> Ordering {
        match self.prefix.cmp(&other.prefix) {
            Ordering::Equal if !self.fits_in_prefix() => self.text.cmp(&other.text),
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
        if !self.fits_in_prefix() {
            self.text.hash(state);
        }
    }
}

/// Defines an id that is a string, both in memory and when serialized. Has the same order as `str`.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(ComparableText);

        impl $name {
            /// Returns the id with this text, which is not validated.
            pub fn new(text: &str) -> Self {
                Self(ComparableText::new(Arc::from(text)))
            }

            /// Returns the id as a string.
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
    /// A shard of the machines and jobs. There are as many shards as configured controllers, numbered from 0.
    ShardId, u32);
numeric_id!(
    /// Tells a worker which controller may command it: the revision of the transaction that made the
    /// controller the owner of the worker's shard. Increases with each new owner.
    FencingToken, u64);
numeric_id!(
    /// The number of a change to the store; later changes have higher numbers. The version of a key is the
    /// revision of its last change, or 0 if the key is absent.
    Revision, u64);
numeric_id!(
    /// The number of an attempt to run a task: 1 for the first, 0 before it.
    Attempt, u64);
numeric_id!(
    /// The number of an incarnation of a worker. A worker begins a new one whenever its lease has expired.
    AgentEpoch, u64);
numeric_id!(
    /// Orders the heartbeats of a worker within an agent epoch.
    HeartbeatNumber, u64);
numeric_id!(
    /// Id of a lease in the store.
    LeaseId, u64);
numeric_id!(
    /// Id of a call that the core makes; the answer has the same id. Unique within a process.
    CallId, u64);
numeric_id!(
    /// Id of a pending request of a user or worker. Unique within a process.
    RequestId, u64);

text_id!(
    /// A job's unique id, chosen by its user.
    JobId);
text_id!(
    /// A machine's name; the worker on the machine has the same name.
    MachineId);
text_id!(
    /// A controller's name.
    NodeName);

/// A point in time on this process's monotonic clock, in milliseconds since the process started. Has no
/// meaning in other processes and is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonotonicTime(pub u64);

/// A duration in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts from seconds, rounded down to milliseconds. 0 if `seconds` is negative or not a number.
    pub fn from_secs(seconds: f64) -> Self {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }

    /// Returns the duration in seconds.
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
    /// Returns the time elapsed since `earlier`; 0 if `earlier` is later than this time.
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

    /// Saturates at 0, the start of the process.
    fn sub(self, duration: Millis) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(duration.0))
    }
}

/// An amount of processor cores and GPUs, stored as the pair `[cpus, gpus]`.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct ComputeAmount {
    /// Number of processor cores; may be fractional.
    pub cpus: f64,
    /// Number of GPUs; may be fractional.
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

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Terminates each part of a hashed sequence. The byte does not occur in UTF-8 text.
const PART_END: u8 = 0xff;

/// Returns a hash of a sequence of strings that is the same in all processes and versions: FNV-1a, followed
/// by the finalizer of MurmurHash3.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain(std::iter::once(PART_END)) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Hashed with each name that is assigned to a shard. Must not change, as all versions have to agree on the
/// shard of a name.
const SHARD_HASH_DOMAIN: &str = "part";

impl ShardId {
    /// Returns the shard, out of `shard_count`, that the machine or job with this name always belongs to.
    pub fn of(name: &str, shard_count: u32) -> ShardId {
        let hash = stable_hash(&[SHARD_HASH_DOMAIN, name]);
        ShardId((hash % u64::from(shard_count.max(1))) as u32)
    }
}

#[cfg(test)]
mod tests;
