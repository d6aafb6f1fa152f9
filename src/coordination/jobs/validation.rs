//! Submissions that are refused for good: malformed ones, and those of jobs that can never run.
//!
//! A job that was accepted once, by any controller and version, stays known: a repeated submission
//! gets its state, even if its body would be refused now and even at a controller whose cache lags.
//! So a refusal is given only after reads of the store that show that the job isn't there.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, InfeasibleJob, Refusal};
use crate::protocol::cloud::MachineType;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::records::{archived_job_key, job_key};
use crate::units::{JobId, RequestId};
use std::collections::BTreeSet;

/// Allowed rounding error when amounts are compared with a team's limit.
const ROUNDING: f64 = 1e-9;

/// A refusal that is held until reads show that its job isn't known.
#[derive(Debug)]
pub(crate) struct HeldRefusal {
    request: RequestId,
    job: JobId,
    refusal: Refusal,
    /// The job is looked up in the archive, after it was missed among the records.
    in_archive: bool,
}

impl Core {
    /// Refuses a submission, unless its job is known.
    pub(crate) fn refuse_unless_known(&mut self, request: RequestId, job: JobId, refusal: Refusal) {
        if !self.answer_if_known(request, &job) {
            self.look_up_refused_job(HeldRefusal { request, job, refusal, in_archive: false });
        }
    }

    /// Archiving moves a job from one key to the other in one transaction and is never undone: read
    /// in this order, the job cannot be missed under both.
    fn look_up_refused_job(&mut self, held: HeldRefusal) {
        if self.try_charge_request(held.request) {
            let key = if held.in_archive { archived_job_key(&held.job) } else { job_key(&held.job) };
            self.call_store(StoreRequest::Get { key }, PendingRequest::RefusalLookUp(held));
        }
    }

    /// Refuses the submission if its job was not found; otherwise answers with the job's state.
    pub(crate) fn refused_job_read(&mut self, held: HeldRefusal, answer: StoreResponse) {
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
                if self.take_job_or_archived(&held.job, held.in_archive, answer) {
                    self.answer_known_job(held.request, &held.job);
                } else {
                    self.refuse(held.request, Refusal::JobUnreadable);
                }
            }
            _ => self.refuse(held.request, Refusal::StoreUnavailable),
        }
    }

    /// Takes a record that was read into the cache; false if it cannot be read.
    pub(crate) fn take_job_or_archived(&mut self, job: &JobId, archived: bool, answer: StoreResponse) -> bool {
        if archived {
            self.take_archived(job, answer).is_some()
        } else {
            self.take_job(answer).is_some()
        }
    }

    /// Tells whether a job can ever run. Everything that a task needs must come together in one
    /// machine type, in a zone that sells it; all replicas of a service and all tasks of a gang must
    /// run at the same time.
    ///
    /// # Errors
    ///
    /// Why the job can never run.
    pub(crate) fn check_feasible(&self, spec: &JobSpec) -> Result<(), InfeasibleJob> {
        let team = self.settings.cluster.teams.iter().find(|team| team.name == spec.team);
        let team = team.ok_or(InfeasibleJob::UnknownTeam)?;
        let zones = self.possible_zones(spec);
        if zones.is_empty() {
            return Err(InfeasibleJob::NoMachineType);
        }
        // Tasks of an array may run one after the other.
        let at_once = if spec.kind == JobKind::Array { 1 } else { spec.task_count };
        let exceeds = |limit: f64, each: f64| limit > 0.0 && each * f64::from(at_once) > limit + ROUNDING;
        if exceeds(team.cpus_max, spec.cpus) || exceeds(team.gpus_max, spec.gpus) {
            return Err(InfeasibleJob::OverTeamLimit);
        }
        if spec.apart && at_once > 1 && (spec.one_zone || zones.len() < 2) {
            return Err(InfeasibleJob::OneZoneOnly);
        }
        Ok(())
    }

    /// The zones that a task may run in: those that sell an allowed machine type it fits into.
    fn possible_zones(&self, spec: &JobSpec) -> BTreeSet<&String> {
        let fitting = self.catalog.types().filter(|machine_type| takes_task(machine_type, spec));
        let allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|only| only == *zone);
        fitting.flat_map(|machine_type| &machine_type.zones).filter(allowed).collect()
    }
}

fn takes_task(machine_type: &MachineType, spec: &JobSpec) -> bool {
    let allowed = spec.types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name));
    allowed && machine_type.cpus >= spec.cpus && machine_type.gpus >= spec.gpus && machine_type.mem_gb >= spec.mem_gb
}
