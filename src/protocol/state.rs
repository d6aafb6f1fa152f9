//! Messages of the store: compare-and-swap transactions, leases and watches.
//!
//! The platform calls it the state service. Its words stand here only, as serde renames and in the paths of
//! requests. Used by `transport`, which sends requests, and by `coordination`, which makes them.

use crate::units::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How much of the store's reason for refusing a request is kept, in characters.
const MAX_REASON_CHARS: usize = 200;

/// What a transaction needs to hold: the key still has this version; version 0 means that it does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    #[serde(rename = "stamp")]
    /// The revision of its last change.
    pub version: Revision,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease whose end deletes the key, if any.
        #[serde(rename = "mooring", default, skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// Writes a value without a lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put { key, value, lease: None }
    }
    /// Writes a value that is deleted when the lease ends.
    pub fn put_leased(key: String, value: Value, lease: LeaseId) -> Change {
        Change::Put { key, value, lease: Some(lease) }
    }
    /// Deletes a key.
    pub fn delete(key: String) -> Change {
        Change::Delete { key }
    }
}

/// Changes that are made together, and only if all conditions hold.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What needs to hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// What is changed. Without changes the transaction only compares.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The body of an answer that carries a revision.
#[derive(Debug, Clone, Deserialize)]
pub struct TransactionResult {
    /// The revision of the transaction, or as of which the answer holds.
    #[serde(rename = "logline")]
    pub revision: Revision,
    /// The keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A page of the keys under a prefix, in their order.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    /// The keys with their values.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// More keys follow the last one.
    #[serde(default)]
    pub truncated: bool,
    /// The revision as of which the page holds.
    #[serde(rename = "logline")]
    pub revision: Revision,
}

/// A change that a watch brings.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "AnyWatchEvent")]
pub enum WatchEvent {
    /// A value was written.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: Value,
        /// The revision of the change.
        version: Revision,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// The revision of the change.
        version: Revision,
    },
}

/// An event of either kind as it stands on the wire, told apart by the fields that are present: with an untagged
/// enum, serde would read every value twice.
#[derive(Deserialize)]
struct AnyWatchEvent {
    put: Option<String>,
    #[serde(rename = "drop")]
    delete: Option<String>,
    #[serde(rename = "data", default)]
    value: Value,
    #[serde(rename = "stamp")]
    version: Revision,
}

impl TryFrom<AnyWatchEvent> for WatchEvent {
    type Error = &'static str;

    fn try_from(any: AnyWatchEvent) -> Result<WatchEvent, Self::Error> {
        let AnyWatchEvent { put, delete, value, version } = any;
        match (put, delete) {
            (Some(key), None) => Ok(WatchEvent::Put { key, value, version }),
            (None, Some(key)) => Ok(WatchEvent::Delete { key, version }),
            _ => Err("an event is either a put or a drop"),
        }
    }
}

/// The changes that a watch returns.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvents {
    /// The revision up to which all changes are included.
    #[serde(rename = "logline")]
    pub revision: Revision,
    /// The changes, in the order of their revisions.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// Asks for a lease.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LeaseRequest {
    /// How long the lease lasts unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer to a [`LeaseRequest`].
#[derive(Debug, Clone, Deserialize)]
pub struct LeaseGranted {
    /// The new lease.
    #[serde(rename = "mooring")]
    pub lease: LeaseId,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Read one key.
    Get {
        /// The key.
        key: String,
    },
    /// Read a page of the keys under a prefix.
    List {
        /// What the keys begin with.
        prefix: String,
        /// The last key of the page before; none for the first page.
        after: Option<String>,
    },
    /// Carry out a transaction.
    Transaction(Transaction),
    /// Grant a lease.
    GrantLease {
        /// How long it lasts unless it is renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Renew a lease.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Return changes under a prefix as soon as there are any.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// The revision after which changes are wanted.
        after: Revision,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// What came of a [`StoreRequest`].
#[derive(Debug, Clone)]
pub enum StoreResponse {
    /// The key that was read.
    Found(Item),
    /// No such key as of this revision.
    Missing(Revision),
    /// A page of keys.
    Page(Page),
    /// The transaction was carried out at this revision.
    Committed(Revision),
    /// The conditions on these keys did not hold: nothing was changed.
    Conflict(Vec<String>),
    /// The lease that was granted.
    LeaseGranted(LeaseId),
    /// The lease was renewed.
    LeaseRenewed,
    /// The lease has ended.
    LeaseGone,
    /// The changes that a watch returned.
    WatchEvents(WatchEvents),
    /// The watch's revision is too old: read the keys again.
    TooOld,
    /// Not carried out: an outage, or the limit on requests.
    Unavailable,
    /// The store holds the request to be malformed and did not carry it out; its text, shortened.
    Invalid(String),
    /// No usable answer: the request may have been carried out, or may be later.
    Unknown,
}

impl StoreRequest {
    /// The HTTP method, path and body of the request.
    pub fn to_http(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            StoreRequest::Get { key } => ("GET", format!("/kv/{key}"), vec![]),
            StoreRequest::List { prefix, after } => {
                let from = after.as_ref().map(|a| format!("&from={a}")).unwrap_or_default();
                ("GET", format!("/kv?starts={prefix}{from}&limit=1000"), vec![])
            }
            StoreRequest::Transaction(transaction) => ("POST", "/txn".into(), json_bytes(transaction)),
            StoreRequest::GrantLease { ttl_ms } => {
                ("POST", "/leases".into(), json_bytes(&LeaseRequest { ttl_ms: *ttl_ms }))
            }
            StoreRequest::RenewLease { lease } => ("POST", format!("/leases/{lease}/renew"), b"{}".to_vec()),
            StoreRequest::Watch { prefix, after, wait_ms } => {
                ("GET", format!("/changes?starts={prefix}&from={after}&block_ms={wait_ms}"), vec![])
            }
        }
    }

    /// Reads the HTTP response to this request. One that cannot be read counts as [`StoreResponse::Unknown`].
    pub fn parse_response(&self, status: u16, body: &[u8]) -> StoreResponse {
        fn read<'a, T: Deserialize<'a>>(body: &'a [u8], make: impl FnOnce(T) -> StoreResponse) -> StoreResponse {
            serde_json::from_slice(body).map_or(StoreResponse::Unknown, make)
        }
        match (self, status) {
            (_, 429 | 503) => StoreResponse::Unavailable,
            (StoreRequest::Get { .. }, 200) => read(body, StoreResponse::Found),
            (StoreRequest::Get { .. }, 404) => {
                read(body, |done: TransactionResult| StoreResponse::Missing(done.revision))
            }
            (StoreRequest::List { .. }, 200) => read(body, StoreResponse::Page),
            (StoreRequest::Transaction(_), 200) => {
                read(body, |done: TransactionResult| StoreResponse::Committed(done.revision))
            }
            (StoreRequest::Transaction(_), 409) => {
                read(body, |done: TransactionResult| StoreResponse::Conflict(done.failed))
            }
            (StoreRequest::Transaction(_), 400) => {
                let text = String::from_utf8_lossy(body);
                if text.contains("no such lease") {
                    StoreResponse::LeaseGone
                } else {
                    StoreResponse::Invalid(text.chars().take(MAX_REASON_CHARS).collect())
                }
            }
            (StoreRequest::GrantLease { .. }, 200 | 201) => {
                read(body, |granted: LeaseGranted| StoreResponse::LeaseGranted(granted.lease))
            }
            (StoreRequest::RenewLease { .. }, 200) => StoreResponse::LeaseRenewed,
            (StoreRequest::RenewLease { .. }, 404) => StoreResponse::LeaseGone,
            (StoreRequest::Watch { .. }, 200) => read(body, StoreResponse::WatchEvents),
            (StoreRequest::Watch { .. }, 410) => StoreResponse::TooOld,
            (_, 400) => StoreResponse::Invalid(String::from_utf8_lossy(body).chars().take(MAX_REASON_CHARS).collect()),
            _ => StoreResponse::Unknown,
        }
    }
}

/// The JSON of a message.
fn json_bytes(message: &impl Serialize) -> Vec<u8> {
    // Messages have text keys and no failing serializers, so this can't fail; the store would refuse an empty body.
    serde_json::to_vec(message).unwrap_or_default()
}
