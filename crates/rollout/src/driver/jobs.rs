//! Writes the decided records, and submits and withdraws jobs as the durable
//! records say, with retries.

use super::tracked::JobProgress;
use super::{service_key, Driver, Note, PendingCall, DRIVER_KEY, MAX_TIME_PER_TICK, RETRY_DELAY};
use crate::ports::{Answer, Call, Commit, JobStatus, JobSubmission};
use crate::reconcile::{reconcile, Event, MemberStatus, Observations};
use crate::record::{Phase, RolloutProgress, Service};
use crate::units::{JobId, Millis};

/// Maximum number of pending submissions and withdrawals over all services.
const MAX_JOB_CALLS: usize = 8;

/// Maximum number of pending writes of records.
const MAX_WRITES: usize = 4;

/// Interval between polls of the replicas.
const POLL_INTERVAL: Millis = Millis(1000);

/// Maximum number of jobs in one poll.
const MAX_POLLED_JOBS: usize = 2000;

/// The time of a step counts only if the state service answered within this time.
const MAX_STORE_SILENCE: Millis = Millis(5000);

impl Driver {
    /// Adds the time since the last tick to a service's step: to its duration only
    /// while the roll-out is in progress and the state service answers, to its
    /// bake time only while all of its replicas are healthy.
    pub(super) fn add_elapsed_time(&mut self, name: &str) {
        let now = self.now;
        let store_reachable = now.since(self.store_answered_at) <= MAX_STORE_SILENCE;
        let Some(tracked) = self.services.get_mut(name) else { return };
        let elapsed = Millis(now.since(tracked.last_tick).0.min(MAX_TIME_PER_TICK.0));
        tracked.last_tick = now;
        let Some(rollout) = tracked.record.rollout.as_ref().filter(|r| r.progress == RolloutProgress::InProgress)
        else {
            return;
        };
        if store_reachable {
            tracked.elapsed.spent = tracked.elapsed.spent + elapsed;
        }
        if rollout.phase == Phase::Baking {
            let statuses = tracked.member_statuses(now);
            let new = tracked.record.active_members().filter(|m| m.version == rollout.to);
            let healthy = |job: &JobId| statuses.get(job).map_or(0, |s| s.healthy);
            if new.into_iter().all(|m| healthy(&m.job) >= m.replicas) {
                tracked.elapsed.baked = tracked.elapsed.baked + elapsed;
            }
        }
    }

    /// Decides on the service's next record and writes it.
    pub(super) fn reconcile(&mut self, name: &str) {
        let now = self.now;
        let writes = self.calls.values().filter(|p| matches!(p, PendingCall::WriteRecord { .. })).count();
        let Some(lease_revision) = self.lease_revision() else { return };
        let Some(tracked) = self.services.get_mut(name) else { return };
        if tracked.busy || now < tracked.next_write || writes >= MAX_WRITES {
            return;
        }
        let statuses = tracked.member_statuses(now);
        let member_status = |job: &JobId| statuses.get(job).cloned().unwrap_or_else(MemberStatus::default);
        let (digits, mut assigned_ids) = (&self.config.first_digits, self.assigned_ids);
        let mut new_job_id = || {
            assigned_ids += 1;
            JobId(format!("wk-{digits}{:012}{assigned_ids:06}", lease_revision.0))
        };
        let observations = Observations { member_status: &member_status, elapsed: tracked.elapsed };
        let Some((next, events)) = reconcile(&tracked.record, &observations, &mut new_job_id) else { return };
        self.assigned_ids = assigned_ids;
        let Ok(value) = serde_json::to_value(&next) else { return };
        tracked.busy = true;
        let key = service_key(name);
        let conditions = vec![(DRIVER_KEY.to_string(), lease_revision), (key.clone(), tracked.revision)];
        let commit = Commit { conditions, key, value, lease: None };
        let pending = PendingCall::WriteRecord { service: name.into(), next: Box::new(next), events };
        self.call(Call::Commit(commit), pending);
    }

    pub(super) fn write_answer(&mut self, name: &str, next: Service, events: Vec<Event>, answer: Answer) {
        let now = self.now;
        match answer {
            Answer::Committed(revision) => {
                let position = next.rollout.as_ref().map_or((0, 0), |r| (r.number, r.step));
                if let Some(tracked) = self.services.get_mut(name) {
                    tracked.busy = false;
                }
                self.apply_record(name, next, revision);
                for event in events {
                    let service = name.to_string();
                    self.note(Note::Changed { service, number: position.0, step: position.1, event });
                }
            }
            Answer::Refused => {
                if let Some(tracked) = self.services.get_mut(name) {
                    tracked.busy = false;
                    tracked.next_write = now + RETRY_DELAY;
                }
            }
            // The record or the leader lease has changed, or the result of the
            // write is unknown: both are read before the next write.
            _ => {
                let key = service_key(name);
                self.call(Call::Get { key }, PendingCall::RereadRecord(name.into()));
                self.verify_lease();
            }
        }
    }

    pub(super) fn reread_answer(&mut self, name: &str, answer: Answer) {
        let now = self.now;
        match answer {
            Answer::Found(item) => {
                if let Some(tracked) = self.services.get_mut(name) {
                    tracked.busy = false;
                    tracked.next_write = now + Millis(RETRY_DELAY.0 / 4);
                }
                self.apply_value(&item.key, Some(item.value), item.revision);
            }
            Answer::Missing => {
                self.services.remove(name);
            }
            _ => {
                // `retry_reads` repeats the read after the delay.
                if let Some(tracked) = self.services.get_mut(name) {
                    tracked.next_write = now + RETRY_DELAY;
                    tracked.reread = true;
                }
            }
        }
    }

    /// Submits or withdraws the job of each member as the durable record says.
    pub(super) fn sync_jobs(&mut self, name: &str) {
        let now = self.now;
        let job_calls = |p: &&PendingCall| matches!(p, PendingCall::Submit { .. } | PendingCall::Withdraw { .. });
        let mut free_calls = MAX_JOB_CALLS.saturating_sub(self.calls.values().filter(job_calls).count());
        let Some(tracked) = self.services.get_mut(name) else { return };
        let mut calls = vec![];
        // Withdrawals first.
        let mut members: Vec<_> = tracked.record.members.iter().collect();
        members.sort_by_key(|m| !m.retiring);
        for member in members {
            if free_calls == 0 {
                break;
            }
            let progress = tracked.jobs.entry(member.job.clone()).or_default();
            if progress.busy || now < progress.next || progress.withdrawn {
                continue;
            }
            let (service, job) = (name.to_string(), member.job.clone());
            if member.retiring && !progress.submit_first {
                calls.push((Call::Withdraw { job: job.clone() }, PendingCall::Withdraw { service, job }));
            } else if !progress.accepted && progress.fault.is_none() {
                let Some(version) = tracked.record.versions.get(&member.version) else { continue };
                let submission =
                    JobSubmission { job: version.job.clone(), replicas: member.replicas, zone: member.zone.clone() };
                let call = Call::Submit { job: job.clone(), submission: Box::new(submission) };
                calls.push((call, PendingCall::Submit { service, job }));
            } else {
                continue;
            }
            progress.busy = true;
            free_calls -= 1;
        }
        for (call, pending) in calls {
            self.call(call, pending);
        }
    }

    /// Marks a job's call as answered and returns the job's progress, or `None` if
    /// its member was removed.
    fn finish_job_call(&mut self, service: &str, job: &JobId) -> Option<&mut JobProgress> {
        let next = self.now + RETRY_DELAY;
        let progress = self.services.get_mut(service)?.jobs.get_mut(job)?;
        progress.busy = false;
        progress.next = next;
        Some(progress)
    }

    pub(super) fn submit_answer(&mut self, service: &str, job: &JobId, answer: Answer) {
        let now = self.now;
        let Some(progress) = self.finish_job_call(service, job) else { return };
        progress.submit_first = progress.submit_first && matches!(answer, Answer::Refused | Answer::Unknown);
        match answer {
            Answer::Job(JobStatus::Accepted) => progress.accepted = true,
            Answer::Job(JobStatus::Ended) => progress.fault = Some("the job was withdrawn by somebody else".into()),
            Answer::Unacceptable(why) => progress.fault = Some(format!("the platform refuses it: {why}")),
            _ => return,
        }
        progress.next = now;
    }

    pub(super) fn withdraw_answer(&mut self, service: &str, job: &JobId, answer: Answer) {
        let now = self.now;
        let Some(progress) = self.finish_job_call(service, job) else { return };
        match answer {
            Answer::Job(JobStatus::Ended) => progress.withdrawn = true,
            // The job was never submitted, or a delayed submission may still
            // create it. It is submitted and then withdrawn, so that it can't be
            // created later. A job that the platform rejects needs no withdrawal.
            Answer::Job(JobStatus::Unknown) => {
                progress.withdrawn = progress.fault.is_some();
                progress.submit_first = !progress.withdrawn;
                progress.next = now;
            }
            _ => {}
        }
    }

    /// Polls the replicas of all services that need work.
    pub(super) fn poll(&mut self) {
        if self.polling || self.now < self.next_poll {
            return;
        }
        let working = self.services.values().filter(|t| t.needs_work());
        let jobs: Vec<JobId> =
            working.flat_map(|t| t.record.active_members().map(|m| m.job.clone())).take(MAX_POLLED_JOBS).collect();
        if jobs.is_empty() {
            return;
        }
        self.polling = true;
        self.next_poll = self.now + POLL_INTERVAL;
        self.call(Call::Replicas { jobs }, PendingCall::Replicas(self.now));
    }

    pub(super) fn replicas_answer(&mut self, asked_at: Millis, answer: Answer) {
        self.polling = false;
        let Answer::Replicas(replicas) = answer else { return };
        let now = self.now;
        for observed in replicas {
            let Some(tracked) = self.service_of.get(&observed.replica.0).and_then(|name| self.services.get_mut(name))
            else {
                continue;
            };
            let member = tracked.record.members.iter().find(|m| m.job == observed.replica.0);
            let version = member.filter(|m| observed.replica.1 < m.replicas).map(|m| m.version);
            if let Some(version) = version.and_then(|v| tracked.record.versions.get(&v)) {
                tracked.health.observe(now, asked_at, observed, &version.check);
            }
        }
        for tracked in self.services.values_mut().filter(|t| t.needs_work()) {
            let versions = &tracked.record.versions;
            let members = tracked.record.members.iter();
            tracked.health.update_shared_addrs(members.filter_map(|m| Some((m, &versions.get(&m.version)?.check))));
        }
    }

    fn verify_lease(&mut self) {
        if !self.calls.values().any(|p| matches!(p, PendingCall::VerifyLease)) {
            self.call(Call::Get { key: DRIVER_KEY.into() }, PendingCall::VerifyLease);
        }
    }

    /// Steps down if another process holds the leader lease, or none does.
    pub(super) fn lease_verified(&mut self, answer: &Answer) {
        let is_ours = match answer {
            Answer::Found(item) => Some(item.revision) == self.lease_revision(),
            Answer::Missing => false,
            _ => true,
        };
        if self.is_leader() && !is_ours {
            self.step_down();
        }
    }

    /// Repeats the read of a record that failed before.
    pub(super) fn retry_reads(&mut self, name: &str) {
        let now = self.now;
        let Some(tracked) = self.services.get_mut(name).filter(|t| t.reread && now >= t.next_write) else { return };
        tracked.reread = false;
        self.call(Call::Get { key: service_key(name) }, PendingCall::RereadRecord(name.into()));
    }
}
