use super::*;
use proptest::prelude::*;

#[test]
fn parses_a_request_head_and_reports_an_incomplete_one() {
    let bytes = b"POST /hello HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    let (head, head_len) = parse_request_head(bytes).unwrap().unwrap();
    assert_eq!((head.method.as_str(), head.path.as_str()), ("POST", "/hello"));
    assert_eq!((head.content_length, head.close, bytes.len() - head_len), (Some(2), true, 2));
    assert!(parse_request_head(&bytes[..20]).unwrap().is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..Default::default() })]
    #[test]
    fn parsers_do_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_request_head(&bytes);
        let _ = parse_response_head(&bytes);
    }
}
