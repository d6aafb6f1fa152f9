//! Permanent refusal of submissions that are malformed or whose jobs can never run.
//!
//! A job that any controller of any version has accepted stays known: a repeated submission is answered
//! with its state, even if its body would be refused now and even by a controller whose cache lags.
//! A submission is therefore refused only after store reads have shown that the job does not exist.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, InfeasibleJob, Refusal};
use crate::protocol::cloud::MachineType;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::records::{archived_job_key, job_key};
use crate::units::{JobId, RequestId};
use std::collections::BTreeSet;

/// Rounding error allowed when requested amounts (CPUs or GPUs) are compared with a team's limit.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A refusal that is held back until store reads have shown that its job does not exist.
#[derive(Debug)]
pub(crate) struct HeldRefusal {
    request: RequestId,
    job: JobId,
    refusal: Refusal,
    /// True if the job has no job record and is being looked up in the archive.
    in_archive: bool,
}

impl Core {
    /// Refuses a submission unless its job is already known, in the cache or in the store.
    pub(crate) fn refuse_unless_known(&mut self, request: RequestId, job: JobId, refusal: Refusal) {
        if !self.answer_if_known(request, &job) {
            self.look_up_refused_job(HeldRefusal { request, job, refusal, in_archive: false });
        }
    }

    /// Reads the job record or the archive record of a refused job. Archiving moves a job from the first
    /// key to the second in one transaction and is never undone, so reading the keys in this order
    /// cannot miss an existing job.
    fn look_up_refused_job(&mut self, held: HeldRefusal) {
        if self.try_charge_request(held.request) {
            let key = if held.in_archive { archived_job_key(&held.job) } else { job_key(&held.job) };
            self.call_store(StoreRequest::Get { key }, PendingRequest::RefusalLookUp(held));
        }
    }

    /// Handles the response to a look-up of a refused job: refuses the submission if the job does not
    /// exist, and answers with the job's state otherwise.
    pub(crate) fn handle_refusal_lookup(&mut self, held: HeldRefusal, answer: StoreResponse) {
        match answer {
            StoreResponse::Missing(_) if !held.in_archive => {
                self.look_up_refused_job(HeldRefusal { in_archive: true, ..held });
            }
            StoreResponse::Missing(_) => {
                let (job, status, reason) = (&held.job, held.refusal.http_status(), &held.refusal);
                tracing::info!(job = %job, status, reason = %reason, "refused submission");
                self.refuse(held.request, held.refusal);
            }
            StoreResponse::Found(_) => {
                if self.cache_job_or_archived(&held.job, held.in_archive, answer) {
                    self.answer_known_job(held.request, &held.job);
                } else {
                    self.refuse(held.request, Refusal::JobUnreadable);
                }
            }
            _ => self.refuse(held.request, Refusal::StoreUnavailable),
        }
    }

    /// Caches a job record or archive record that was read from the store. Returns false if the answer
    /// contains no readable record.
    pub(crate) fn cache_job_or_archived(&mut self, job: &JobId, archived: bool, answer: StoreResponse) -> bool {
        if archived {
            self.cache_archived_job(job, answer).is_some()
        } else {
            self.cache_job_record(answer).is_some()
        }
    }

    /// Checks whether a job can ever run. A single machine type, in a zone that offers it, must meet all
    /// requirements of a task. All replicas of a service and all tasks of a gang must be able to run at
    /// the same time.
    ///
    /// # Errors
    ///
    /// Returns the reason why the job can never run.
    pub(crate) fn check_feasible(&self, spec: &JobSpec) -> Result<(), InfeasibleJob> {
        let team = self.settings.cluster.teams.iter().find(|team| team.name == spec.team);
        let team = team.ok_or(InfeasibleJob::UnknownTeam)?;
        let zones = self.possible_zones(spec);
        if zones.is_empty() {
            return Err(InfeasibleJob::NoMachineType);
        }
        // Tasks of an array need not run concurrently.
        let concurrent_tasks = if spec.kind == JobKind::Array { 1 } else { spec.task_count };
        let exceeds = |limit: f64, per_task: f64| {
            limit > 0.0 && per_task * f64::from(concurrent_tasks) > limit + ROUNDING_TOLERANCE
        };
        if exceeds(team.cpus_max, spec.cpus) || exceeds(team.gpus_max, spec.gpus) {
            return Err(InfeasibleJob::OverTeamLimit);
        }
        if spec.apart && concurrent_tasks > 1 && (spec.one_zone || zones.len() < 2) {
            return Err(InfeasibleJob::OneZoneOnly);
        }
        Ok(())
    }

    /// Returns the zones in which a task may run: the allowed zones that offer an allowed machine type
    /// large enough for it.
    fn possible_zones(&self, spec: &JobSpec) -> BTreeSet<&String> {
        let fitting = self.catalog.types().filter(|machine_type| fits_task(machine_type, spec));
        let allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|only| only == *zone);
        fitting.flat_map(|machine_type| &machine_type.zones).filter(allowed).collect()
    }
}

fn fits_task(machine_type: &MachineType, spec: &JobSpec) -> bool {
    let allowed = spec.types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name));
    allowed && machine_type.cpus >= spec.cpus && machine_type.gpus >= spec.gpus && machine_type.mem_gb >= spec.mem_gb
}
