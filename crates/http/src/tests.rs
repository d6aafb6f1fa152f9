use super::*;

/// A controller ended at once when its earlier life's socket was still there.
#[test]
fn an_address_that_is_still_taken_is_waited_for() {
    let earlier = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = earlier.local_addr().unwrap();
    let freed = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(150));
        drop(earlier);
    });
    assert_eq!(listen(addr).unwrap().local_addr().unwrap(), addr);
    freed.join().unwrap();
}
use proptest::prelude::*;

#[test]
fn heads_are_read() {
    let bytes = b"POST /hello HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    let (head, used) = parse_head(bytes, true).unwrap().unwrap();
    assert_eq!((head.method.as_str(), head.path.as_str()), ("POST", "/hello"));
    assert_eq!((head.length, head.close, bytes.len() - used), (Some(2), true, 2));
    assert!(parse_head(&bytes[..20], true).unwrap().is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..Default::default() })]
    #[test]
    fn garbage_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400), request in any::<bool>()) {
        let _ = parse_head(&bytes, request);
    }
}
