use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

fn probe(addr: SocketAddr, kind: &str) -> Probe {
    let text = format!("kind = \"{kind}\"\nport = 1\ntimeout_s = 0.3\nbody = \"fine\"");
    Probe { replica: "wk-1/0@1".into(), addr: addr.to_string(), check: toml::from_str(&text).unwrap() }
}

/// Checks a server that does as told with its one connection, and says how
/// long the check took.
fn against(serve: impl FnOnce(TcpStream) + Send + 'static) -> (Verdict, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        serve(stream);
    });
    let begin = Instant::now();
    let verdict = carry_out(&probe(addr, "http"));
    (verdict, begin.elapsed())
}

fn answers(text: &'static str) -> Verdict {
    against(move |mut stream| drop(stream.write_all(text.as_bytes()))).0
}

#[test]
fn answers_are_judged() {
    assert_eq!(answers("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nis fine"), Verdict::Pass);
    assert_eq!(answers("HTTP/1.0 200 OK\r\n\r\nall is fine"), Verdict::Pass);
    assert_eq!(answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), Verdict::Pass);
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 302 X\r\nLocation: http://127.0.0.1/\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfine",
        "what is this\r\n\r\n",
        "",
    ] {
        assert!(matches!(answers(bad), Verdict::Fail(_)), "{bad}");
    }
}

/// A check that hung held its thread for good, and with it everyone's
/// checks: whatever the other side does, it ends by its deadline.
#[test]
fn a_check_that_hangs_or_drips_fails_at_its_deadline() {
    let (verdict, took) = against(|stream| {
        std::thread::sleep(Duration::from_secs(3));
        drop(stream);
    });
    assert!(matches!(verdict, Verdict::Fail(_)) && took < Duration::from_secs(2), "{verdict:?} after {took:?}");
    let (verdict, took) = against(|mut stream| {
        for byte in "HTTP/1.1 200 OK\r\nX-Slow: very much so, it drips\r\n".bytes().cycle().take(60) {
            std::thread::sleep(Duration::from_millis(50));
            if stream.write_all(&[byte]).is_err() {
                return;
            }
        }
    });
    assert!(matches!(verdict, Verdict::Fail(_)) && took < Duration::from_secs(2), "{verdict:?} after {took:?}");
    // An endless body ends at the limit or at the deadline.
    let (verdict, took) = against(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while stream.write_all(&[b'x'; 4096]).is_ok() {}
    });
    assert!(matches!(verdict, Verdict::Fail(_)) && took < Duration::from_secs(2), "{verdict:?} after {took:?}");
}

#[test]
fn nobody_there_and_a_full_backlog_are_told_apart() {
    let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert!(matches!(carry_out(&probe(addr, "tcp")), Verdict::Fail(_)));
    // Never accepts: once the backlog is full, connecting takes for ever.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut held = vec![];
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
        held.push(stream);
        assert!(held.len() < 5000, "the backlog has no end");
    }
    assert!(matches!(carry_out(&probe(addr, "tcp")), Verdict::Unreachable(_)));
    // Accepted by the system, but never by the program.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(matches!(carry_out(&probe(listener.local_addr().unwrap(), "http")), Verdict::Fail(_)));
}
