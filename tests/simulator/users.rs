//! What users do beyond asking until they are answered: jobs called off together or
//! at the moment of their end, and probe requests.

use super::*;

/// A job of these fields; what they leave out is as plain as can be.
pub fn job_spec(mut fields: serde_json::Value) -> JobSpec {
    let plain = serde_json::json!({"gpus": 0.0, "one_zone": false, "apart": false, "driftwood": false,
        "mark_s": 0.0, "stow_s": 0.0});
    for (name, value) in plain.as_object().expect("fields") {
        fields.as_object_mut().expect("fields").entry(name).or_insert(value.clone());
    }
    JobSpec::parse(fields.to_string().as_bytes()).expect("a valid job")
}

/// A request that is no valid submission or repeats one, and the status that it has to get.
#[derive(Debug, Clone)]
pub struct ProbeSubmission {
    id: JobId,
    body: String,
    expected: u16,
    tries: u32,
}

/// A submission as its user writes it.
fn body(spec: &JobSpec) -> serde_json::Value {
    let mut fields = serde_json::to_value(spec).expect("a job");
    fields["awaits"] = serde_json::to_value(&spec.dependencies).expect("ids");
    fields
}

/// Fields that no submission may lack.
const REQUIRED: [&str; 17] = [
    "haul",
    "crew",
    "rig",
    "rank",
    "loads",
    "cores",
    "gpus",
    "mem_gb",
    "kit",
    "image_gb",
    "one_zone",
    "apart",
    "driftwood",
    "reckon_s",
    "mark_s",
    "stow_s",
    "ref",
];

impl SimulatedCluster {
    /// Running jobs are called off within a fifth of a second; some of their machines hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: u64) {
        let long = self.now + 5000;
        let mut running: BTreeMap<JobId, usize> = BTreeMap::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.alive) {
            for (key, task) in &worker.tasks {
                let open = self
                    .jobs
                    .get(&key.0)
                    .is_some_and(|j| j.accepted && !j.cancel_requested && j.dependency_cancelled_at.is_none());
                if open && task.state != TaskState::Exited && task.ends_at > long {
                    running.insert(key.0.clone(), at);
                }
            }
        }
        for (n, (id, worker)) in running.into_iter().take(count).enumerate() {
            let at = self.now + self.random.below(200);
            self.schedule(at, ScheduledEvent::Cancel(id, 0));
            if hang_ms > 0 && n < 8 {
                let at = self.now + self.random.below(400);
                self.schedule(at, ScheduledEvent::Hang(worker, hang_ms));
            }
        }
    }

    /// A job's last task is about to end: its user may call it off, ask and send it
    /// again, before, in and after the transaction that ends it.
    pub(super) fn cancel_at_completion_of(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|j| j.accepted && !j.cancel_requested) else { return };
        let on = |w: &Worker| w.tasks.iter().filter(|(k, t)| k.0 == *id && t.state != TaskState::Exited).count();
        let running: usize = self.workers.iter().filter(|w| w.alive).map(on).sum();
        if job.finished_tasks.len() + running < job.spec.task_count as usize {
            return;
        }
        let of_job = |w: &Worker| w.tasks.iter().filter(|(k, _)| k.0 == *id).map(|(_, t)| t.ends_at).max();
        let Some(end) = self.workers.iter().filter(|w| w.alive).filter_map(of_job).max() else { return };
        if end > self.now + 200_000 {
            return;
        }
        let spec = job.spec.clone();
        let mut moment = || end.saturating_sub(300).max(self.now) + self.random.below(1800);
        let (cancel, polls, again) = (moment(), [moment(), moment()], moment());
        self.schedule(cancel, ScheduledEvent::Cancel(id.clone(), 0));
        polls.into_iter().for_each(|at| self.schedule(at, ScheduledEvent::ClientRequest(id.clone())));
        self.schedule(again, ScheduledEvent::Submit(spec, 0));
    }

    /// One probe request, whichever comes next.
    pub(super) fn send_next_probe(&mut self, number: u64) {
        let accepted: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.accepted).map(|(id, _)| id.clone()).collect();
        if accepted.is_empty() {
            return;
        }
        let id = accepted[self.random.below(accepted.len() as u64) as usize].clone();
        let fresh = JobId::new(&format!("wk-9{number:06}"));
        let field = REQUIRED[self.random.below(REQUIRED.len() as u64) as usize];
        let mut fields = body(&self.jobs[&id].spec);
        let probe = |id: &JobId, fields: &serde_json::Value, expected: u16| ProbeSubmission {
            id: id.clone(),
            body: fields.to_string(),
            expected,
            tries: 0,
        };
        match number % 5 {
            0 => self.schedule(self.now, ScheduledEvent::SendProbe(probe(&id, &fields, 200))),
            1 => {
                // The repeat of a job that is known, though nobody would take it now.
                fields.as_object_mut().expect("fields").remove(field);
                fields["ref"] = id.as_str().into();
                fields["loads"] = 0.into();
                self.schedule(self.now, ScheduledEvent::SendProbe(probe(&id, &fields, 200)));
            }
            2 => {
                fields["ref"] = fresh.as_str().into();
                fields.as_object_mut().expect("fields").remove(field);
                self.schedule(self.now, ScheduledEvent::SendProbe(probe(&fresh, &fields, 400)));
            }
            3 => {
                fields["ref"] = fresh.as_str().into();
                fields["awaits"] = serde_json::Value::Null;
                let (name, value) = [("mem_gb", 9000.0.into()), ("hulls", serde_json::json!([])), ("crew", "x".into())]
                    [self.random.below(3) as usize]
                    .clone();
                fields[name] = value;
                self.schedule(self.now, ScheduledEvent::SendProbe(probe(&fresh, &fields, 422)));
            }
            _ => {
                let done =
                    self.jobs.iter().filter(|(_, j)| j.done_reported).map(|(id, _)| id.clone()).collect::<Vec<_>>();
                if !done.is_empty() {
                    let id = done[self.random.below(done.len() as u64) as usize].clone();
                    self.schedule(self.now, ScheduledEvent::Cancel(id, 0));
                }
            }
        }
    }

    /// Sends a body as it is, to any node.
    pub(super) fn send_probe(&mut self, probe: ProbeSubmission) {
        let node = self.random_node();
        if self.nodes[node].core.is_none() {
            return self.retry_probe(probe);
        }
        let ask = match JobSpec::parse(probe.body.as_bytes()) {
            Ok(spec) => ClientRequest::Submit(Box::new(spec)),
            Err(Malformed { id: Some(id), reason }) => ClientRequest::Malformed { id, reason },
            // Answered where it arrives.
            Err(Malformed { id: None, .. }) => return self.check_probe_status(probe, 400),
        };
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let (incarnation, at) = (self.nodes[node].incarnation, self.now + self.link());
        self.requests.insert((node, id), PendingRequest::Probe(probe));
        self.schedule(at, ScheduledEvent::ToNode(node, incarnation, Input::ClientRequest(id, ask)));
    }

    pub(super) fn retry_probe(&mut self, probe: ProbeSubmission) {
        if probe.tries < 60 {
            self.schedule(
                self.now + 1000,
                ScheduledEvent::SendProbe(ProbeSubmission { tries: probe.tries + 1, ..probe }),
            );
        }
    }

    pub(super) fn probe_answered(&mut self, probe: ProbeSubmission, response: Response) {
        match response {
            Response::Error { status: 503, .. } => self.retry_probe(probe),
            Response::Error { status, .. } | Response::Job { status, .. } => self.check_probe_status(probe, status),
            _ => {}
        }
    }

    fn check_probe_status(&mut self, probe: ProbeSubmission, status: u16) {
        self.statistics.probe_answers += 1;
        if status != probe.expected {
            let what = if probe.expected == 200 { "forgotten" } else { "accepted" };
            self.violations.push(format!("{what}: {} gets {status}, not {}: {}", probe.id, probe.expected, probe.body));
        }
    }
}
