//! The driver's view of a service: its durable record and its observed state.

use crate::file::Check;
use crate::health::Health;
use crate::ports::{ReplicaState, Verdict};
use crate::reconcile::{ElapsedTime, MemberStatus};
use crate::record::{Member, Phase, RolloutProgress, Service};
use crate::units::{JobId, Millis, Revision};
use serde::Serialize;
use std::collections::BTreeMap;

/// Calls for a member's job since this node became the leader.
#[derive(Debug, Default)]
pub(super) struct JobProgress {
    /// The platform accepted the job.
    pub accepted: bool,
    /// The withdrawal is confirmed; the job will never run again.
    pub withdrawn: bool,
    /// The platform does not know the job: it must be submitted before it can be
    /// withdrawn, so that a delayed submission can't create it later.
    pub submit_first: bool,
    /// A call for the job is pending.
    pub busy: bool,
    /// Earliest time of the next call.
    pub next: Millis,
    /// Why the platform will never run the job.
    pub fault: Option<String>,
}

#[derive(Debug)]
pub(super) struct TrackedService {
    pub revision: Revision,
    pub record: Service,
    pub health: Health,
    pub elapsed: ElapsedTime,
    pub last_tick: Millis,
    /// A read or write of the record is pending.
    pub busy: bool,
    /// The record must be read again before the next write.
    pub reread: bool,
    pub next_write: Millis,
    pub jobs: BTreeMap<JobId, JobProgress>,
    /// The last check failed after most of its time-out.
    pub slow: bool,
}

/// Observed state of a replica.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The job that the replica belongs to.
    pub job: JobId,
    /// Index of the replica within its job.
    pub index: u32,
    /// Name of the version that the replica runs.
    pub version: String,
    /// Life-cycle state: `waiting`, `starting`, `running`, `leaving`, `ended` or `unknown`.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// Address of the machine without a port; empty if unknown.
    pub host: String,
    /// Zone of the machine; empty if unknown.
    pub zone: String,
    /// True if the replica passed enough checks in a row to be ready.
    pub ready: bool,
    /// Checks passed in a row by this attempt.
    pub passes: u32,
    /// Failures of the replica in this step.
    pub failures: u32,
    /// Text of the last verdict and its age in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last: Option<(String, f64)>,
}

/// Observed state of a service, which is not in its record.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// Time spent in the step, in seconds.
    pub spent_s: f64,
    /// Time for which the step's replicas have been healthy, in seconds.
    pub baked_s: f64,
    /// Known replicas, ordered by job and index.
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

    /// True if the roll-out is not finished, or a member is retiring. A halted
    /// roll-out counts as unfinished.
    pub fn needs_work(&self) -> bool {
        let finished = self
            .record
            .rollout
            .as_ref()
            .is_none_or(|r| matches!(r.progress, RolloutProgress::Completed | RolloutProgress::Reverted));
        !finished || self.record.members.iter().any(|m| m.retiring)
    }

    pub fn has(&self, job: &JobId) -> bool {
        self.record.members.iter().any(|m| m.job == *job)
    }

    /// Replaces the record. Elapsed time that is not in the new record yet is kept
    /// while the step stays the same.
    pub fn apply_record(&mut self, record: Service, revision: Revision) {
        let key = |s: &Service| s.rollout.as_ref().map(|r| (r.number, r.step, r.phase == Phase::Reverting));
        let phase = |s: &Service| s.rollout.as_ref().map(|r| r.phase);
        let same_step = key(&self.record) == key(&record);
        let halted = |s: &Service| s.rollout.as_ref().is_some_and(|r| r.progress == RolloutProgress::Halted);
        let resumed = halted(&self.record) && !halted(&record);
        let durable =
            record.rollout.as_ref().map_or(ElapsedTime::default(), |r| ElapsedTime { spent: r.spent, baked: r.baked });
        if !same_step || resumed {
            self.health.reset_step();
            self.elapsed = durable;
        } else {
            self.elapsed.spent = self.elapsed.spent.max(durable.spent);
            let same_phase = phase(&self.record) == phase(&record);
            self.elapsed.baked = if same_phase { self.elapsed.baked.max(durable.baked) } else { durable.baked };
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

    /// Returns the observed status of each member.
    pub fn member_statuses(&self, now: Millis) -> BTreeMap<JobId, MemberStatus> {
        let status_of = |member: &Member| {
            let mut status =
                self.check(member).map(|check| self.health.member_status(now, member, check)).unwrap_or_default();
            if let Some(progress) = self.jobs.get(&member.job) {
                status.withdrawn = progress.withdrawn;
                if progress.fault.is_some() {
                    status.fault.clone_from(&progress.fault);
                    status.unavailable = member.replicas;
                }
            }
            (member.job.clone(), status)
        };
        self.record.members.iter().map(status_of).collect()
    }

    pub fn service_status(&self, now: Millis) -> ServiceStatus {
        let version = |job: &JobId| {
            let member = self.record.members.iter().find(|m| m.job == *job);
            member.map_or_else(String::new, |m| self.record.version_name(m.version).to_string())
        };
        let replicas = self.health.replicas().map(|((job, index), replica)| {
            let observed = replica.observed.as_ref();
            ReplicaStatus {
                job: job.clone(),
                index: *index,
                version: version(job),
                state: state_name(observed.map(|s| s.state)),
                host: observed.map(|s| s.host.clone()).unwrap_or_default(),
                zone: observed.map(|s| s.zone.clone()).unwrap_or_default(),
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
