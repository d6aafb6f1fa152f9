use super::*;

#[test]
fn keys_parse_to_the_record_they_were_built_for() {
    let job = JobId::new("wk-000001");
    assert_eq!(RecordKey::parse(&slice_key(&job, 3)), Some(RecordKey::Slice(job.clone(), 3)));
    assert_eq!(RecordKey::parse(&job_key(&job)), Some(RecordKey::Job(job)));
    assert_eq!(RecordKey::parse(&owner_key(ShardId(2))), Some(RecordKey::Owner(ShardId(2))));
    let node = NodeName::new("n1");
    assert_eq!(RecordKey::parse(&lease_proxy_key(ShardId(2), &node)), Some(RecordKey::LeaseProxy(ShardId(2), node)));
    assert_eq!(RecordKey::parse("elsewhere"), None);
}
