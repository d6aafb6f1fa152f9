//! The real binary on loopback, with a state service, a cloud and a worker
//! served by this test: a job runs, a controller is killed and comes back.

mod loopback;

use loopback::{call, cloud, free_port, start, state_service, wait_for, Process, SECOND};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tillercleat::transport::http::Client;

/// One controller's settings, with a state service and a cloud of their own.
fn settings(client_addr: SocketAddr, fd_limit: usize) -> Value {
    json!({
        "label": "n0", "domain": "a", "client_listen": client_addr.to_string(),
        "internal_addr": free_port().to_string(), "known": [],
        "external": {"cloud": cloud(vec![client_addr], 1).to_string(), "state": state_service().to_string()},
        "cluster": {"teams": [{"name": "red"}],
            "workers": {"report_s": 0.2, "lease_s": 3.0, "cancel_s": 12.0},
            "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 30.0}, "quota": {"ram_mb": 64.0, "fd_limit": fd_limit}}
    })
}

#[test]
fn the_binary_runs_a_job_and_survives_a_kill() {
    let client_addr = free_port();
    let config = settings(client_addr, 200);
    let path = std::env::temp_dir().join(format!("tillercleat-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("a settings file");
    let job = |id: &str, crew: &str| {
        json!({"ref": id, "haul": "h", "crew": crew, "rig": "array", "rank": "normal", "loads": 6, "cores": 1.0,
            "gpus": 0.0, "mem_gb": 1.0, "kit": "k", "image_gb": 0.1, "hulls": null, "berth": null, "one_zone": false,
            "apart": false, "driftwood": true, "reckon_s": 1.0, "mark_s": 0.0, "stow_s": 0.0, "tide_s": null})
        .to_string()
    };
    let mut process = start(&path, &[]);
    wait_for("becoming healthy", || call(client_addr, "GET", "/up", "").is_some_and(|(s, _)| s == 200));
    let status = |method: &str, path: &str, body: &str| call(client_addr, method, path, body).map(|a| a.0);
    assert_eq!(status("POST", "/v2/runs", "[1]"), Some(400));
    assert_eq!(status("POST", "/v2/runs", &"x".repeat(70_000)), Some(400));
    assert_eq!(status("POST", "/v2/runs", &job("wk-000009", "nobody")), Some(422));
    assert_eq!(status("GET", "/v2/runs/wk-000009", ""), Some(404));
    assert_eq!(status("PUT", "/v2/runs", ""), Some(405));
    assert_eq!(status("GET", "/elsewhere", ""), Some(404));
    assert_eq!(status("POST", "/v2/runs", &job("wk-000001", "red")), Some(201));
    assert_eq!(status("POST", "/v2/runs", &job("wk-000001", "red")), Some(200));
    let done = |id: &str| {
        let answer = call(client_addr, "GET", &format!("/v2/runs/{id}"), "");
        answer.is_some_and(|(status, body)| status == 200 && body["trim"] == "done")
    };
    wait_for("the first job", || done("wk-000001"));
    assert_eq!(status("POST", "/v2/runs", &job("wk-000002", "red")), Some(201));
    drop(process);
    process = start(&path, &[]);
    wait_for("the second job after a kill", || done("wk-000002"));
    assert!(done("wk-000001"), "a job that was done is done");
    drop(process);
    let _ = std::fs::remove_file(&path);
}

/// Killed and started again at once, over and over within a worker's lease: the
/// address is had again, connections of users and workers that outlive the
/// process harm nothing, no life ends by itself, and no job is lost.
#[test]
fn the_binary_survives_quick_restarts() {
    let client_addr = free_port();
    let path = std::env::temp_dir().join(format!("tillercleat-again-{}.json", std::process::id()));
    std::fs::write(&path, settings(client_addr, 200).to_string()).expect("a settings file");
    let mut process = start(&path, &[]);
    wait_for("becoming healthy", || call(client_addr, "GET", "/up", "").is_some_and(|(s, _)| s == 200));
    let job = |id: &str| {
        json!({"ref": id, "haul": "h", "crew": "red", "rig": "array", "rank": "normal", "loads": 12, "cores": 1.0,
            "gpus": 0.0, "mem_gb": 1.0, "kit": "k", "image_gb": 0.1, "hulls": null, "berth": null, "one_zone": false,
            "apart": false, "driftwood": true, "reckon_s": 1.0, "mark_s": 0.0, "stow_s": 0.0, "tide_s": null})
        .to_string()
    };
    let mut left_open = vec![];
    for life in 0..8 {
        // Half a request, and a connection that never asks: both outlive the process.
        for text in ["GET /up HTTP/1.1\r\n", ""] {
            if let Ok(mut stream) = std::net::TcpStream::connect(client_addr) {
                std::io::Write::write_all(&mut stream, text.as_bytes()).expect("a few bytes");
                left_open.push(stream);
            }
        }
        // Every other life ends in the midst of its start.
        let id = format!("wk-{:06}", life + 1);
        wait_for("accepting", || {
            let answer = call(client_addr, "POST", "/v2/runs", &job(&id));
            answer.is_some_and(|(status, _)| matches!(status, 200 | 201))
        });
        assert!(process.0.try_wait().expect("a child").is_none(), "life {life} ended by itself");
        drop(process);
        process = start(&path, &[]);
        if life % 2 == 0 {
            std::thread::sleep(Duration::from_millis(50));
            drop(process);
            process = start(&path, &[]);
        }
    }
    for life in 0..8 {
        wait_for("every job", || {
            let answer = call(client_addr, "GET", &format!("/v2/runs/wk-{:06}", life + 1), "");
            answer.is_some_and(|(status, body)| status == 200 && body["trim"] == "done")
        });
    }
    assert!(process.0.try_wait().expect("a child").is_none(), "the last life ended by itself");
    drop((process, left_open));
    let _ = std::fs::remove_file(&path);
}

/// Threads of a process, as the system counts them.
#[cfg(target_os = "linux")]
fn threads(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("a count of threads");
    line.trim().parse().expect("a number")
}

/// 2,700 half-open connections took 2,014 threads of the 2,000 that a process
/// may have: it could have ended for want of one more. Workers must find a way
/// in all the while, and users again once the flood has passed.
#[test]
#[cfg(target_os = "linux")]
fn a_connection_flood_stays_within_the_threads_and_keeps_workers() {
    const CEILING: usize = 48;
    let client_addr = free_port();
    let file = |end: &str| std::env::temp_dir().join(format!("tillercleat-flood-{}.{end}", std::process::id()));
    let (path, tuning) = (file("json"), file("toml"));
    std::fs::write(&path, settings(client_addr, 4000).to_string()).expect("a settings file");
    std::fs::write(&tuning, format!("threads = {CEILING}\n")).expect("a tuning file");
    let process = start(&path, &[("--tuning", &tuning)]);
    let up = || call(client_addr, "GET", "/up", "").map(|answer| answer.0);
    wait_for("becoming healthy", || up() == Some(200));

    let mut worker = Client::new(client_addr);
    let mut tally = 0;
    let mut heartbeat = |worker: &mut Client| {
        tally += 1;
        let heartbeat = json!({"deck": "i-000002", "endpoint": "127.0.0.1:1", "hull": "m", "berth": "a",
            "watch": 1, "tally": tally, "helm": 0, "loads": []});
        worker.call("POST", "/hello", heartbeat.to_string().as_bytes(), SECOND).map(|answer| answer.0).ok()
    };
    assert!(matches!(heartbeat(&mut worker), Some(200 | 421)));
    let mut flood = vec![];
    for wave in 0..6 {
        for _ in 0..80 {
            flood.extend(std::net::TcpStream::connect_timeout(&client_addr, SECOND));
        }
        assert!(threads(&process) <= CEILING, "{} threads in wave {wave}", threads(&process));
        // One that was there goes on, whatever knocks.
        assert!(matches!(heartbeat(&mut worker), Some(200 | 421)), "a worker lost its connection in wave {wave}");
        // One that comes gets in before long.
        wait_for("a new worker", || matches!(heartbeat(&mut Client::new(client_addr)), Some(200 | 421)));
    }
    assert!(flood.len() > 400, "the flood was no flood: {}", flood.len());
    drop(flood);
    wait_for("users after the flood", || (0..20).all(|_| up() == Some(200)));
    assert!(threads(&process) <= CEILING);
    drop(process);
    for file in [path, tuning] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn bad_settings_end_the_program_with_one_line() {
    let path = std::env::temp_dir().join(format!("tillercleat-bad-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"label": "n0"}"#).expect("a settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_tillercleat"))
        .args(["check", "--config"])
        .arg(&path)
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(!output.status.success());
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    assert!(text.contains("client_listen"), "{text}");
    let _ = std::fs::remove_file(&path);
}
