//! A worker on loopback: it sends heartbeats to a node, moves on to the next node when that fails,
//! and executes the commands in the answers. A `TaskRunner` of the test runs the tasks.

use super::SECOND;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tillercleat::transport::http::Client;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the tasks of a worker.
pub trait TaskRunner {
    type Task;

    /// Starts the named task; `None` if it can't start now, in which case the owner retries.
    fn start(&mut self, name: &str) -> Option<Self::Task>;

    fn stop(&mut self, task: &mut Self::Task);

    /// Wire name of the task's exit reason; `None` while the task runs.
    fn exit_reason(&self, task: &Self::Task) -> Option<&'static str>;
}

/// Name and address of a machine, as its worker reports them.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub address: String,
}

/// A task that the worker started and was not told to forget.
struct StartedTask<T> {
    attempt: u64,
    task: T,
}

/// Runs a worker until `gone` is set, then stops its tasks.
pub fn run_worker<R: TaskRunner>(machine: &Machine, nodes: &[SocketAddr], runner: &mut R, gone: &AtomicBool) {
    let mut tasks: BTreeMap<String, StartedTask<R::Task>> = BTreeMap::new();
    let (mut token, mut node) = (0, 0);
    let mut client = Client::new(nodes[0]);
    for number in 1u64.. {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        if gone.load(Ordering::SeqCst) {
            break;
        }
        let heartbeat = heartbeat(machine, number, token, &tasks, runner);
        let answer = client.call("POST", "/hello", heartbeat.to_string().as_bytes(), SECOND);
        let Ok((200, body)) = answer else {
            node = (node + 1) % nodes.len();
            client = Client::new(nodes[node]);
            continue;
        };
        let body: Value = serde_json::from_slice(&body).expect("an answer in JSON");
        let answered = body["helm"].as_u64().expect("a token");
        if answered < token {
            continue;
        }
        token = answered;
        for command in body["calls"].as_array().into_iter().flatten() {
            execute(command, &mut tasks, runner);
        }
    }
    tasks.values_mut().for_each(|started| runner.stop(&mut started.task));
}

fn heartbeat<R: TaskRunner>(
    machine: &Machine,
    number: u64,
    token: u64,
    tasks: &BTreeMap<String, StartedTask<R::Task>>,
    runner: &R,
) -> Value {
    let status = |(name, started): (&String, &StartedTask<R::Task>)| match runner.exit_reason(&started.task) {
        Some(cause) => json!({"load": name, "cast": started.attempt, "trim": "ended", "cause": cause}),
        None => json!({"load": name, "cast": started.attempt, "trim": "running"}),
    };
    let loads: Vec<Value> = tasks.iter().map(status).collect();
    json!({"deck": machine.name, "endpoint": machine.address, "hull": "m", "berth": "a", "driftwood": false,
        "watch": 1, "tally": number, "helm": token, "recall_s": null, "loads": loads})
}

fn execute<R: TaskRunner>(command: &Value, tasks: &mut BTreeMap<String, StartedTask<R::Task>>, runner: &mut R) {
    let name = command["load"].as_str().expect("a task").to_string();
    match command["call"].as_str() {
        Some("start") if tasks.contains_key(&name) => {}
        Some("start") => {
            if let Some(task) = runner.start(&name) {
                let attempt = command["cast"].as_u64().expect("an attempt");
                tasks.insert(name, StartedTask { attempt, task });
            }
        }
        Some("kill") => {
            if let Some(started) = tasks.get_mut(&name) {
                runner.stop(&mut started.task);
            }
        }
        _ => drop(tasks.remove(&name)),
    }
}

/// Runs tasks that finish after a fixed time.
pub struct TimedTasks(pub Duration);

/// A task that finishes after a fixed time unless it is stopped.
pub struct TimedTask {
    started: Instant,
    stopped: bool,
}

impl TaskRunner for TimedTasks {
    type Task = TimedTask;

    fn start(&mut self, _: &str) -> Option<TimedTask> {
        Some(TimedTask { started: Instant::now(), stopped: false })
    }

    fn stop(&mut self, task: &mut TimedTask) {
        task.stopped = true;
    }

    fn exit_reason(&self, task: &TimedTask) -> Option<&'static str> {
        if task.stopped {
            return Some("halted");
        }
        (task.started.elapsed() > self.0).then_some("done")
    }
}
