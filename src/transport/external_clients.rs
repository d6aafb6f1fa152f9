//! Clients of the store and the cloud: a few threads, each with one connection, that carry out the core's
//! calls and send what came of them to the event loop. Every call has a deadline. No call is ever repeated
//! here: only the core knows whether that is safe.

use super::events::{Event, EventSender};
use super::http::{Client, HttpError};
use crate::coordination::{CloudAnswer, CloudCall, Input};
use crate::protocol::cloud::{MachineIds, MAX_MACHINES_PER_PAGE};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::CallId;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Stack of each thread in bytes.
const STACK: usize = 256 * 1024;

/// Deadline of a call on the store; a watch may take its own waiting time more.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Deadline of a call on the cloud.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls of one pool that may wait for a thread; more are refused.
const MAX_QUEUED_CALLS: usize = 256;

/// Threads for calls on the store that are neither watches nor about leases.
const STORE_CALL_THREADS: usize = 3;

/// Threads of all pools: for watches, leases, other calls on the store, and the cloud.
pub const THREADS: usize = 1 + 1 + STORE_CALL_THREADS + 1;

/// A call that waits for a thread.
struct QueuedCall<C> {
    id: CallId,
    call: C,
}

/// Carries out one call and says what came of it.
type CarryOut<C> = fn(&mut Client, CallId, &C) -> Input;

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
        carry_out: CarryOut<C>,
    ) -> io::Result<Self> {
        let (queue, calls) = sync_channel(MAX_QUEUED_CALLS);
        let calls = Arc::new(Mutex::new(calls));
        for _ in 0..threads {
            let (calls, events) = (Arc::clone(&calls), events.clone());
            std::thread::Builder::new()
                .name(name.into())
                .stack_size(STACK)
                .spawn(move || serve_calls(&calls, &events, server, carry_out))?;
        }
        Ok(CallPool { queue })
    }

    /// Queues a call; false if there are too many already: it will not be carried out.
    fn call(&self, id: CallId, call: C) -> bool {
        self.queue.try_send(QueuedCall { id, call }).is_ok()
    }
}

/// Carries out calls until the event loop is gone.
fn serve_calls<C>(
    calls: &Mutex<Receiver<QueuedCall<C>>>,
    events: &EventSender,
    server: SocketAddr,
    carry_out: CarryOut<C>,
) {
    let mut client = Client::new(server);
    loop {
        // Held while waiting, so that the pool's other threads queue up for the lock; not during the call.
        let next = calls.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(QueuedCall { id, call }) = next else { return };
        if events.send(Event::Input(carry_out(&mut client, id, &call))).is_err() {
            return;
        }
    }
}

/// The store and the cloud, as the event loop calls them.
pub struct ExternalClients {
    watches: CallPool<StoreRequest>,
    leases: CallPool<StoreRequest>,
    store_calls: CallPool<StoreRequest>,
    cloud_calls: CallPool<CloudCall>,
}

impl ExternalClients {
    /// Starts the threads; they connect when they are first used.
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

    /// Queues a call on the store. Watches and leases have threads of their own, so
    /// that nothing holds them up. Returns an input if the call was refused.
    pub fn call_store(&self, id: CallId, call: StoreRequest) -> Option<Input> {
        let pool = match call {
            StoreRequest::Watch { .. } => &self.watches,
            StoreRequest::GrantLease { .. } | StoreRequest::RenewLease { .. } => &self.leases,
            _ => &self.store_calls,
        };
        (!pool.call(id, call)).then_some(Input::State(id, StoreResponse::Unavailable))
    }

    /// Queues a call on the cloud. Returns an input if the call was refused.
    pub fn call_cloud(&self, id: CallId, call: CloudCall) -> Option<Input> {
        (!self.cloud_calls.call(id, call)).then_some(Input::Cloud(id, CloudAnswer::Failed))
    }
}

fn call_store(client: &mut Client, id: CallId, call: &StoreRequest) -> Input {
    let answer = send_store_call(client, call).unwrap_or_else(|error| {
        tracing::debug!(%error, "no answer from the store");
        StoreResponse::Unknown
    });
    Input::State(id, answer)
}

/// Makes one call on the store.
///
/// # Errors
///
/// If there is no answer in time; the call may be carried out all the same.
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
        Ok((status, body)) => cloud_answer(call, status, &body),
        Err(error) => {
            tracing::debug!(%error, "no answer from the cloud");
            CloudAnswer::Failed
        }
    };
    Input::Cloud(id, answer)
}

/// A call on the cloud in the form that goes over HTTP.
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

fn cloud_answer(call: &CloudCall, status: u16, body: &[u8]) -> CloudAnswer {
    match status {
        200 => parse_cloud_answer(call, body).unwrap_or_else(|error| {
            tracing::warn!(%error, "cannot read the cloud's answer");
            CloudAnswer::Failed
        }),
        503 if String::from_utf8_lossy(body).contains("no capacity") => CloudAnswer::NoCapacity,
        _ => {
            tracing::debug!(status, "the cloud refused a call");
            CloudAnswer::Failed
        }
    }
}

fn parse_cloud_answer(call: &CloudCall, body: &[u8]) -> Result<CloudAnswer, serde_json::Error> {
    match call {
        CloudCall::Catalog => serde_json::from_slice(body).map(CloudAnswer::Catalog),
        CloudCall::List { .. } => serde_json::from_slice(body).map(CloudAnswer::Page),
        CloudCall::Rent(_) => serde_json::from_slice(body).map(CloudAnswer::Rented),
        CloudCall::Return(_) => Ok(CloudAnswer::Returned),
    }
}
