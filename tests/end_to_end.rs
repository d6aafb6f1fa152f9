//! Tests of the real binary on loopback, against a store, a cloud and a worker that the test
//! serves: running jobs, restarts after a kill, connection floods and invalid settings.

mod loopback;

use loopback::{call, cloud, free_port, job_body, start, store_service, temporary_file, wait_for, Process, SECOND};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tillercleat::transport::http::Client;

/// Settings of a single controller, with a store and a cloud started for it.
fn settings(client_addr: SocketAddr, fd_limit: usize) -> Value {
    let (cloud, store) = (cloud(vec![client_addr], 1), store_service());
    let mut settings = loopback::settings(0, client_addr, &[free_port()], cloud, store);
    settings["cluster"]["state"]["rps"] = json!(300.0);
    settings["cluster"]["state"]["write_rps"] = json!(100.0);
    settings["cluster"]["cloud"] = json!({"rps": 5.0, "list_lag_s": 30.0});
    settings["cluster"]["quota"]["fd_limit"] = json!(fd_limit);
    settings
}

#[test]
fn job_runs_and_survives_a_kill_of_the_controller() {
    let client_addr = free_port();
    let config = settings(client_addr, 200);
    let path = temporary_file("kill.json");
    std::fs::write(&path, config.to_string()).expect("a settings file");
    let job = |id: &str, team: &str| job_body(id, team, 6).to_string();
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

/// Kills and restarts the process repeatedly within one worker lease. Each process must bind its
/// address again although clients hold connections to the killed one, no process may exit before
/// it is killed, and no job may be lost.
#[test]
fn quick_restarts_lose_no_job() {
    let client_addr = free_port();
    let path = temporary_file("restarts.json");
    std::fs::write(&path, settings(client_addr, 200).to_string()).expect("a settings file");
    let mut process = start(&path, &[]);
    wait_for("becoming healthy", || call(client_addr, "GET", "/up", "").is_some_and(|(s, _)| s == 200));
    let job = |id: &str| job_body(id, "red", 12).to_string();
    let mut left_open = vec![];
    for start_number in 0..8 {
        // An incomplete request and an idle connection; clients keep both open after the kill.
        for text in ["GET /up HTTP/1.1\r\n", ""] {
            if let Ok(mut stream) = std::net::TcpStream::connect(client_addr) {
                std::io::Write::write_all(&mut stream, text.as_bytes()).expect("a few bytes");
                left_open.push(stream);
            }
        }
        let id = format!("wk-{:06}", start_number + 1);
        wait_for("accepting", || {
            let answer = call(client_addr, "POST", "/v2/runs", &job(&id));
            answer.is_some_and(|(status, _)| matches!(status, 200 | 201))
        });
        assert!(process.0.try_wait().expect("a child").is_none(), "process {start_number} ended by itself");
        drop(process);
        process = start(&path, &[]);
        // Every other restart is killed again during startup.
        if start_number % 2 == 0 {
            std::thread::sleep(Duration::from_millis(50));
            drop(process);
            process = start(&path, &[]);
        }
    }
    for job in 1..9 {
        wait_for("every job", || {
            let answer = call(client_addr, "GET", &format!("/v2/runs/wk-{job:06}"), "");
            answer.is_some_and(|(status, body)| status == 200 && body["trim"] == "done")
        });
    }
    assert!(process.0.try_wait().expect("a child").is_none(), "the last process ended by itself");
    drop((process, left_open));
    let _ = std::fs::remove_file(&path);
}

/// Number of threads of a process, from `/proc`.
#[cfg(target_os = "linux")]
fn thread_count(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("a count of threads");
    line.trim().parse().expect("a number")
}

/// Guards against unbounded connection threads: 2,700 half-open connections once used 2,014
/// threads where a process may have 2,000, so the process could have failed to start another.
/// Workers must be able to connect during the flood, and users again after it.
#[test]
#[cfg(target_os = "linux")]
fn connection_flood_stays_within_the_thread_limit_and_keeps_workers_connected() {
    const MAX_THREADS: usize = 48;
    let client_addr = free_port();
    let (path, tuning) = (temporary_file("flood.json"), temporary_file("flood.toml"));
    std::fs::write(&path, settings(client_addr, 4000).to_string()).expect("a settings file");
    std::fs::write(&tuning, format!("threads = {MAX_THREADS}\n")).expect("a tuning file");
    let process = start(&path, &[("--tuning", &tuning)]);
    let up = || call(client_addr, "GET", "/up", "").map(|answer| answer.0);
    wait_for("becoming healthy", || up() == Some(200));

    let mut worker = Client::new(client_addr);
    let mut heartbeat_number = 0;
    let mut heartbeat = |worker: &mut Client| {
        heartbeat_number += 1;
        let heartbeat = json!({"deck": "i-000002", "endpoint": "127.0.0.1:1", "hull": "m", "berth": "a",
            "watch": 1, "tally": heartbeat_number, "helm": 0, "loads": []});
        worker.call("POST", "/hello", heartbeat.to_string().as_bytes(), SECOND).map(|answer| answer.0).ok()
    };
    assert!(matches!(heartbeat(&mut worker), Some(200 | 421)));
    let mut flood = vec![];
    for wave in 0..6 {
        for _ in 0..80 {
            flood.extend(std::net::TcpStream::connect_timeout(&client_addr, SECOND));
        }
        assert!(thread_count(&process) <= MAX_THREADS, "{} threads in wave {wave}", thread_count(&process));
        // An established worker connection is still served.
        assert!(matches!(heartbeat(&mut worker), Some(200 | 421)), "a worker lost its connection in wave {wave}");
        // A new worker can connect.
        wait_for("a new worker", || matches!(heartbeat(&mut Client::new(client_addr)), Some(200 | 421)));
    }
    assert!(flood.len() > 400, "too few connections for a flood: {}", flood.len());
    drop(flood);
    wait_for("users after the flood", || (0..20).all(|_| up() == Some(200)));
    assert!(thread_count(&process) <= MAX_THREADS);
    drop(process);
    for file in [path, tuning] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn invalid_settings_exit_with_a_one_line_error() {
    let path = temporary_file("bad.json");
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
