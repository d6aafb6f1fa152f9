//! Answers to submissions that are not valid, can never run, or repeat a job that is known.

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

fn valid(number: usize) -> Value {
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

/// Everything but what may be null; a missing `gpus` or `one_zone` passed for a default.
#[test]
fn fields_that_may_not_be_null_may_not_be_missing() {
    let all = valid(1);
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

/// Bodies that are no submission at all, and the job id where one can be read.
#[test]
fn malformed_bodies_are_rejected_with_their_job_id_if_readable() {
    let whole = valid(1).to_string();
    let named = |body: &str| JobSpec::parse(body.as_bytes()).expect_err(body).id.map(|id| id.to_string());
    let twice = whole.replacen('{', r#"{"cores":1.0,"#, 1);
    let deep = whole.replacen("null", &format!("{}{}", "[".repeat(5000), "]".repeat(5000)), 1);
    for body in ["", "nonsense", "[]", "7", "[[[", "null", &whole[..whole.len() - 1], &format!("{whole}x")] {
        assert_eq!(named(body), None, "{body:.80}");
    }
    assert_eq!(named(&whole.replacen('{', r#"{"ref":"wk-000002","#, 1)), None, "two names");
    assert_eq!(named(&whole.replace("wk-000001", "../x")), None);
    assert_eq!(named(&deep).as_deref(), Some("wk-000001"), "nested too deeply");
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
        let mut fields = valid(1);
        fields[name] = value.clone();
        assert_eq!(named(&fields.to_string()).as_deref(), Some("wk-000001"), "{name}: {value}");
    }
    assert_eq!(named(&twice).as_deref(), Some("wk-000001"), "cores given twice");
}

/// One controller that has read the records and the catalog, and its store.
struct Node {
    core: Core,
    store: SimulatedStore,
    /// The store answers.
    store_reachable: bool,
    /// Its watch brings what others wrote.
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

    /// Feeds an input and all that follows from it; returns the answers to users.
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

    /// The status that the answer to this body has.
    fn submit(&mut self, body: &Value, config: &ClusterConfig) -> u16 {
        let request = match parse(body) {
            Ok(spec) => ClientRequest::Submit(Box::new(spec)),
            Err(MalformedSubmission { id: Some(id), reason }) => ClientRequest::Malformed { id, reason },
            Err(MalformedSubmission { id: None, .. }) => return 400,
        };
        self.requests += 1;
        let id = RequestId(self.requests);
        let mut responses = self.step(Input::ClientRequest(id, request), config);
        // An answer that needs a read of the store takes a few ticks.
        (0..8).for_each(|_| responses.extend(self.step(Input::Tick, config)));
        let response = responses.into_iter().find(|(answered, _)| *answered == id).expect("an answer").1;
        match response {
            Response::Job { status, .. } => status.http_status(),
            Response::Error(refusal) => refusal.http_status(),
            other => panic!("{other:?}"),
        }
    }
}

fn without(mut fields: Value, name: &str) -> Value {
    fields.as_object_mut().expect("fields").remove(name);
    fields
}

fn with(mut fields: Value, change: &Value) -> Value {
    for (name, value) in change.as_object().expect("fields") {
        fields[name] = value.clone();
    }
    fields
}

/// A repeated submission of a job that another node accepted got 422 or 400 from a node whose
/// records lagged behind.
#[test]
fn a_repeated_submission_of_a_known_job_gets_200_whatever_it_says() {
    let config = ClusterConfig::small();
    // What an earlier version accepted, written behind this node's back.
    let record = json!({"spec": without(valid(7), "gpus"), "at": 5, "plan": {"size": 16, "parts": [0]}});
    let archive_ended_jobs = json!({"end": "done", "tasks": 2});
    let lagging = || {
        let mut node = Node::new(&config);
        node.watch_open = false;
        node.store.revision += 2;
        let revision = node.store.revision;
        node.store.insert_without_event("t/j/wk-000007", record.clone(), revision - 1);
        node.store.insert_without_event("f/wk-000008", archive_ended_jobs.clone(), revision);
        node
    };
    let bodies =
        |number| [without(valid(number), "gpus"), with(valid(number), &json!({"mem_gb": 4000.0})), valid(number)];
    let mut node = lagging();
    for body in bodies(7).iter().chain(&bodies(8)) {
        node = lagging();
        assert_eq!(node.submit(body, &config), 200, "{body}");
    }
    // What was never accepted is rejected, but not before the store was asked.
    let rejected = [(0, 400), (1, 422)];
    for (at, status) in rejected {
        assert_eq!(node.submit(&bodies(9)[at], &config), status);
    }
    node.store_reachable = false;
    for (at, _) in rejected {
        assert_eq!(node.submit(&bodies(9)[at], &config), 503);
        assert_eq!(node.submit(&bodies(8)[at], &config), 200, "an ended job is known without asking");
    }
}

/// All that a task needs must come together, and all replicas of a service at once.
#[test]
fn jobs_that_can_never_run_are_rejected_at_once() {
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
    let all =
        cases.into_iter().chain(services.into_iter().map(|(change, status)| (with(service.clone(), &change), status)));
    for (number, (change, status)) in all.enumerate() {
        assert_eq!(node.submit(&with(valid(number), &change), &config), status, "{change}");
    }
}

fn change() -> impl Strategy<Value = Value> {
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

/// Whether a job can run on machines of 8 cores and 32 GB in two zones, written from PROTOCOL.
fn can_run(fields: &Value) -> bool {
    let number = |name: &str| fields[name].as_f64().expect("a number");
    let service = fields["rig"] == "standing";
    let at_once = if service { number("loads") } else { 1.0 };
    let fits = number("cores") <= 8.0 && number("gpus") <= 0.0 && number("mem_gb") <= 32.0;
    let within = fields["crew"] != "red" || number("cores") * at_once <= 24.0;
    let bound = fields["one_zone"] == true || !fields["berth"].is_null();
    fits && within && !(fields["apart"] == true && bound && at_once > 1.0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16,
        rng_seed: proptest::test_runner::RngSeed::Fixed(37),
        failure_persistence: None,
        ..Default::default()
    })]
    /// What is accepted runs, and what can't run is rejected.
    #[test]
    fn accepted_jobs_run_and_impossible_ones_are_rejected(
        seed in 1u64..1_000_000, changes in proptest::collection::vec(change(), 6..14),
    ) {
        let mut cluster = SimulatedCluster::with_config(seed, ClusterConfig { machines: 40, ..ClusterConfig::small() });
        let all: Vec<Value> = changes.iter().enumerate().map(|(n, change)| with(valid(n), change)).collect();
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
