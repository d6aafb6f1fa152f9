//! A checksum of everything that the controllers' cores send, in wire form. It does not depend on
//! Rust names, so renaming or moving code leaves it unchanged, while any changed decision changes
//! it. It covers the status of error answers but not their wording. The words written before each
//! output here are part of the recorded checksums and must never change.

use prost::Message;
use std::hash::Hasher;
use tillercleat::coordination::{CloudCall, Output, Response};
use tillercleat::protocol::users::JobStatus;
use tillercleat::protocol::workers::HeartbeatResponse;

/// FNV-1a, which gives the same result in every process and Rust version.
#[derive(Debug, Clone, Copy)]
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// The running checksum and the number of inputs and outputs that it covers.
#[derive(Debug, Clone, Copy)]
pub struct Trace {
    checksum: Fnv,
    pub inputs: u64,
    pub outputs: u64,
}

impl Default for Trace {
    fn default() -> Self {
        Trace { checksum: Fnv(0xcbf2_9ce4_8422_2325), inputs: 0, outputs: 0 }
    }
}

impl Trace {
    /// Adds the outputs of a node for one input at the time `now` (milliseconds).
    pub fn add(&mut self, now: u64, node: usize, outputs: &[Output]) {
        self.inputs += 1;
        for output in outputs {
            self.outputs += 1;
            self.checksum.write(format!("{now} {node} ").as_bytes());
            self.checksum.write(&wire_form(output));
        }
    }

    /// Returns the checksum of all outputs so far.
    pub fn checksum(&self) -> u64 {
        self.checksum.finish()
    }
}

/// Returns a message in JSON.
fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("a message serializes to JSON")
}

/// Returns an output as the transport writes it, prefixed with a word for its kind.
fn wire_form(output: &Output) -> Vec<u8> {
    match output {
        Output::Store(call, request) => {
            let (method, path, body) = request.to_http();
            [format!("state {call} {method} {path} ").as_bytes(), &body].concat()
        }
        Output::Cloud(call, request) => {
            let request = match request {
                CloudCall::Catalog => "catalog".to_string(),
                CloudCall::List { after } => format!("list {}", json(after)),
                CloudCall::Rent(request) => format!("rent {}", json(request)),
                CloudCall::Return(machines) => format!("return {}", json(machines)),
            };
            format!("cloud {call} {request}").into_bytes()
        }
        Output::Response(request, response) => format!("reply {request} {}", response_form(response)).into_bytes(),
        Output::BroadcastStatus(status) => [b"tell ".as_slice(), &status.encode_to_vec()].concat(),
        Output::RevisionHint(revision) => format!("nudge {revision}").into_bytes(),
    }
}

/// Returns a response as the transport writes it, without the wording of errors.
fn response_form(response: &Response) -> String {
    match response {
        Response::Healthy => "up".into(),
        Response::Job { status, id, state, progress } => {
            let (done, running) = progress.map(|tasks| (tasks.done, tasks.running)).unzip();
            format!("job {} {}", status.http_status(), json(&JobStatus { id, state: *state, done, running }))
        }
        Response::Error(refusal) => {
            format!("problem {} {}", refusal.http_status(), json(&refusal.retry_after_s()))
        }
        Response::Commands { token, commands } => {
            format!("commands {}", json(&HeartbeatResponse { token: *token, commands }))
        }
        Response::Redirect(node) => format!("elsewhere {}", json(node)),
    }
}
