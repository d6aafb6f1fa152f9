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
        put: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "mooring", default, skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "drop")]
        delete: String,
    },
}

impl Change {
    pub fn put(key: String, value: Value) -> Change {
        Change::Put { put: key, value, lease: None }
    }
    pub fn put_leased(key: String, value: Value, lease: LeaseId) -> Change {
        Change::Put { put: key, value, lease: Some(lease) }
    }
    pub fn delete(key: String) -> Change {
        Change::Delete { delete: key }
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
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "logline")]
    pub revision: Revision,
}

/// A change that a watch brings.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "AnyWatchEvent")]
pub enum WatchEvent {
    Put { put: String, value: Value, version: Revision },
    Delete { delete: String, version: Revision },
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
            (Some(put), None) => Ok(WatchEvent::Put { put, value, version }),
            (None, Some(delete)) => Ok(WatchEvent::Delete { delete, version }),
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
pub enum StateCall {
    Get { key: String },
    List { prefix: String, after: Option<String> },
    Transaction(Transaction),
    Grant { ttl_ms: u64 },
    Renew { lease: LeaseId },
    Watch { prefix: String, after: Revision, wait_ms: u64 },
}

/// What came of a call.
#[derive(Debug, Clone)]
pub enum StateAnswer {
    Found(Item),
    /// No such key as of this revision.
    Missing(Revision),
    Page(Page),
    Committed(Revision),
    Conflict(Vec<String>),
    Granted(LeaseId),
    Renewed,
    LeaseGone,
    WatchEvents(WatchEvents),
    /// The watch's revision is too old: read the keys again.
    TooOld,
    /// Not carried out: an outage, or the limit on requests.
    Refused,
    /// Malformed in the service's eyes; not carried out.
    Rejected(String),
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

impl StateCall {
    /// The method, path and body of the call.
    pub fn request(&self) -> (&'static str, String, Vec<u8>) {
        let json = |value: &dyn erased::Json| value.bytes();
        match self {
            StateCall::Get { key } => ("GET", format!("/kv/{key}"), vec![]),
            StateCall::List { prefix, after } => {
                let from = after.as_ref().map(|a| format!("&from={a}")).unwrap_or_default();
                ("GET", format!("/kv?starts={prefix}{from}&limit=1000"), vec![])
            }
            StateCall::Transaction(transaction) => ("POST", "/txn".into(), json(transaction)),
            StateCall::Grant { ttl_ms } => ("POST", "/leases".into(), json(&LeaseRequest { ttl_ms: *ttl_ms })),
            StateCall::Renew { lease } => ("POST", format!("/leases/{lease}/renew"), b"{}".to_vec()),
            StateCall::Watch { prefix, after, wait_ms } => {
                ("GET", format!("/changes?starts={prefix}&from={after}&block_ms={wait_ms}"), vec![])
            }
        }
    }

    /// Reads the answer to this call; what makes no sense counts as unknown.
    pub fn answer(&self, status: u16, body: &[u8]) -> StateAnswer {
        fn read<'a, T: Deserialize<'a>>(body: &'a [u8], make: impl FnOnce(T) -> StateAnswer) -> StateAnswer {
            serde_json::from_slice(body).map_or(StateAnswer::Unknown, make)
        }
        match (self, status) {
            (_, 429 | 503) => StateAnswer::Refused,
            (StateCall::Get { .. }, 200) => read(body, StateAnswer::Found),
            (StateCall::Get { .. }, 404) => read(body, |done: TransactionResult| StateAnswer::Missing(done.revision)),
            (StateCall::List { .. }, 200) => read(body, StateAnswer::Page),
            (StateCall::Transaction(_), 200) => {
                read(body, |done: TransactionResult| StateAnswer::Committed(done.revision))
            }
            (StateCall::Transaction(_), 409) => {
                read(body, |done: TransactionResult| StateAnswer::Conflict(done.failed))
            }
            (StateCall::Transaction(_), 400) => {
                let text = String::from_utf8_lossy(body);
                if text.contains("no such lease") {
                    StateAnswer::LeaseGone
                } else {
                    StateAnswer::Rejected(text.chars().take(200).collect())
                }
            }
            (StateCall::Grant { .. }, 200 | 201) => {
                read(body, |granted: LeaseGranted| StateAnswer::Granted(granted.lease))
            }
            (StateCall::Renew { .. }, 200) => StateAnswer::Renewed,
            (StateCall::Renew { .. }, 404) => StateAnswer::LeaseGone,
            (StateCall::Watch { .. }, 200) => read(body, StateAnswer::WatchEvents),
            (StateCall::Watch { .. }, 410) => StateAnswer::TooOld,
            (_, 400) => StateAnswer::Rejected(String::from_utf8_lossy(body).chars().take(200).collect()),
            _ => StateAnswer::Unknown,
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
