//! Metrics of roll-outs in the Prometheus text format.

use crate::driver::Note;
use crate::ports::Verdict;
use crate::reconcile::Event;
use crate::record::RolloutProgress;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// Metrics that one controller keeps of its roll-outs.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    checks: Family<ResultLabel, Counter>,
    check_seconds: Histogram,
    steps: Family<ResultLabel, Counter>,
    ends: Family<ResultLabel, Counter>,
    changes: Counter,
    driving: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tillercleat_rollout");
        let checks = Family::default();
        let check_seconds = Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let steps = Family::default();
        let ends = Family::default();
        let (changes, driving) = (Counter::default(), Gauge::default());
        registry.register("checks", "Checks by what they found", checks.clone());
        registry.register("check_seconds", "How long checks took", check_seconds.clone());
        registry.register("steps", "Steps that passed or failed", steps.clone());
        registry.register("ends", "Roll-outs that ended, by how", ends.clone());
        registry.register("changes", "Decisions made durable", changes.clone());
        registry.register("driving", "1 while this controller drives", driving.clone());
        Metrics { registry, checks, check_seconds, steps, ends, changes, driving }
    }
}

impl Metrics {
    /// Records the verdict of a check and how long the check took.
    pub fn record_check(&self, verdict: &Verdict, took: Duration) {
        let result = match verdict {
            Verdict::Pass => "passed",
            Verdict::Fail(_) => "failed",
            Verdict::Unreachable(_) => "unreachable",
        };
        self.checks.get_or_create(&ResultLabel { result }).inc();
        self.check_seconds.observe(took.as_secs_f64());
    }

    /// Updates the counters for a note of the driver.
    pub fn record_note(&self, note: &Note) {
        match note {
            Note::BecameLeader(_) => drop(self.driving.set(1)),
            Note::SteppedDown => drop(self.driving.set(0)),
            Note::Unreadable { .. } => {}
            Note::Changed { event, .. } => {
                self.changes.inc();
                match event {
                    Event::StepPassed(_) => drop(self.steps.get_or_create(&ResultLabel { result: "passed" }).inc()),
                    Event::StepFailed { .. } => drop(self.steps.get_or_create(&ResultLabel { result: "failed" }).inc()),
                    Event::Ended(progress) => {
                        let result = match progress {
                            RolloutProgress::Completed => "new",
                            RolloutProgress::Reverted => "reverted",
                            _ => "halted",
                        };
                        self.ends.get_or_create(&ResultLabel { result }).inc();
                    }
                    _ => {}
                }
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
