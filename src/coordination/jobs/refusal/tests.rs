use super::*;

/// Status, retry delay and message of each refusal are part of the interface and must not change.
#[test]
fn each_refusal_keeps_its_status_retry_and_text() {
    let job = || JobId::new("wk-000001");
    let expected: [(Refusal, u16, Option<u32>, &str); 20] = [
        (Refusal::Malformed("gpus is out of range".into()), 400, None, "gpus is out of range"),
        (Refusal::NotSerializable, 400, None, "not a job"),
        (Refusal::RejectedByStore, 400, None, "too large to keep"),
        (Refusal::JobNotFound, 404, None, "no such job"),
        (InfeasibleJob::UnknownTeam.into(), 422, None, "unknown team"),
        (InfeasibleJob::NoMachineType.into(), 422, None, "a task fits no allowed machine type"),
        (InfeasibleJob::OverTeamLimit.into(), 422, None, "more than the team's limit"),
        (InfeasibleJob::OneZoneOnly.into(), 422, None, "the tasks must be spread, and may only be in one zone"),
        (InfeasibleJob::RecordTooLarge.into(), 422, None, "the job and the names it awaits are too large to be kept"),
        (InfeasibleJob::DependsOnItself.into(), 422, None, "a job cannot await itself"),
        (InfeasibleJob::DependsOnService(job()).into(), 422, None, "wk-000001 is a service, which is never done"),
        (InfeasibleJob::DependencyNotFound(job()).into(), 422, None, "wk-000001 was never accepted"),
        (Refusal::Starting, 503, Some(1), "starting"),
        (Refusal::Busy, 503, Some(1), "busy"),
        (Refusal::StoreUnavailable, 503, Some(1), "the state service does not answer"),
        (Refusal::JobChanging, 503, Some(1), "the job is changing"),
        (Refusal::JobUnreadable, 503, Some(1), "the job cannot be read"),
        (Refusal::DependencyUnreadable, 503, Some(1), "a job it names cannot be read"),
        (Refusal::DependencyUnresolved, 503, Some(1), "a job before it is being looked up"),
        (
            Refusal::DependenciesNotEnabled,
            503,
            Some(2),
            "jobs that await others are taken once all controllers know of them",
        ),
    ];
    for (refusal, status, retry_after_s, text) in expected {
        assert_eq!(refusal.to_string(), text);
        assert_eq!(refusal.http_status(), status, "{text}");
        assert_eq!(refusal.retry_after_s(), retry_after_s, "{text}");
    }
}
