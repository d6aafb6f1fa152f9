use super::*;

#[test]
fn shards_are_assigned_to_live_homes_or_else_spread_over_live_nodes() {
    let all: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let full = assign_shards(3, &all, &["a", "b", "c"].into());
    assert_eq!(full.values().collect::<Vec<_>>(), ["a", "b", "c"]);
    let two = assign_shards(3, &all, &["a", "c"].into());
    assert_eq!((two[&ShardId(0)].as_str(), two[&ShardId(2)].as_str()), ("a", "c"));
    assert!(["a", "c"].contains(&two[&ShardId(1)].as_str()));
    assert_eq!(assign_shards(3, &all, &["b"].into()).len(), 3);
}
