//! Serves the simulated cluster's store over HTTP with the API of the platform's store.

#[path = "../simulator/store.rs"]
mod store;

use super::serve;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use store::SimulatedStore;
use tillercleat::protocol::state::{StoreRequest, StoreResponse, Transaction, WatchEvent};
use tillercleat::units::{LeaseId, Revision};

/// Interval at which a blocked watch polls for events.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Value of a query parameter of a path.
fn query(path: &str, name: &str) -> Option<String> {
    let pairs = path.split_once('?')?.1.split('&');
    pairs.filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v.to_string())
}

/// Parses an HTTP call into a store request.
fn parse_request(method: &str, path: &str, body: &Value) -> StoreRequest {
    let number = |name: &str| query(path, name).and_then(|v| v.parse().ok()).unwrap_or(0);
    match (method, path) {
        ("POST", "/txn") => {
            StoreRequest::Transaction(serde_json::from_value::<Transaction>(body.clone()).expect("a transaction"))
        }
        ("POST", "/leases") => StoreRequest::GrantLease { ttl_ms: body["ttl_ms"].as_u64().expect("a length") },
        ("POST", _) => {
            let lease = path.split('/').nth(2).and_then(|l| l.parse().ok()).expect("a lease");
            StoreRequest::RenewLease { lease: LeaseId(lease) }
        }
        _ if path.starts_with("/changes") => StoreRequest::Watch {
            prefix: query(path, "starts").unwrap_or_default(),
            after: Revision(number("from")),
            wait_ms: number("block_ms"),
        },
        _ if path.starts_with("/kv?") => {
            StoreRequest::List { prefix: query(path, "starts").unwrap_or_default(), after: query(path, "from") }
        }
        _ => StoreRequest::Get { key: path.trim_start_matches("/kv/").to_string() },
    }
}

/// HTTP status and body of a store response.
fn to_http(response: StoreResponse) -> (u16, Value) {
    match response {
        StoreResponse::Found(item) => (200, serde_json::to_value(item).expect("json")),
        StoreResponse::Missing(at) => (404, json!({ "logline": at })),
        StoreResponse::Page(page) => {
            (200, json!({"rows": page.items, "truncated": page.truncated, "logline": page.revision}))
        }
        StoreResponse::Committed(at) => (200, json!({ "logline": at })),
        StoreResponse::Conflict(failed) => (409, json!({"failed": failed, "logline": 1})),
        StoreResponse::LeaseGranted(lease) => (200, json!({ "mooring": lease })),
        StoreResponse::LeaseRenewed => (200, json!({})),
        StoreResponse::WatchEvents(news) => {
            let events: Vec<Value> = news
                .events
                .into_iter()
                .map(|event| match event {
                    WatchEvent::Put { key, value, version } => json!({"put": key, "data": value, "stamp": version}),
                    WatchEvent::Delete { key, version } => json!({"drop": key, "stamp": version}),
                })
                .collect();
            (200, json!({"logline": news.revision, "news": events}))
        }
        StoreResponse::LeaseGone => (404, json!({"error": "no such lease"})),
        other => panic!("not served: {other:?}"),
    }
}

/// Serves a new store on a free port.
pub fn store_service() -> SocketAddr {
    let store = Mutex::new(SimulatedStore::default());
    let started = Instant::now();
    serve(move |method, path, body| {
        let request = parse_request(method, path, body);
        let wait = if let StoreRequest::Watch { wait_ms, .. } = request { wait_ms } else { 0 };
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let now = started.elapsed().as_millis() as u64;
            let response = store.lock().expect("no thread panics with the lock").execute(now, request.clone());
            let no_news = matches!(&response, StoreResponse::WatchEvents(news) if news.events.is_empty());
            if !no_news || Instant::now() >= until {
                return to_http(response);
            }
            std::thread::sleep(WATCH_POLL_INTERVAL);
        }
    })
}
