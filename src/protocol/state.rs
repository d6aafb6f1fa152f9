//! The state service: conditional transactions, leases and watches.

use crate::units::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: Revision,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "mooring", default, skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    pub fn put(key: String, value: Value) -> Change {
        Change::Put { key, value, lease: None }
    }
    pub fn put_leased(key: String, value: Value, lease: LeaseId) -> Change {
        Change::Put { key, value, lease: Some(lease) }
    }
    pub fn delete(key: String) -> Change {
        Change::Delete { key }
    }
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct TransactionResult {
    #[serde(rename = "logline")]
    pub revision: Revision,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: Revision,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(rename = "logline")]
    pub revision: Revision,
}

/// A change that a watch brings.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "AnyWatchEvent")]
pub enum WatchEvent {
    Put { key: String, value: Value, version: Revision },
    Delete { key: String, version: Revision },
}

/// An event of either kind as it stands on the wire, told apart by what is
/// there: trying one kind after the other would read every value twice.
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

#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvents {
    #[serde(rename = "logline")]
    pub revision: Revision,
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Clone, Copy, Serialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct LeaseGranted {
    #[serde(rename = "mooring")]
    pub lease: LeaseId,
}

/// A call on the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    Get { key: String },
    List { prefix: String, after: Option<String> },
    Transaction(Transaction),
    GrantLease { ttl_ms: u64 },
    RenewLease { lease: LeaseId },
    Watch { prefix: String, after: Revision, wait_ms: u64 },
}

/// What came of a call.
#[derive(Debug, Clone)]
pub enum StoreResponse {
    Found(Item),
    /// No such key as of this revision.
    Missing(Revision),
    Page(Page),
    Committed(Revision),
    Conflict(Vec<String>),
    LeaseGranted(LeaseId),
    LeaseRenewed,
    LeaseGone,
    WatchEvents(WatchEvents),
    /// The watch's revision is too old: read the keys again.
    TooOld,
    /// Not carried out: an outage, or the limit on requests.
    Unavailable,
    /// Malformed in the service's eyes; not carried out.
    Invalid(String),
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

impl StoreRequest {
    /// The method, path and body of the call.
    pub fn to_http(&self) -> (&'static str, String, Vec<u8>) {
        let json = |value: &dyn erased::Json| value.bytes();
        match self {
            StoreRequest::Get { key } => ("GET", format!("/kv/{key}"), vec![]),
            StoreRequest::List { prefix, after } => {
                let from = after.as_ref().map(|a| format!("&from={a}")).unwrap_or_default();
                ("GET", format!("/kv?starts={prefix}{from}&limit=1000"), vec![])
            }
            StoreRequest::Transaction(transaction) => ("POST", "/txn".into(), json(transaction)),
            StoreRequest::GrantLease { ttl_ms } => ("POST", "/leases".into(), json(&LeaseRequest { ttl_ms: *ttl_ms })),
            StoreRequest::RenewLease { lease } => ("POST", format!("/leases/{lease}/renew"), b"{}".to_vec()),
            StoreRequest::Watch { prefix, after, wait_ms } => {
                ("GET", format!("/changes?starts={prefix}&from={after}&block_ms={wait_ms}"), vec![])
            }
        }
    }

    /// Reads the answer to this call; what makes no sense counts as unknown.
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
                    StoreResponse::Invalid(text.chars().take(200).collect())
                }
            }
            (StoreRequest::GrantLease { .. }, 200 | 201) => {
                read(body, |granted: LeaseGranted| StoreResponse::LeaseGranted(granted.lease))
            }
            (StoreRequest::RenewLease { .. }, 200) => StoreResponse::LeaseRenewed,
            (StoreRequest::RenewLease { .. }, 404) => StoreResponse::LeaseGone,
            (StoreRequest::Watch { .. }, 200) => read(body, StoreResponse::WatchEvents),
            (StoreRequest::Watch { .. }, 410) => StoreResponse::TooOld,
            (_, 400) => StoreResponse::Invalid(String::from_utf8_lossy(body).chars().take(200).collect()),
            _ => StoreResponse::Unknown,
        }
    }
}

mod erased {
    /// Lets one closure turn any message into bytes.
    pub trait Json {
        fn bytes(&self) -> Vec<u8>;
    }
    impl<T: serde::Serialize> Json for T {
        fn bytes(&self) -> Vec<u8> {
            serde_json::to_vec(self).unwrap_or_default()
        }
    }
}
