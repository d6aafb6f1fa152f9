//! What users are told of submissions that are not valid, can never run, or are
//! repeats of a job that is known.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use serde_json::{json, Value};
use simulator::{settings, Shape, StateService, World};
use tillercleat::coordination::{ClientRequest, CloudAnswer, CloudCall, Core, Input, Output, Response};
use tillercleat::protocol::cloud::Catalog;
use tillercleat::protocol::state::{StoreRequest, StoreResponse};
use tillercleat::protocol::users::{JobSpec, Malformed};
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

fn parse(fields: &Value) -> Result<JobSpec, Malformed> {
    JobSpec::parse(fields.to_string().as_bytes())
}

/// Everything but what may be null; a missing `gpus` or `one_zone` passed for a default.
#[test]
fn what_may_not_be_null_may_not_be_missing() {
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

/// Bodies that are no submission at all, and what can be read of them.
#[test]
fn malformed_bodies_are_refused_by_name_if_they_have_one() {
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
    let odd = [
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
    for (name, value) in odd {
        let mut fields = valid(1);
        fields[name] = value.clone();
        assert_eq!(named(&fields.to_string()).as_deref(), Some("wk-000001"), "{name}: {value}");
    }
    assert_eq!(named(&twice).as_deref(), Some("wk-000001"), "cores given twice");
}

/// One controller that has read the records and the catalog, and its state service.
struct Node {
    core: Core,
    state: StateService,
    /// The state service answers; its watch brings what others wrote.
    reached: bool,
    watched: bool,
    now: u64,
    asked: u64,
}

impl Node {
    fn new(shape: &Shape) -> Node {
        let state = StateService { page: 50, most_bytes: 8192, most_ops: 12, ..StateService::default() };
        let core = Core::new(settings(shape, 0, 10.0), Tuning::default());
        let mut node = Node { core, state, reached: true, watched: true, now: 1, asked: 0 };
        (0..100).for_each(|_| drop(node.step(Input::Tick, shape)));
        node
    }

    /// Feeds an input and all that follows from it; what users are told.
    fn step(&mut self, input: Input, shape: &Shape) -> Vec<(RequestId, Response)> {
        self.now += 50;
        let mut next = vec![input];
        let mut told = vec![];
        while let Some(input) = next.pop() {
            for output in self.core.handle(MonotonicTime(self.now), 1_000_000, input) {
                match output {
                    Output::Response(id, response) => told.push((id, response)),
                    Output::State(_, StoreRequest::Watch { .. }) if !self.watched => {}
                    Output::State(id, _) if !self.reached => next.push(Input::State(id, StoreResponse::Unavailable)),
                    Output::State(id, call) => next.push(Input::State(id, self.state.run(self.now, call))),
                    Output::Cloud(id, CloudCall::Catalog) => {
                        let catalog = Catalog { types: shape.types.clone() };
                        next.push(Input::Cloud(id, CloudAnswer::Catalog(catalog)));
                    }
                    _ => {}
                }
            }
        }
        told
    }

    /// The status that this body gets.
    fn submit(&mut self, body: &Value, shape: &Shape) -> u16 {
        let ask = match parse(body) {
            Ok(spec) => ClientRequest::Submit(Box::new(spec)),
            Err(Malformed { id: Some(id), reason }) => ClientRequest::Malformed { id, reason },
            Err(Malformed { id: None, .. }) => return 400,
        };
        self.asked += 1;
        let request = RequestId(self.asked);
        let mut told = self.step(Input::ClientRequest(request, ask), shape);
        // A question waits for a probe.
        (0..8).for_each(|_| told.extend(self.step(Input::Tick, shape)));
        let response = told.into_iter().find(|(id, _)| *id == request).expect("an answer").1;
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

/// A repeat of a job that another node accepted got 422 or 400 from one whose records lagged.
#[test]
fn a_known_job_is_known_whatever_its_repeat_says() {
    let shape = Shape::small();
    // What an earlier version accepted, written behind this node's back.
    let record = json!({"spec": without(valid(7), "gpus"), "at": 5, "plan": {"size": 16, "parts": [0]}});
    let archive_ended_jobs = json!({"end": "done", "tasks": 2});
    let lagging = || {
        let mut node = Node::new(&shape);
        node.watched = false;
        node.state.revision += 2;
        let revision = node.state.revision;
        node.state.rows.insert("t/j/wk-000007".into(), (record.clone(), revision - 1, None));
        node.state.rows.insert("f/wk-000008".into(), (archive_ended_jobs.clone(), revision, None));
        node
    };
    let odd = |number| [without(valid(number), "gpus"), with(valid(number), &json!({"mem_gb": 4000.0})), valid(number)];
    let mut node = lagging();
    for body in odd(7).iter().chain(&odd(8)) {
        node = lagging();
        assert_eq!(node.submit(body, &shape), 200, "{body}");
    }
    // What was never accepted is refused, but not without having looked.
    let refused = [(0, 400), (1, 422)];
    for (at, status) in refused {
        assert_eq!(node.submit(&odd(9)[at], &shape), status);
    }
    node.reached = false;
    for (at, _) in refused {
        assert_eq!(node.submit(&odd(9)[at], &shape), 503);
        assert_eq!(node.submit(&odd(8)[at], &shape), 200, "an end is known without asking");
    }
}

/// All that a task needs must come together, and all replicas of a service at once.
#[test]
fn what_can_never_run_is_refused_at_once() {
    let mut shape = Shape { teams: json!([{"name": "blue", "cpus_max": 10.0}]), ..Shape::small() };
    let mut large = shape.types[0].clone();
    (large.name, large.gpus, large.mem_gb, large.zones, large.cpus) = ("g2".into(), 2.0, 16.0, vec!["b".into()], 16.0);
    shape.types.push(large);
    let mut node = Node::new(&shape);
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
        assert_eq!(node.submit(&with(valid(number), &change), &shape), status, "{change}");
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

/// Whether a job can run, told from PROTOCOL for machines of 8 cores and 32 GB in two zones.
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
    /// What is accepted runs, and what can't run is refused.
    #[test]
    fn what_is_accepted_runs_and_what_cannot_is_refused(
        seed in 1u64..1_000_000, changes in proptest::collection::vec(change(), 6..14),
    ) {
        let mut world = World::sized(seed, Shape { machines: 40, ..Shape::small() });
        let all: Vec<Value> = changes.iter().enumerate().map(|(n, change)| with(valid(n), change)).collect();
        for (number, fields) in all.iter().enumerate() {
            let spec = parse(fields).expect("a valid job");
            if fields["rig"] == "standing" {
                world.cancel(400_000, &spec.id);
            }
            world.submit(3000 + 400 * number as u64, spec);
        }
        world.run(390_000);
        for (fields, spec) in all.iter().map(|fields| (fields, parse(fields).expect("a valid job"))) {
            let refused = world.final_no.get(&spec.id).copied();
            prop_assert_eq!(refused, (!can_run(fields)).then_some(422), "{}", fields);
            let started = world.tries.get(&spec.id).copied().unwrap_or(0);
            prop_assert!(refused.is_some() || started >= spec.task_count as usize, "{} started {}", fields, started);
        }
        world.run(500_000);
        prop_assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}
