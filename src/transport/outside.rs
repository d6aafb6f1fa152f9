//! Callers of the state service and the cloud: a few threads with a queue.

use super::events::Event;
use super::http::Client;
use crate::coordination::{CloudAnswer, CloudCall, Input};
use crate::protocol::cloud::{MachineIds, LIST_LIMIT};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::CallId;
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const STACK: usize = 256 * 1024;
const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);
const QUEUE: usize = 256;

/// Threads for watching, for leases, for other calls on the state service, and
/// for the cloud.
const STATE_THREADS: usize = 3;
pub const THREADS: usize = 1 + 1 + STATE_THREADS + 1;

/// A queue of calls; one that is full refuses them.
pub struct Caller<T> {
    queue: SyncSender<(CallId, T)>,
}

impl<T: Send + 'static> Caller<T> {
    fn new(
        threads: usize,
        engine: &SyncSender<Event>,
        addr: SocketAddr,
        carry_out: fn(&mut Client, &T) -> InputFor,
    ) -> std::io::Result<Self> {
        let (queue, calls) = sync_channel(QUEUE);
        let calls: Arc<Mutex<Receiver<(CallId, T)>>> = Arc::new(Mutex::new(calls));
        for _ in 0..threads {
            let (calls, engine) = (calls.clone(), engine.clone());
            std::thread::Builder::new().stack_size(STACK).spawn(move || {
                let mut client = Client::new(addr);
                loop {
                    let next = calls.lock().map(|calls| calls.recv());
                    let Ok(Ok((id, call))) = next else { return };
                    let input = carry_out(&mut client, &call)(id);
                    if engine.send(Event::Input(input)).is_err() {
                        return;
                    }
                }
            })?;
        }
        Ok(Caller { queue })
    }

    /// Queues a call; false if there are too many already.
    pub fn call(&self, id: CallId, call: T) -> bool {
        self.queue.try_send((id, call)).is_ok()
    }
}

type InputFor = Box<dyn FnOnce(CallId) -> Input>;

fn state_call(client: &mut Client, call: &StoreRequest) -> InputFor {
    let (method, path, body) = call.to_http();
    let timeout = match call {
        StoreRequest::Watch { wait_ms, .. } => STATE_TIMEOUT + Duration::from_millis(*wait_ms),
        _ => STATE_TIMEOUT,
    };
    let answer = match client.call(method, &path, &body, timeout) {
        Ok((status, body)) => call.parse_response(status, &body),
        Err(error) => {
            tracing::debug!("no answer from the state service: {error}");
            StoreResponse::Unknown
        }
    };
    Box::new(move |id| Input::State(id, answer))
}

fn cloud_call(client: &mut Client, call: &CloudCall) -> InputFor {
    let json = |value: Result<Vec<u8>, serde_json::Error>| value.unwrap_or_default();
    let (method, path, body) = match call {
        CloudCall::Catalog => ("GET", "/catalog".to_string(), vec![]),
        CloudCall::List { after } => {
            let from = after.as_ref().map(|a| format!("from={a}&")).unwrap_or_default();
            ("GET", format!("/rentals?{from}limit={LIST_LIMIT}"), vec![])
        }
        CloudCall::Rent(request) => ("POST", "/rentals".into(), json(serde_json::to_vec(request))),
        CloudCall::Return(names) => {
            let names = MachineIds { machines: names.clone() };
            ("POST", "/rentals/return".into(), json(serde_json::to_vec(&names)))
        }
    };
    let answer = match client.call(method, &path, &body, CLOUD_TIMEOUT) {
        Ok((200, body)) => match call {
            CloudCall::Catalog => serde_json::from_slice(&body).map(CloudAnswer::Catalog),
            CloudCall::List { .. } => serde_json::from_slice(&body).map(CloudAnswer::Page),
            CloudCall::Rent(_) => serde_json::from_slice(&body).map(CloudAnswer::Rented),
            CloudCall::Return(_) => Ok(CloudAnswer::Returned),
        }
        .unwrap_or_else(|error| {
            tracing::warn!("the cloud's answer makes no sense: {error}");
            CloudAnswer::Failed
        }),
        Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => CloudAnswer::NoCapacity,
        Ok((status, _)) => {
            tracing::debug!("the cloud answers {status}");
            CloudAnswer::Failed
        }
        Err(error) => {
            tracing::debug!("no answer from the cloud: {error}");
            CloudAnswer::Failed
        }
    };
    Box::new(move |id| Input::Cloud(id, answer))
}

/// Everything outside that the core calls on.
pub struct Outside {
    watch: Caller<StoreRequest>,
    lease: Caller<StoreRequest>,
    state: Caller<StoreRequest>,
    cloud: Caller<CloudCall>,
}

impl Outside {
    pub fn new(engine: &SyncSender<Event>, state: SocketAddr, cloud: SocketAddr) -> std::io::Result<Self> {
        Ok(Outside {
            watch: Caller::new(1, engine, state, state_call)?,
            lease: Caller::new(1, engine, state, state_call)?,
            state: Caller::new(STATE_THREADS, engine, state, state_call)?,
            cloud: Caller::new(1, engine, cloud, cloud_call)?,
        })
    }

    /// Watches and leases have callers of their own, so that nothing holds
    /// them up. What finds its queue full was not carried out.
    pub fn state(&self, id: CallId, call: StoreRequest) -> Option<Input> {
        let caller = match call {
            StoreRequest::Watch { .. } => &self.watch,
            StoreRequest::GrantLease { .. } | StoreRequest::RenewLease { .. } => &self.lease,
            _ => &self.state,
        };
        (!caller.call(id, call)).then_some(Input::State(id, StoreResponse::Unavailable))
    }

    pub fn cloud(&self, id: CallId, call: CloudCall) -> Option<Input> {
        (!self.cloud.call(id, call)).then_some(Input::Cloud(id, CloudAnswer::Failed))
    }
}
