//! A service as its driver knows it: the durable record, and what is seen.

use crate::file::Check;
use crate::health::Health;
use crate::ports::{ReplicaState, Verdict};
use crate::reconcile::{ElapsedTime, MemberStatus};
use crate::record::{Member, Phase, RolloutProgress, Service};
use crate::units::{JobId, Millis, Revision};
use serde::Serialize;
use std::collections::BTreeMap;

/// What was done about a member's job in this reign.
#[derive(Debug, Default)]
pub(super) struct JobProgress {
    /// The platform knows the job.
    pub accepted: bool,
    /// It will never run again.
    pub withdrawn: bool,
    /// It must be made known before it can be withdrawn for good.
    pub submit_first: bool,
    pub busy: bool,
    pub next: Millis,
    /// Why the platform will never run it.
    pub fault: Option<String>,
}

#[derive(Debug)]
pub(super) struct TrackedService {
    pub revision: Revision,
    pub record: Service,
    pub health: Health,
    pub elapsed: ElapsedTime,
    pub last_tick: Millis,
    /// A write or a read of the record is under way.
    pub busy: bool,
    /// It must be read again before anything is written.
    pub reread: bool,
    pub next_write: Millis,
    pub jobs: BTreeMap<JobId, JobProgress>,
    /// Its last check took nearly all of its time.
    pub slow: bool,
}

/// A replica as it is seen now.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The job that the replica belongs to.
    pub job: JobId,
    /// The replica's number within its job.
    pub index: u32,
    /// Name of the version that it runs.
    pub version: String,
    /// Its life-cycle state: `waiting`, `starting`, `running`, `leaving`, `ended` or `unknown`.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// Address of its machine without a port; empty if unknown.
    pub host: String,
    /// Zone of its machine; empty if unknown.
    pub zone: String,
    /// Whether it passed enough checks in a row to be ready.
    pub ready: bool,
    /// Checks passed in a row by this attempt.
    pub passes: u32,
    /// Failures counted in this step.
    pub failures: u32,
    /// The last verdict, and how long ago it came in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last: Option<(String, f64)>,
}

/// What the driver sees of a service beyond its record.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// Time spent in the step, in seconds.
    pub spent_s: f64,
    /// Time for which the step's replicas have been healthy, in seconds.
    pub baked_s: f64,
    /// The service's known replicas.
    pub replicas: Vec<ReplicaStatus>,
}

impl TrackedService {
    pub fn new(now: Millis) -> TrackedService {
        TrackedService {
            revision: Revision(0),
            record: Service::default(),
            health: Health::default(),
            elapsed: ElapsedTime::default(),
            last_tick: now,
            busy: false,
            reread: false,
            next_write: Millis(0),
            jobs: BTreeMap::new(),
            slow: false,
        }
    }

    /// True if there may be anything to do about it.
    pub fn needs_work(&self) -> bool {
        let over = self
            .record
            .rollout
            .as_ref()
            .is_none_or(|r| matches!(r.progress, RolloutProgress::Completed | RolloutProgress::Reverted));
        !over || self.record.members.iter().any(|m| m.retiring)
    }

    pub fn has(&self, job: &JobId) -> bool {
        self.record.members.iter().any(|m| m.job == *job)
    }

    /// Takes a durable record. Time seen but not durable yet is kept as long as
    /// the same step goes on.
    pub fn apply_record(&mut self, record: Service, revision: Revision) {
        let key = |s: &Service| s.rollout.as_ref().map(|r| (r.number, r.step, r.phase == Phase::Reverting));
        let direction = |s: &Service| s.rollout.as_ref().map(|r| r.phase);
        let same_step = key(&self.record) == key(&record);
        let halted = |s: &Service| s.rollout.as_ref().is_some_and(|r| r.progress == RolloutProgress::Halted);
        let again = halted(&self.record) && !halted(&record);
        let durable =
            record.rollout.as_ref().map_or(ElapsedTime::default(), |r| ElapsedTime { spent: r.spent, baked: r.baked });
        if !same_step || again {
            self.health.reset_step();
            self.elapsed = durable;
        } else {
            self.elapsed.spent = self.elapsed.spent.max(durable.spent);
            let went_on = direction(&self.record) == direction(&record);
            self.elapsed.baked = if went_on { self.elapsed.baked.max(durable.baked) } else { durable.baked };
        }
        self.revision = revision;
        self.record = record;
        let members = &self.record.members;
        self.health.retain(|job| members.iter().any(|m| m.job == *job));
        self.jobs.retain(|job, _| members.iter().any(|m| m.job == *job));
    }

    pub fn check(&self, member: &Member) -> Option<&Check> {
        self.record.versions.get(&member.version).map(|v| &v.check)
    }

    /// What is seen of each member.
    pub fn member_statuses(&self, now: Millis) -> BTreeMap<JobId, MemberStatus> {
        let of = |member: &Member| {
            let mut seen =
                self.check(member).map(|check| self.health.member_status(now, member, check)).unwrap_or_default();
            if let Some(work) = self.jobs.get(&member.job) {
                seen.withdrawn = work.withdrawn;
                if work.fault.is_some() {
                    seen.fault.clone_from(&work.fault);
                    seen.unavailable = member.replicas;
                }
            }
            (member.job.clone(), seen)
        };
        self.record.members.iter().map(of).collect()
    }

    pub fn service_status(&self, now: Millis) -> ServiceStatus {
        let version = |job: &JobId| {
            let member = self.record.members.iter().find(|m| m.job == *job);
            member.map_or_else(String::new, |m| self.record.version_name(m.version).to_string())
        };
        let replicas = self.health.replicas().map(|((job, index), replica)| {
            let seen = replica.observed.as_ref();
            ReplicaStatus {
                job: job.clone(),
                index: *index,
                version: version(job),
                state: state_name(seen.map(|s| s.state)),
                host: seen.map(|s| s.host.clone()).unwrap_or_default(),
                zone: seen.map(|s| s.zone.clone()).unwrap_or_default(),
                ready: replica.ready,
                passes: replica.consecutive_passes,
                failures: replica.step_failures,
                last: replica.last_verdict.as_ref().map(|(at, verdict)| {
                    let text = match verdict {
                        Verdict::Pass => "passed".to_string(),
                        Verdict::Fail(why) => format!("failed: {why}"),
                        Verdict::Unreachable(why) => format!("not reached: {why}"),
                    };
                    (text, now.since(*at).0 as f64 / 1000.0)
                }),
            }
        });
        ServiceStatus {
            spent_s: self.elapsed.spent.0 as f64 / 1000.0,
            baked_s: self.elapsed.baked.0 as f64 / 1000.0,
            replicas: replicas.collect(),
        }
    }
}

fn state_name(state: Option<ReplicaState>) -> &'static str {
    match state {
        None => "unknown",
        Some(ReplicaState::Pending) => "waiting",
        Some(ReplicaState::Starting) => "starting",
        Some(ReplicaState::Running) => "running",
        Some(ReplicaState::Terminating) => "leaving",
        Some(ReplicaState::Ended) => "ended",
    }
}
