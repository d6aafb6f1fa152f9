//! Submissions that are refused for good.
//!
//! A job that was accepted once, by any node and version, stays known: its repeat
//! gets its state, also when its body would be refused now, and also at a node whose
//! records lag. So a refusal is given only after reads that show that the job isn't there.

use crate::coordination::jobs::refusal::{InfeasibleJob, Refusal};
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::records::{archived_job_key, job_key};
use crate::units::{JobId, RequestId};
use std::collections::BTreeSet;

/// A refusal on its way, until the reads for it are made.
#[derive(Debug)]
pub(crate) struct Refusing {
    request: RequestId,
    job: JobId,
    refusal: Refusal,
    /// The job is being looked up among those put away.
    archived: bool,
}

impl Core {
    /// Refuses a submission, unless its job is known after all.
    pub(crate) fn refuse_unless_known(&mut self, request: RequestId, job: JobId, refusal: Refusal) {
        if self.final_state(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.cache.jobs.contains_key(&job) {
            return self.query_status(request, job);
        }
        self.look_before_refusing(Refusing { request, job, refusal, archived: false });
    }

    /// What is put away leaves the other key in the same transaction, and never
    /// comes back: read in this order, the job is missed in neither.
    fn look_before_refusing(&mut self, refusing: Refusing) {
        if self.afford(refusing.request, 1.0) {
            let key = if refusing.archived { archived_job_key(&refusing.job) } else { job_key(&refusing.job) };
            self.call_state(StoreRequest::Get { key }, PendingRequest::Refusing(refusing));
        }
    }

    pub(crate) fn looked_before_refusing(&mut self, refusing: Refusing, answer: StoreResponse) {
        let Refusing { request, job, refusal, archived } = refusing;
        match answer {
            StoreResponse::Missing(_) if !archived => {
                self.look_before_refusing(Refusing { request, job, refusal, archived: true });
            }
            StoreResponse::Missing(_) => {
                tracing::info!("submission of {job} is refused with {}: {}", refusal.http_status(), refusal);
                self.refuse(request, refusal);
            }
            StoreResponse::Found(_) => {
                let known =
                    if archived { self.take_archived(&job, answer).is_some() } else { self.take_job(answer).is_some() };
                match known {
                    true => self.answer_known_job(request, &job),
                    false => self.refuse(request, Refusal::JobUnreadable),
                }
            }
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    /// Why a job can never run, if so. Everything that a task needs must come together
    /// in one machine type, in a zone that sells it; all replicas of a service at once.
    pub(crate) fn impossible(&self, spec: &JobSpec) -> Option<InfeasibleJob> {
        let Some(team) = self.settings.cluster.teams.iter().find(|t| t.name == spec.team) else {
            return Some(InfeasibleJob::UnknownTeam);
        };
        let fitting = self.catalog.types().filter(|t| {
            spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
                && t.cpus >= spec.cpus
                && t.gpus >= spec.gpus
                && t.mem_gb >= spec.mem_gb
        });
        let allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|only| only == *zone);
        let zones: BTreeSet<&String> = fitting.flat_map(|t| &t.zones).filter(allowed).collect();
        if zones.is_empty() {
            return Some(InfeasibleJob::NoMachineType);
        }
        // Tasks of an array may run one after the other.
        let at_once = if spec.kind == JobKind::Array { 1 } else { spec.task_count };
        let over = |max: f64, each: f64| max > 0.0 && each * f64::from(at_once) > max + 1e-9;
        if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
            return Some(InfeasibleJob::OverTeamLimit);
        }
        if spec.apart && at_once > 1 && (spec.one_zone || zones.len() < 2) {
            return Some(InfeasibleJob::OneZoneOnly);
        }
        None
    }
}
