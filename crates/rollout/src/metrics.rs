//! Counts and times, in the Prometheus text format.

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
struct Result {
    result: &'static str,
}

/// What a controller counts of its roll-outs.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    checks: Family<Result, Counter>,
    check_times: Histogram,
    steps: Family<Result, Counter>,
    ends: Family<Result, Counter>,
    writes: Counter,
    driving: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tillercleat_rollout");
        let checks = Family::default();
        let check_times = Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let steps = Family::default();
        let ends = Family::default();
        let (writes, driving) = (Counter::default(), Gauge::default());
        registry.register("checks", "Checks by what they found", checks.clone());
        registry.register("check_seconds", "How long checks took", check_times.clone());
        registry.register("steps", "Steps that passed or failed", steps.clone());
        registry.register("ends", "Roll-outs that ended, by how", ends.clone());
        registry.register("changes", "Decisions made durable", writes.clone());
        registry.register("driving", "1 while this controller drives", driving.clone());
        Metrics { registry, checks, check_times, steps, ends, writes, driving }
    }
}

impl Metrics {
    /// Counts a check's verdict and how long it took.
    pub fn checked(&self, verdict: &Verdict, took: Duration) {
        let result = match verdict {
            Verdict::Pass => "passed",
            Verdict::Fail(_) => "failed",
            Verdict::Unreachable(_) => "unreachable",
        };
        self.checks.get_or_create(&Result { result }).inc();
        self.check_times.observe(took.as_secs_f64());
    }

    /// Counts what the driver noted.
    pub fn noted(&self, note: &Note) {
        match note {
            Note::BecameLeader(_) => drop(self.driving.set(1)),
            Note::SteppedDown => drop(self.driving.set(0)),
            Note::Unreadable { .. } => {}
            Note::Changed { event, .. } => {
                self.writes.inc();
                match event {
                    Event::StepPassed(_) => drop(self.steps.get_or_create(&Result { result: "passed" }).inc()),
                    Event::StepFailed { .. } => drop(self.steps.get_or_create(&Result { result: "failed" }).inc()),
                    Event::Ended(progress) => {
                        let result = match progress {
                            RolloutProgress::Completed => "new",
                            RolloutProgress::Reverted => "reverted",
                            _ => "halted",
                        };
                        self.ends.get_or_create(&Result { result }).inc();
                    }
                    _ => {}
                }
            }
        }
    }

    /// All of it as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
