use super::*;
use crate::protocol::users::Priority;
use proptest::prelude::*;

const JOBS: usize = 10;

fn id(n: usize) -> JobId {
    JobId::new(&format!("wk-{n}"))
}

fn own_priority_of(n: usize) -> EffectivePriority {
    let priority = [Priority::Low, Priority::Normal, Priority::High][n % 3];
    EffectivePriority { priority, due_ms: (n % 2 == 1).then_some(1000 * n as u64) }
}

/// Reference model that recomputes the state of each job from scratch.
#[derive(Default)]
struct Model {
    dependencies: [Vec<usize>; JOBS],
    waits: [bool; JOBS],
    end: [Option<JobOutcome>; JOBS],
}

impl Model {
    fn cancelled(&self, n: usize) -> bool {
        self.end[n] == Some(JobOutcome::Cancelled)
            || self.waits[n] && self.dependencies[n].iter().any(|p| self.cancelled(*p))
    }
    fn ready(&self, n: usize) -> bool {
        self.waits[n] && self.dependencies[n].iter().all(|p| self.end[*p] == Some(JobOutcome::Done))
    }
    fn inherited_priority(&self, n: usize) -> Option<EffectivePriority> {
        let dependents =
            (0..JOBS).filter(|f| self.waits[*f] && !self.cancelled(*f) && self.dependencies[*f].contains(&n));
        let with_inherited = |f: usize| {
            self.inherited_priority(f)
                .map_or(own_priority_of(f), |inherited| inherited.join(own_priority_of(f)))
                .due_earlier_by(10 * f as u64)
        };
        dependents.map(with_inherited).reduce(EffectivePriority::join)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(61), failure_persistence: None, ..Default::default() })]
    /// A stale index would start a job too early, never, or in the wrong order.
    #[test]
    fn graph_matches_the_reference_model_after_every_change(
        masks in proptest::collection::vec(0usize..1024, JOBS),
        steps in proptest::collection::vec((0usize..JOBS, any::<bool>()), 1..60),
    ) {
        let (mut dependency_graph, mut model, mut added) = (DependencyGraph::default(), Model::default(), 0);
        for (n, done) in steps {
            if n >= added {
                let indices: Vec<usize> = (0..added).filter(|p| masks[added] >> p & 1 == 1).collect();
                if !indices.is_empty() {
                    let dependency_ids: Vec<JobId> = indices.iter().map(|p| id(*p)).collect();
                    let state_of = |dependency: &JobId| {
                        let index = (0..added).find(|p| id(*p) == *dependency).expect("a job that was added");
                        model.end[index].map_or(DependencyState::Open, DependencyState::Ended)
                    };
                    let (own_priority, expected_ms) = (own_priority_of(added), 10 * added as u64);
                    dependency_graph.add(&id(added), WaitingJob { dependencies: dependency_ids, own_priority, expected_ms }, state_of);
                    (model.dependencies[added], model.waits[added]) = (indices, true);
                }
                added += 1;
            } else if model.ready(n) {
                model.waits[n] = false;
                dependency_graph.remove(&id(n));
            } else if model.end[n].is_none() && (!done || !model.waits[n]) {
                let end = if done { JobOutcome::Done } else { JobOutcome::Cancelled };
                (model.end[n], model.waits[n]) = (Some(end), false);
                dependency_graph.mark_ended(&id(n), end);
                dependency_graph.remove(&id(n));
            }
            for n in 0..added {
                prop_assert_eq!(dependency_graph.is_cancelled(&id(n)), model.waits[n] && model.cancelled(n));
                prop_assert_eq!(dependency_graph.is_ready(&id(n)), model.ready(n));
                prop_assert_eq!(dependency_graph.inherited_priority(&id(n)), model.inherited_priority(n));
            }
        }
    }
}
