//! Responses to submissions that are malformed, that can never run, or that repeat a known job.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use serde_json::{json, Value};
use simulator::{settings, ClusterConfig, SimulatedCluster, SimulatedStore};
use tillercleat::coordination::{ClientRequest, CloudCall, CloudResponse, Core, Input, Output, Response};
use tillercleat::protocol::cloud::Catalog;
use tillercleat::protocol::state::{StoreRequest, StoreResponse};
use tillercleat::protocol::users::{JobSpec, MalformedSubmission};
use tillercleat::settings::Tuning;
use tillercleat::units::{MonotonicTime, RequestId};

fn job_fields(number: usize) -> Value {
    json!({
        "ref": format!("wk-{number:06}"), "haul": "work", "crew": "blue", "rig": "array", "rank": "normal", "loads": 2,
        "cores": 1.0, "gpus": 0.0, "mem_gb": 2.0, "kit": "img", "image_gb": 0.5, "hulls": null, "berth": null,
        "one_zone": false, "apart": false, "driftwood": true, "reckon_s": 3.0, "mark_s": 0.0, "stow_s": 0.0,
        "tide_s": null
    })
}

fn parse(fields: &Value) -> Result<JobSpec, MalformedSubmission> {
    JobSpec::parse(fields.to_string().as_bytes())
}

/// All fields but the nullable ones are required. A missing `gpus` or `one_zone` used to get a
/// default value.
#[test]
fn fields_that_may_not_be_null_may_not_be_missing() {
    let all = job_fields(1);
    assert!(parse(&all).is_ok());
    for (name, value) in all.as_object().expect("fields") {
        let mut fields = all.clone();
        fields.as_object_mut().expect("fields").remove(name);
        assert_eq!(parse(&fields).is_ok(), value.is_null(), "{name} is missing");
        fields[name] = Value::Null;
        assert_eq!(parse(&fields).is_ok(), value.is_null(), "{name} is null");
        fields[name] = json!([[1]]);
        assert!(parse(&fields).is_err(), "{name} is a list of lists");
    }
}

/// Malformed bodies are rejected, and the rejection names the job if its id can be read.
#[test]
fn malformed_bodies_are_rejected_with_their_job_id_if_readable() {
    let valid_body = job_fields(1).to_string();
    let rejected_id = |body: &str| JobSpec::parse(body.as_bytes()).expect_err(body).id.map(|id| id.to_string());
    let duplicate_cores = valid_body.replacen('{', r#"{"cores":1.0,"#, 1);
    let deeply_nested = valid_body.replacen("null", &format!("{}{}", "[".repeat(5000), "]".repeat(5000)), 1);
    for body in
        ["", "nonsense", "[]", "7", "[[[", "null", &valid_body[..valid_body.len() - 1], &format!("{valid_body}x")]
    {
        assert_eq!(rejected_id(body), None, "{body:.80}");
    }
    assert_eq!(rejected_id(&valid_body.replacen('{', r#"{"ref":"wk-000002","#, 1)), None, "two ids");
    assert_eq!(rejected_id(&valid_body.replace("wk-000001", "../x")), None);
    assert_eq!(rejected_id(&deeply_nested).as_deref(), Some("wk-000001"), "nested too deeply");
    let invalid = [
        ("loads", json!(0)),
        ("loads", json!(100_001)),
        ("loads", json!(-1)),
        ("loads", json!(2.5)),
        ("cores", json!(-1.0)),
        ("cores", json!("2")),
        ("mem_gb", json!(1e12)),
        ("rank", json!("urgent")),
        ("rig", json!("heap")),
        ("crew", json!("")),
        ("tide_s", json!(-5.0)),
        ("awaits", json!([5])),
    ];
    for (name, value) in invalid {
        let mut fields = job_fields(1);
        fields[name] = value.clone();
        assert_eq!(rejected_id(&fields.to_string()).as_deref(), Some("wk-000001"), "{name}: {value}");
    }
    assert_eq!(rejected_id(&duplicate_cores).as_deref(), Some("wk-000001"), "cores given twice");
}

/// A controller that has read the records and the catalog, with its simulated store.
struct Node {
    core: Core,
    store: SimulatedStore,
    /// If false, the store answers requests with `Unavailable`.
    store_reachable: bool,
    /// If false, watch requests get no answer: the node does not see the writes of other nodes.
    watch_open: bool,
    now: u64,
    requests: u64,
}

impl Node {
    fn new(config: &ClusterConfig) -> Node {
        let store = SimulatedStore::with_sizes(50, 8192, 12);
        let core = Core::new(settings(config, 0, 10.0), Tuning::default());
        let mut node = Node { core, store, store_reachable: true, watch_open: true, now: 1, requests: 0 };
        (0..100).for_each(|_| drop(node.step(Input::Tick, config)));
        node
    }

    /// Handles an input and the answers to all store and cloud requests that result. Returns the
    /// responses to users.
    fn step(&mut self, input: Input, config: &ClusterConfig) -> Vec<(RequestId, Response)> {
        self.now += 50;
        let mut next = vec![input];
        let mut responses = vec![];
        while let Some(input) = next.pop() {
            for output in self.core.handle(MonotonicTime(self.now), 1_000_000, input) {
                match output {
                    Output::Response(id, response) => responses.push((id, response)),
                    Output::Store(_, StoreRequest::Watch { .. }) if !self.watch_open => {}
                    Output::Store(id, _) if !self.store_reachable => {
                        next.push(Input::Store(id, StoreResponse::Unavailable))
                    }
                    Output::Store(id, call) => next.push(Input::Store(id, self.store.execute(self.now, call))),
                    Output::Cloud(id, CloudCall::Catalog) => {
                        let catalog = Catalog { types: config.machine_types.clone() };
                        next.push(Input::Cloud(id, CloudResponse::Catalog(catalog)));
                    }
                    _ => {}
                }
            }
        }
        responses
    }

    /// Submits a job and returns the HTTP status of the response.
    fn submit(&mut self, body: &Value, config: &ClusterConfig) -> u16 {
        let request = match parse(body) {
            Ok(spec) => ClientRequest::Submit(Box::new(spec)),
            Err(MalformedSubmission { id: Some(id), reason }) => ClientRequest::Malformed { id, reason },
            Err(MalformedSubmission { id: None, .. }) => return 400,
        };
        self.requests += 1;
        let id = RequestId(self.requests);
        let mut responses = self.step(Input::ClientRequest(id, request), config);
        // A response that needs a read of the store takes a few ticks.
        (0..8).for_each(|_| responses.extend(self.step(Input::Tick, config)));
        let response = responses.into_iter().find(|(answered, _)| *answered == id).expect("an answer").1;
        match response {
            Response::Job { status, .. } => status.http_status(),
            Response::Error(refusal) => refusal.http_status(),
            other => panic!("{other:?}"),
        }
    }
}

fn without_field(mut fields: Value, name: &str) -> Value {
    fields.as_object_mut().expect("fields").remove(name);
    fields
}

fn with_fields(mut fields: Value, change: &Value) -> Value {
    for (name, value) in change.as_object().expect("fields") {
        fields[name] = value.clone();
    }
    fields
}

/// A repeated submission of a job that another node accepted got 422 or 400 from a node whose
/// records lagged behind.
#[test]
fn repeated_submissions_of_known_jobs_get_200_even_if_invalid() {
    let config = ClusterConfig::small();
    // A record that an earlier version accepted; the node has not seen it.
    let record = json!({"spec": without_field(job_fields(7), "gpus"), "at": 5, "plan": {"size": 16, "parts": [0]}});
    let archived_job = json!({"end": "done", "tasks": 2});
    let lagging_node = || {
        let mut node = Node::new(&config);
        node.watch_open = false;
        node.store.revision += 2;
        let revision = node.store.revision;
        node.store.insert_without_event("t/j/wk-000007", record.clone(), revision - 1);
        node.store.insert_without_event("f/wk-000008", archived_job.clone(), revision);
        node
    };
    let bodies = |number| {
        [
            without_field(job_fields(number), "gpus"),
            with_fields(job_fields(number), &json!({"mem_gb": 4000.0})),
            job_fields(number),
        ]
    };
    let mut node = lagging_node();
    for body in bodies(7).iter().chain(&bodies(8)) {
        node = lagging_node();
        assert_eq!(node.submit(body, &config), 200, "{body}");
    }
    // A job that was never accepted is rejected, but only after a read of the store.
    let rejected = [(0, 400), (1, 422)];
    for (at, status) in rejected {
        assert_eq!(node.submit(&bodies(9)[at], &config), status);
    }
    node.store_reachable = false;
    for (at, _) in rejected {
        assert_eq!(node.submit(&bodies(9)[at], &config), 503);
        assert_eq!(node.submit(&bodies(8)[at], &config), 200, "an archived job is known without a read");
    }
}

/// One machine type in one zone must meet all requirements of a task, and all replicas of a
/// service must fit at the same time.
#[test]
fn jobs_that_can_never_run_are_rejected_on_submission() {
    let mut config = ClusterConfig { teams: json!([{"name": "blue", "cpus_max": 10.0}]), ..ClusterConfig::small() };
    let mut large = config.machine_types[0].clone();
    (large.name, large.gpus, large.mem_gb, large.zones, large.cpus) = ("g2".into(), 2.0, 16.0, vec!["b".into()], 16.0);
    config.machine_types.push(large);
    let mut node = Node::new(&config);
    let service = json!({"rig": "standing", "reckon_s": 0.0});
    let cases = [
        (json!({}), 201),
        (json!({"crew": "nobody"}), 422),
        (json!({"hulls": []}), 422),
        (json!({"hulls": ["g2", "z9"], "gpus": 2.0}), 201),
        (json!({"gpus": 2.0, "mem_gb": 20.0}), 422),
        (json!({"gpus": 1.0, "berth": "a"}), 422),
        (json!({"gpus": 1.0, "berth": "b"}), 201),
        (json!({"berth": "c"}), 422),
        (json!({"cores": 12.0}), 422),
        (json!({"cores": 6.0, "loads": 50}), 201),
        // Tasks of an array may run one after the other.
        (json!({"apart": true, "one_zone": true, "loads": 9}), 201),
        (json!({"apart": true, "berth": "a", "loads": 9}), 201),
    ];
    let services = [
        (json!({"loads": 10}), 201),
        (json!({"loads": 11}), 422),
        (json!({"apart": true, "loads": 3}), 201),
        (json!({"apart": true, "one_zone": true, "loads": 3}), 422),
        (json!({"apart": true, "berth": "a", "loads": 2}), 422),
        (json!({"apart": true, "berth": "a", "loads": 1}), 201),
        (json!({"apart": true, "gpus": 1.0, "loads": 2}), 422),
    ];
    let all = cases
        .into_iter()
        .chain(services.into_iter().map(|(change, status)| (with_fields(service.clone(), &change), status)));
    for (number, (change, status)) in all.enumerate() {
        assert_eq!(node.submit(&with_fields(job_fields(number), &change), &config), status, "{change}");
    }
}

/// Generates field values that replace those of a valid job.
fn job_changes() -> impl Strategy<Value = Value> {
    let zone = prop_oneof![Just(Value::Null), Just(json!("a")), Just(json!("b"))];
    let needs = (0.5f64..12.0, prop_oneof![4 => Just(0.0), 1 => Just(1.0)], 0.5f64..48.0, 1u32..9);
    (needs, zone, any::<(bool, bool, bool)>(), 0u8..4).prop_map(
        |((cores, gpus, mem_gb, loads), berth, (one_zone, apart, driftwood), rig)| {
            json!({"cores": (cores * 2.0).round() / 2.0, "gpus": gpus, "mem_gb": mem_gb.round(), "loads": loads,
                "berth": berth, "one_zone": one_zone, "apart": apart, "driftwood": driftwood,
                "crew": if loads % 2 == 0 { "red" } else { "blue" },
                "rig": if rig == 0 { "standing" } else { "array" }, "reckon_s": if rig == 0 { 0.0 } else { 6.0 }})
        },
    )
}

/// True if a job can run on machines of 8 cores and 32 GB without GPUs in two zones: a task fits into a machine, the
/// tasks that run at the same time (all of a service, one of an array) need at most the 24 cores of team `red`, and
/// more than one of them is not required to be both spread over zones and in a single zone.
fn can_run(fields: &Value) -> bool {
    let number = |name: &str| fields[name].as_f64().expect("a number");
    let service = fields["rig"] == "standing";
    let concurrent_tasks = if service { number("loads") } else { 1.0 };
    let fits = number("cores") <= 8.0 && number("gpus") <= 0.0 && number("mem_gb") <= 32.0;
    let within_quota = fields["crew"] != "red" || number("cores") * concurrent_tasks <= 24.0;
    let single_zone = fields["one_zone"] == true || !fields["berth"].is_null();
    fits && within_quota && !(fields["apart"] == true && single_zone && concurrent_tasks > 1.0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16,
        rng_seed: proptest::test_runner::RngSeed::Fixed(37),
        failure_persistence: None,
        ..Default::default()
    })]
    /// Accepted jobs start all of their tasks; jobs that can never run get 422.
    #[test]
    fn accepted_jobs_run_and_impossible_ones_are_rejected(
        seed in 1u64..1_000_000, changes in proptest::collection::vec(job_changes(), 6..14),
    ) {
        let mut cluster = SimulatedCluster::with_config(seed, ClusterConfig { machines: 40, ..ClusterConfig::small() });
        let all: Vec<Value> =
            changes.iter().enumerate().map(|(n, change)| with_fields(job_fields(n), change)).collect();
        for (number, fields) in all.iter().enumerate() {
            let spec = parse(fields).expect("a valid job");
            if fields["rig"] == "standing" {
                cluster.cancel(400_000, &spec.id);
            }
            cluster.submit(3000 + 400 * number as u64, spec);
        }
        cluster.run(390_000);
        for (fields, spec) in all.iter().map(|fields| (fields, parse(fields).expect("a valid job"))) {
            let rejected = cluster.rejections.get(&spec.id).copied();
            prop_assert_eq!(rejected, (!can_run(fields)).then_some(422), "{}", fields);
            let started = cluster.statistics.starts_by_job.get(&spec.id).copied().unwrap_or(0);
            prop_assert!(rejected.is_some() || started >= spec.task_count as usize, "{} started {}", fields, started);
        }
        cluster.run(500_000);
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    }
}
