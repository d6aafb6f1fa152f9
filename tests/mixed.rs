//! Processes of the version in production and of this one side by side on
//! loopback. Not among the usual tests: it builds that version from the history.
//!
//!     cargo test --release --test mixed -- --ignored --nocapture

mod loopback;

use loopback::{call, cloud, free_port, start, start_program, state_service, wait_for, Process};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const NODES: usize = 3;

/// Builds the version in production, once, under `target/`.
fn production() -> PathBuf {
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
    json!({"ref": format!("wk-{number:06}"), "haul": "h", "crew": "red", "rig": "array", "rank": "normal", "loads": 5,
        "cores": 1.0, "mem_gb": 1.0, "kit": "k", "image_gb": 0.1, "driftwood": true, "reckon_s": 1.0,
        "gpus": 0.0, "one_zone": false, "apart": false, "mark_s": 0.0, "stow_s": 0.0,
        "awaits": dependencies.iter().map(|n| format!("wk-{n:06}")).collect::<Vec<_>>()})
    .to_string()
}

/// Submits as users do, at any controller, until it is taken.
fn submit(users: &[SocketAddr], number: usize, dependencies: &[usize]) {
    let mut at = number;
    wait_for(&format!("job {number}"), || {
        at += 1;
        call(users[at % NODES], "POST", "/v2/runs", &job(number, dependencies))
            .is_some_and(|(s, _)| s == 201 || s == 200)
    });
}

fn end(node: &mut Process) {
    let _ = node.0.kill();
    let _ = node.0.wait();
}

#[test]
#[ignore = "builds the version in production; run as the operators' page says"]
fn old_and_new_controllers_serve_side_by_side() {
    let old = production();
    let users: Vec<SocketAddr> = (0..NODES).map(|_| free_port()).collect();
    let peers: Vec<SocketAddr> = (0..NODES).map(|_| free_port()).collect();
    let (state, cloud) = (state_service(), cloud(users.clone(), 3));
    let configs: Vec<PathBuf> = (0..NODES)
        .map(|n| {
            let known = (0..NODES).filter(|p| *p != n);
            let known: Vec<_> = known
                .map(|p| json!({"label": format!("n{p}"), "domain": "a", "address": peers[p].to_string()}))
                .collect();
            let config = json!({
                "label": format!("n{n}"), "domain": "a", "client_listen": users[n].to_string(),
                "internal_addr": peers[n].to_string(), "known": known,
                "external": {"cloud": cloud.to_string(), "state": state.to_string()},
                "cluster": {"teams": [{"name": "red"}],
                    "workers": {"report_s": 0.2, "lease_s": 5.0, "cancel_s": 20.0},
                    "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 12,
                        "next": {"value_kb": 2.0, "txn_ops": 4}},
                    "cloud": {"rps": 5.0, "list_lag_s": 30.0}, "quota": {"ram_mb": 64.0, "fd_limit": 200}}
            });
            let path = std::env::temp_dir().join(format!("tillercleat-mixed-{}-{n}.json", std::process::id()));
            std::fs::write(&path, config.to_string()).expect("a settings file");
            path
        })
        .collect();
    let mut nodes: Vec<Process> = configs.iter().map(|config| start_program(&old, config, &[])).collect();
    let began = Instant::now();
    let tell = |what: &str| println!("{:6.1} s: {what}", began.elapsed().as_secs_f64());
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
    tell("three of the version in production serve");
    for n in 0..NODES {
        if n == 1 {
            // One whose turn has not come ends, and comes back as it was.
            end(&mut nodes[2]);
            nodes[2] = start_program(&old, &configs[2], &[]);
            load(10);
            tell("an old one ended and is back, beside one that is new");
            let (status, _) = call(users[0], "POST", "/v2/runs", &job(900, &[0])).expect("an answer");
            assert_eq!(status, 503, "taken before all controllers know of chains");
        }
        end(&mut nodes[n]);
        nodes[n] = start(&configs[n], &[]);
        load(10);
        tell(&format!("node {n} is new"));
    }
    submit(&users, 901, &[0, 10]);
    tell("the first job that names others is taken");
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
    tell(&format!("all {} jobs are done", jobs + 3));
    assert!(nodes.iter_mut().all(|node| node.0.try_wait().expect("a process").is_none()), "a process ended by itself");
    configs.iter().for_each(|config| drop(std::fs::remove_file(config)));
}
