use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

fn probe(addr: SocketAddr, kind: &str) -> Probe {
    let text = format!("kind = \"{kind}\"\nport = 1\ntimeout_s = 0.3\nbody = \"fine\"");
    Probe { replica: "wk-1/0@1".into(), addr: addr.to_string(), check: toml::from_str(&text).unwrap() }
}

/// Runs an HTTP check against a server that handles one connection with `serve`. Returns the verdict and
/// how long the check took.
fn check_against(serve: impl FnOnce(TcpStream) + Send + 'static) -> (Verdict, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        serve(stream);
    });
    let start = Instant::now();
    let verdict = run_check(&probe(addr, "http"));
    (verdict, start.elapsed())
}

fn verdict_for(text: &'static str) -> Verdict {
    check_against(move |mut stream| drop(stream.write_all(text.as_bytes()))).0
}

#[test]
fn verdict_follows_status_body_and_length() {
    assert_eq!(verdict_for("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nis fine"), Verdict::Pass);
    assert_eq!(verdict_for("HTTP/1.0 200 OK\r\n\r\nall is fine"), Verdict::Pass);
    assert_eq!(
        verdict_for("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"),
        Verdict::Pass
    );
    for invalid in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 302 X\r\nLocation: http://127.0.0.1/\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfine",
        "what is this\r\n\r\n",
        "",
    ] {
        assert!(matches!(verdict_for(invalid), Verdict::Fail(_)), "{invalid}");
    }
}

/// A check that hangs would occupy its thread for good, and delay the checks of all
/// replicas. It must end by its deadline if the server hangs, sends single bytes or
/// never ends its body.
#[test]
fn a_hanging_or_trickling_response_fails_at_the_deadline() {
    let (verdict, took) = check_against(|stream| {
        std::thread::sleep(Duration::from_secs(3));
        drop(stream);
    });
    assert!(matches!(verdict, Verdict::Fail(_)) && took < Duration::from_secs(2), "{verdict:?} after {took:?}");
    let (verdict, took) = check_against(|mut stream| {
        for byte in "HTTP/1.1 200 OK\r\nX-Slow: very much so, it drips\r\n".bytes().cycle().take(60) {
            std::thread::sleep(Duration::from_millis(50));
            if stream.write_all(&[byte]).is_err() {
                return;
            }
        }
    });
    assert!(matches!(verdict, Verdict::Fail(_)) && took < Duration::from_secs(2), "{verdict:?} after {took:?}");
    // An endless body ends at the limit or at the deadline.
    let (verdict, took) = check_against(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while stream.write_all(&[b'x'; 4096]).is_ok() {}
    });
    assert!(matches!(verdict, Verdict::Fail(_)) && took < Duration::from_secs(2), "{verdict:?} after {took:?}");
}

#[test]
fn refused_connection_fails_and_full_backlog_is_unreachable() {
    let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert!(matches!(run_check(&probe(addr, "tcp")), Verdict::Fail(_)));
    // The listener never accepts: once its backlog is full, connecting times out.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut connections = vec![];
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
        connections.push(stream);
        assert!(connections.len() < 5000, "the backlog never fills");
    }
    assert!(matches!(run_check(&probe(addr, "tcp")), Verdict::Unreachable(_)));
    // The kernel completes the connection, but the program never accepts it.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(matches!(run_check(&probe(listener.local_addr().unwrap(), "http")), Verdict::Fail(_)));
}
