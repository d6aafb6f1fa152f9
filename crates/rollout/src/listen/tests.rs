use super::*;

#[test]
fn requests_are_routed_by_method_and_path() {
    assert_eq!(route("GET", "/v1/rollouts", b""), Routed::OperatorRequest(OperatorRequest::List));
    assert_eq!(
        route("POST", "/v1/rollouts/a/abort", b""),
        Routed::OperatorRequest(OperatorRequest::Command("a".into(), Command::Abort))
    );
    let status = |method: &str, target: &str, body: &[u8]| match route(method, target, body) {
        Routed::Immediate(response) => response.status,
        _ => 0,
    };
    assert_eq!(status("GET", "/v1/rollouts/a/abort", b""), 405);
    assert_eq!(status("POST", "/v1/rollouts/a/explode", b""), 404);
    assert_eq!(status("GET", "/v1/rollouts/..%2fd", b""), 404);
    assert_eq!(status("POST", "/v1/rollouts", b"[]"), 400);
    assert_eq!(status("GET", "/v1/schema", b""), 200);
    assert_eq!(status("GET", "/", b""), 404);
}
