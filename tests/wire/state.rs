//! Golden tests of the requests to the state service and the parsing of its responses.

use super::assert_golden;
use serde_json::json;
use tillercleat::protocol::state::{Change, Condition, Item, StoreRequest, StoreResponse, Transaction, WatchEvent};
use tillercleat::units::{LeaseId, Revision};

/// One call of each kind, with its name in the golden files.
fn calls() -> [(&'static str, StoreRequest); 8] {
    let condition = |key: &str, version| Condition { key: key.into(), version: Revision(version) };
    let changes = vec![
        Change::put("t/j/wk-1".into(), json!({"spec": {"b": 1.0, "a": null}, "at": 4000})),
        Change::put_leased("t/n/n1".into(), json!({"lease": 7}), LeaseId(7)),
        Change::delete("t/w/0/n1".into()),
    ];
    let transaction = Transaction { conditions: vec![condition("t/l", 41), condition("t/j/wk-1", 0)], changes };
    let (prefix, after) = ("t/".to_string(), Some("t/j/wk-000412".to_string()));
    [
        ("get", StoreRequest::Get { key: "t/s/wk-000412/3".into() }),
        ("list", StoreRequest::List { prefix: prefix.clone(), after: None }),
        ("list on", StoreRequest::List { prefix: prefix.clone(), after }),
        ("empty txn", StoreRequest::Transaction(Transaction::default())),
        ("txn", StoreRequest::Transaction(transaction)),
        ("lease", StoreRequest::GrantLease { ttl_ms: 5000 }),
        ("renew", StoreRequest::RenewLease { lease: LeaseId(7) }),
        ("watch", StoreRequest::Watch { prefix, after: Revision(41), wait_ms: 1000 }),
    ]
}

fn row(item: &Item) -> String {
    format!("{}={}@{}", item.key, item.value, item.version)
}

fn event(event: &WatchEvent) -> String {
    match event {
        WatchEvent::Put { key, value, version } => format!("put {key}={value}@{version}"),
        WatchEvent::Delete { key, version } => format!("drop {key}@{version}"),
    }
}

/// Describes a parsed response in fixed text that does not depend on identifiers in the code.
fn outcome(answer: &StoreResponse) -> String {
    match answer {
        StoreResponse::Found(item) => format!("a row {}", row(item)),
        StoreResponse::Missing(revision) => format!("no row as of {revision}"),
        StoreResponse::Page(page) => {
            let rows: Vec<String> = page.items.iter().map(row).collect();
            format!("rows {rows:?}, truncated {}, as of {}", page.truncated, page.revision)
        }
        StoreResponse::Committed(revision) => format!("applied at {revision}"),
        StoreResponse::Conflict(keys) => format!("not applied because of {keys:?}"),
        StoreResponse::LeaseGranted(lease) => format!("lease {lease}"),
        StoreResponse::LeaseRenewed => "the lease goes on".into(),
        StoreResponse::LeaseGone => "the lease is gone".into(),
        StoreResponse::WatchEvents(events) => {
            let news: Vec<String> = events.events.iter().map(event).collect();
            format!("news {news:?} as of {}", events.revision)
        }
        StoreResponse::TooOld => "the watch begins too early".into(),
        StoreResponse::Unavailable => "not carried out".into(),
        StoreResponse::Invalid(why) => format!("malformed: {why}"),
        StoreResponse::Unknown => "not known".into(),
    }
}

#[test]
fn state_service_requests_keep_their_wire_format() {
    let line = |(name, call): (&str, StoreRequest)| {
        let (method, path, body) = call.to_http();
        format!("{name}: {method} {path} {}", String::from_utf8(body).expect("text"))
    };
    assert_golden("state-calls.txt", &calls().map(line));
}

#[test]
fn state_service_responses_are_parsed_as_before() {
    let row = json!({"key": "t/l", "data": {"lease": 7}, "stamp": 3});
    let full = json!({"key": "t/l", "data": {"lease": 7}, "stamp": 3, "logline": 9, "failed": ["t/a/0"], "mooring": 7,
        "rows": [row], "truncated": true, "news": [{"put": "t/l", "data": 1, "stamp": 4}], "later": 1});
    let bodies = [
        ("full", full.to_string()),
        ("bare", r#"{"logline":9,"rows":[]}"#.into()),
        ("no lease", r#"{"error":"no such lease"}"#.into()),
        ("long", "é".repeat(300)),
    ];
    let mut lines = vec![];
    for (name, call) in calls() {
        for status in [200, 201, 400, 404, 409, 410, 421, 429, 500, 503] {
            for (kind, body) in &bodies {
                let outcome = outcome(&call.parse_response(status, body.as_bytes()));
                lines.push(format!("{name}, {status}, {kind}: {outcome}"));
            }
        }
    }
    assert_golden("state-answers.txt", &lines);
}

#[test]
fn watch_events_are_parsed_as_before() {
    let events = [
        r#"{"put":"t/l","data":{"lease":7},"stamp":4}"#,
        r#"{"put":"t/l","stamp":4}"#,
        r#"{"put":"t/l","drop":null,"data":[1],"stamp":4}"#,
        r#"{"drop":"t/l","stamp":5}"#,
        r#"{"drop":"t/l","data":{"lease":7},"stamp":5}"#,
        r#"{"put":"t/l","drop":"t/l","data":1,"stamp":6}"#,
        r#"{"data":1,"stamp":6}"#,
        r#"{"put":"t/l","data":1}"#,
        r#"{"put":"t/l","data":1,"stamp":4},{"drop":"t/f","stamp":5}"#,
    ];
    let (_, watch) = calls().into_iter().last().expect("a watch");
    let line = |events: &str| {
        let body = format!(r#"{{"logline":9,"news":[{events}]}}"#);
        format!("{events}: {}", outcome(&watch.parse_response(200, body.as_bytes())))
    };
    assert_golden("state-events.txt", &events.map(line));
}
