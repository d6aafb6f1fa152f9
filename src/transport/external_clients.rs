//! Clients of the store and the cloud. A few threads, each with one connection, execute the core's calls
//! and send the results to the event loop. Every call has a deadline. Failed calls are not retried here:
//! only the core knows whether a retry is safe.

use super::events::{Event, EventSender};
use super::http::{Client, HttpError};
use crate::coordination::{CloudCall, CloudResponse, Input};
use crate::protocol::cloud::{MachineIds, MAX_MACHINES_PER_PAGE};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::CallId;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Stack size of each client thread.
const STACK_BYTES: usize = 256 * 1024;

/// Deadline of a call to the store; the wait time of a watch is added to it.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Deadline of a call to the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of calls of one pool that wait for a thread; further calls are refused.
const MAX_QUEUED_CALLS: usize = 256;

/// Number of threads for calls to the store other than watches and lease calls.
const STORE_CALL_THREADS: usize = 3;

/// Number of threads of all pools: watches, leases, other calls to the store, and the cloud.
pub const THREADS: usize = 1 + 1 + STORE_CALL_THREADS + 1;

/// A call that waits for a thread of its pool.
struct QueuedCall<C> {
    id: CallId,
    call: C,
}

/// Executes one call and returns the result as an input for the core.
type ExecuteCall<C> = fn(&mut Client, CallId, &C) -> Input;

/// Threads that share one bounded queue of calls.
struct CallPool<C> {
    queue: SyncSender<QueuedCall<C>>,
}

impl<C: Send + 'static> CallPool<C> {
    fn start(
        name: &str,
        threads: usize,
        events: &EventSender,
        server: SocketAddr,
        execute: ExecuteCall<C>,
    ) -> io::Result<Self> {
        let (queue, calls) = sync_channel(MAX_QUEUED_CALLS);
        let calls = Arc::new(Mutex::new(calls));
        for _ in 0..threads {
            let (calls, events) = (Arc::clone(&calls), events.clone());
            std::thread::Builder::new()
                .name(name.into())
                .stack_size(STACK_BYTES)
                .spawn(move || serve_calls(&calls, &events, server, execute))?;
        }
        Ok(CallPool { queue })
    }

    /// Queues a call. Returns false if the queue is full; the call is not executed then.
    fn call(&self, id: CallId, call: C) -> bool {
        self.queue.try_send(QueuedCall { id, call }).is_ok()
    }
}

/// Executes calls until the event loop has ended.
fn serve_calls<C>(
    calls: &Mutex<Receiver<QueuedCall<C>>>,
    events: &EventSender,
    server: SocketAddr,
    execute: ExecuteCall<C>,
) {
    let mut client = Client::new(server);
    loop {
        // The lock is held while this thread waits for a call, so the pool's other threads wait for the
        // lock. It is released before the call is executed.
        let next = calls.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(QueuedCall { id, call }) = next else { return };
        if events.send(Event::Input(execute(&mut client, id, &call))).is_err() {
            return;
        }
    }
}

/// Sends the event loop's calls to the store and the cloud.
pub struct ExternalClients {
    watches: CallPool<StoreRequest>,
    leases: CallPool<StoreRequest>,
    store_calls: CallPool<StoreRequest>,
    cloud_calls: CallPool<CloudCall>,
}

impl ExternalClients {
    /// Starts the threads. Each one connects when it executes its first call.
    ///
    /// # Errors
    ///
    /// If a thread can't be started.
    pub fn start(events: &EventSender, store: SocketAddr, cloud: SocketAddr) -> io::Result<Self> {
        Ok(ExternalClients {
            watches: CallPool::start("store-watch", 1, events, store, call_store)?,
            leases: CallPool::start("store-lease", 1, events, store, call_store)?,
            store_calls: CallPool::start("store-calls", STORE_CALL_THREADS, events, store, call_store)?,
            cloud_calls: CallPool::start("cloud", 1, events, cloud, call_cloud)?,
        })
    }

    /// Queues a call to the store. Watches and leases have their own threads, so that other calls do not
    /// delay them. Returns an input for the core if the call was refused.
    pub fn call_store(&self, id: CallId, call: StoreRequest) -> Option<Input> {
        let pool = match call {
            StoreRequest::Watch { .. } => &self.watches,
            StoreRequest::GrantLease { .. } | StoreRequest::RenewLease { .. } => &self.leases,
            _ => &self.store_calls,
        };
        (!pool.call(id, call)).then_some(Input::Store(id, StoreResponse::Unavailable))
    }

    /// Queues a call to the cloud. Returns an input for the core if the call was refused.
    pub fn call_cloud(&self, id: CallId, call: CloudCall) -> Option<Input> {
        (!self.cloud_calls.call(id, call)).then_some(Input::Cloud(id, CloudResponse::Failed))
    }
}

fn call_store(client: &mut Client, id: CallId, call: &StoreRequest) -> Input {
    let answer = send_store_call(client, call).unwrap_or_else(|error| {
        tracing::debug!(%error, "call to the store failed");
        StoreResponse::Unknown
    });
    Input::Store(id, answer)
}

/// Sends one call to the store and waits for its response.
///
/// # Errors
///
/// If no response arrives before the deadline; the store may still execute the call.
pub fn send_store_call(client: &mut Client, call: &StoreRequest) -> Result<StoreResponse, HttpError> {
    let (method, path, body) = call.to_http();
    let timeout = match call {
        StoreRequest::Watch { wait_ms, .. } => STORE_TIMEOUT + Duration::from_millis(*wait_ms),
        _ => STORE_TIMEOUT,
    };
    let (status, body) = client.call(method, &path, &body, timeout)?;
    Ok(call.parse_response(status, &body))
}

fn call_cloud(client: &mut Client, id: CallId, call: &CloudCall) -> Input {
    let CloudRequest { method, path, body } = cloud_request(call);
    let answer = match client.call(method, &path, &body, CLOUD_TIMEOUT) {
        Ok((status, body)) => read_cloud_response(call, status, &body),
        Err(error) => {
            tracing::debug!(%error, "call to the cloud failed");
            CloudResponse::Failed
        }
    };
    Input::Cloud(id, answer)
}

/// The HTTP request for a call to the cloud.
struct CloudRequest {
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

impl CloudRequest {
    fn get(path: String) -> CloudRequest {
        CloudRequest { method: "GET", path, body: vec![] }
    }

    fn post(path: &str, body: &impl Serialize) -> CloudRequest {
        let body = serde_json::to_vec(body).expect("a struct of strings and numbers always has a JSON form");
        CloudRequest { method: "POST", path: path.into(), body }
    }
}

fn cloud_request(call: &CloudCall) -> CloudRequest {
    match call {
        CloudCall::Catalog => CloudRequest::get("/catalog".into()),
        CloudCall::List { after } => {
            let from = after.as_ref().map(|machine| format!("from={machine}&")).unwrap_or_default();
            CloudRequest::get(format!("/rentals?{from}limit={MAX_MACHINES_PER_PAGE}"))
        }
        CloudCall::Rent(request) => CloudRequest::post("/rentals", request),
        CloudCall::Return(names) => CloudRequest::post("/rentals/return", &MachineIds { machines: names.clone() }),
    }
}

fn read_cloud_response(call: &CloudCall, status: u16, body: &[u8]) -> CloudResponse {
    match status {
        200 => parse_cloud_body(call, body).unwrap_or_else(|error| {
            tracing::warn!(%error, "failed to parse a response from the cloud");
            CloudResponse::Failed
        }),
        503 if String::from_utf8_lossy(body).contains("no capacity") => CloudResponse::NoCapacity,
        _ => {
            tracing::debug!(status, "the cloud rejected a call");
            CloudResponse::Failed
        }
    }
}

fn parse_cloud_body(call: &CloudCall, body: &[u8]) -> Result<CloudResponse, serde_json::Error> {
    match call {
        CloudCall::Catalog => serde_json::from_slice(body).map(CloudResponse::Catalog),
        CloudCall::List { .. } => serde_json::from_slice(body).map(CloudResponse::Page),
        CloudCall::Rent(_) => serde_json::from_slice(body).map(CloudResponse::Rented),
        CloudCall::Return(_) => Ok(CloudResponse::Returned),
    }
}
