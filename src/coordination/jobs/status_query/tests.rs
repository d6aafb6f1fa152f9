use super::*;
use crate::coordination::{ClientRequest, Input, Output, Response};

/// Without an early refusal, users of a controller cut off from the store wait 1.5 s for each one.
#[test]
fn queries_are_refused_at_once_while_the_store_is_silent() {
    let mut core = crate::coordination::tests::core();
    core.store.set_loaded();
    core.store.set_last_response(MonotonicTime(1000));
    let mut is_refused = |at: u64| {
        let outputs = core.handle(
            MonotonicTime(at),
            0,
            Input::ClientRequest(RequestId(at), ClientRequest::Query(JobId::new("wk-000001"))),
        );
        outputs.iter().any(|o| {
            matches!(o, Output::Response(RequestId(id), Response::Error(refusal))
                if *id == at && refusal.http_status() == 503 && refusal.retry_after_s().is_some())
        })
    };
    for at in (1100..6000).step_by(300) {
        assert_eq!(is_refused(at), at > 3500, "{at}");
    }
}
