//! Runs controllers of the production version and of this version side by side on loopback.
//! Ignored by default because it builds the production version from the Git history. Run it with:
//!
//!     cargo test --release --test mixed -- --ignored --nocapture

mod loopback;

use loopback::{
    call, cloud, free_port, job_body, settings, start, start_program, store_service, temporary_file, wait_for, Process,
};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const NODES: usize = 3;

/// Builds the production version under `target/` unless it is there, and returns its binary.
fn build_production_version() -> PathBuf {
    let deploy: toml::Table = include_str!("../deploy/service.toml").parse().expect("toml");
    let commit = deploy["production"].as_str().expect("a commit");
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let dir = root.join("target").join(format!("production-{}", &commit[..12]));
    let program = dir.join("target/release/tillercleat");
    let run = |command: &mut Command| assert!(command.status().expect("a command").success(), "{command:?}");
    if !program.exists() {
        run(Command::new("git")
            .arg("-C")
            .arg(root)
            .args(["worktree", "add", "--force", "--detach"])
            .arg(&dir)
            .arg(commit));
        run(Command::new("cargo")
            .args(["build", "--release", "--locked"])
            .current_dir(&dir)
            .env_remove("CARGO_TARGET_DIR"));
    }
    program
}

fn job(number: usize, dependencies: &[usize]) -> String {
    let mut body = job_body(&format!("wk-{number:06}"), "red", 5);
    body["awaits"] = dependencies.iter().map(|dependency| format!("wk-{dependency:06}")).collect();
    body.to_string()
}

/// Submits a job to one controller after the other until one accepts it.
fn submit(users: &[SocketAddr], number: usize, dependencies: &[usize]) {
    let mut at = number;
    wait_for(&format!("job {number}"), || {
        at += 1;
        call(users[at % NODES], "POST", "/v2/runs", &job(number, dependencies))
            .is_some_and(|(s, _)| s == 201 || s == 200)
    });
}

fn kill(node: &mut Process) {
    node.0.kill().expect("a process that runs");
    node.0.wait().expect("a child");
}

/// Writes a settings file for each node and returns the paths.
fn write_settings(users: &[SocketAddr]) -> Vec<PathBuf> {
    let internal: Vec<SocketAddr> = (0..NODES).map(|_| free_port()).collect();
    let (store, cloud) = (store_service(), cloud(users.to_vec(), 3));
    let write = |node: usize| {
        let mut settings = settings(node, users[node], &internal, cloud, store);
        settings["cluster"]["workers"] = json!({"report_s": 0.2, "lease_s": 5.0, "cancel_s": 20.0});
        settings["cluster"]["state"]["rps"] = json!(400.0);
        settings["cluster"]["state"]["next"] = json!({"value_kb": 2.0, "txn_ops": 4});
        settings["cluster"]["cloud"] = json!({"rps": 5.0, "list_lag_s": 30.0});
        settings["cluster"]["quota"]["fd_limit"] = json!(200);
        let path = temporary_file(&format!("mixed-{node}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        path
    };
    (0..NODES).map(write).collect()
}

#[test]
#[ignore = "builds the version in production; run as the operators' page says"]
fn old_and_new_controllers_serve_side_by_side() {
    let old = build_production_version();
    let users: Vec<SocketAddr> = (0..NODES).map(|_| free_port()).collect();
    let configs = write_settings(&users);
    let mut nodes: Vec<Process> = configs.iter().map(|config| start_program(&old, config, &[])).collect();
    let began = Instant::now();
    let report = |what: &str| println!("{:6.1} s: {what}", began.elapsed().as_secs_f64());
    let mut number = 0;
    let mut load = |jobs: usize| {
        for _ in 0..jobs {
            submit(&users, number, &[]);
            number += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        number
    };
    load(20);
    report("three controllers of the production version are serving");
    for n in 0..NODES {
        if n == 1 {
            // A controller that is not upgraded yet crashes and restarts with its old version.
            kill(&mut nodes[2]);
            nodes[2] = start_program(&old, &configs[2], &[]);
            load(10);
            report("an old controller restarted beside a new one");
            let (status, _) = call(users[0], "POST", "/v2/runs", &job(900, &[0])).expect("an answer");
            assert_eq!(status, 503, "accepted before all controllers support dependencies");
        }
        kill(&mut nodes[n]);
        nodes[n] = start(&configs[n], &[]);
        load(10);
        report(&format!("node {n} is upgraded"));
    }
    submit(&users, 901, &[0, 10]);
    report("the first job with dependencies is accepted");
    submit(&users, 902, &[901]);
    submit(&users, 903, &[902, 5]);
    let jobs = load(10);
    let done = |number: usize| {
        let answer = call(users[number % NODES], "GET", &format!("/v2/runs/wk-{number:06}"), "");
        answer.is_some_and(|(status, body)| status == 200 && body["trim"] == "done")
    };
    for number in (0..jobs).chain([901, 902, 903]) {
        wait_for(&format!("job {number} to be done"), || done(number));
    }
    report(&format!("all {} jobs are done", jobs + 3));
    assert!(nodes.iter_mut().all(|node| node.0.try_wait().expect("a process").is_none()), "a process ended by itself");
    configs.iter().for_each(|config| drop(std::fs::remove_file(config)));
}
