use super::*;
use crate::protocol::users::Priority;
use proptest::prelude::*;

const JOBS: usize = 10;

fn id(n: usize) -> JobId {
    JobId::new(&format!("wk-{n}"))
}

fn own(n: usize) -> EffectivePriority {
    let priority = [Priority::Low, Priority::Normal, Priority::High][n % 3];
    EffectivePriority { priority, due_ms: (n % 2 == 1).then_some(1000 * n as u64) }
}

/// What must be true of ten jobs, worked out anew.
#[derive(Default)]
struct Model {
    names: [Vec<usize>; JOBS],
    waits: [bool; JOBS],
    end: [Option<JobOutcome>; JOBS],
}

impl Model {
    fn cancelled(&self, n: usize) -> bool {
        self.end[n] == Some(JobOutcome::Cancelled) || self.waits[n] && self.names[n].iter().any(|p| self.cancelled(*p))
    }
    fn ready(&self, n: usize) -> bool {
        self.waits[n] && self.names[n].iter().all(|p| self.end[*p] == Some(JobOutcome::Done))
    }
    fn effective_priority(&self, n: usize) -> Option<EffectivePriority> {
        let followers = (0..JOBS).filter(|f| self.waits[*f] && !self.cancelled(*f) && self.names[*f].contains(&n));
        let all = |f: usize| {
            self.effective_priority(f)
                .map_or(own(f), |effective_priority| effective_priority.join(own(f)))
                .due_earlier_by(10 * f as u64)
        };
        followers.map(all).reduce(EffectivePriority::join)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(61), failure_persistence: None, ..Default::default() })]
    /// An index that lags would start a job too early, never, or in the wrong order.
    #[test]
    fn the_graph_agrees_with_a_model_after_every_change(
        masks in proptest::collection::vec(0usize..1024, JOBS),
        steps in proptest::collection::vec((0usize..JOBS, any::<bool>()), 1..60),
    ) {
        let (mut dependency_graph, mut model, mut came) = (DependencyGraph::default(), Model::default(), 0);
        for (n, done) in steps {
            if n >= came {
                let names: Vec<usize> = (0..came).filter(|p| masks[came] >> p & 1 == 1).collect();
                if !names.is_empty() {
                    let refs: Vec<JobId> = names.iter().map(|p| id(*p)).collect();
                    let known = |name: &JobId| {
                        let at = (0..came).find(|p| id(*p) == *name).expect("a job that came");
                        model.end[at].map_or(DependencyState::Open, DependencyState::Ended)
                    };
                    let (own_priority, expected_ms) = (own(came), 10 * came as u64);
                    dependency_graph.add(&id(came), WaitingJob { dependencies: refs, own_priority, expected_ms }, known);
                    (model.names[came], model.waits[came]) = (names, true);
                }
                came += 1;
            } else if model.ready(n) {
                model.waits[n] = false;
                dependency_graph.remove(&id(n));
            } else if model.end[n].is_none() && (!done || !model.waits[n]) {
                let end = if done { JobOutcome::Done } else { JobOutcome::Cancelled };
                (model.end[n], model.waits[n]) = (Some(end), false);
                dependency_graph.ended(&id(n), end);
                dependency_graph.remove(&id(n));
            }
            for n in 0..came {
                prop_assert_eq!(dependency_graph.is_cancelled(&id(n)), model.waits[n] && model.cancelled(n));
                prop_assert_eq!(dependency_graph.is_ready(&id(n)), model.ready(n));
                prop_assert_eq!(dependency_graph.effective_priority(&id(n)), model.effective_priority(n));
            }
        }
    }
}
