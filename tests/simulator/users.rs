//! What users do beyond asking until they are answered: jobs called off together or
//! at the moment of their end, and odd requests.

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
pub struct Odd {
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

impl World {
    /// Running jobs are called off within a fifth of a second; some of their machines hang.
    pub(super) fn call_off(&mut self, count: usize, hang_ms: u64) {
        let long = self.now + 5000;
        let mut running: BTreeMap<JobId, usize> = BTreeMap::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.alive) {
            for (key, task) in &worker.tasks {
                let open = self.jobs.get(&key.0).is_some_and(|j| j.accepted && !j.cancel_asked && j.doomed.is_none());
                if open && task.state != TaskState::Exited && task.ends > long {
                    running.insert(key.0.clone(), at);
                }
            }
        }
        for (n, (id, worker)) in running.into_iter().take(count).enumerate() {
            let at = self.now + self.random(200);
            self.at(at, Due::Cancel(id, 0));
            if hang_ms > 0 && n < 8 {
                let at = self.now + self.random(400);
                self.at(at, Due::Hang(worker, hang_ms));
            }
        }
    }

    /// A job's last task is about to end: its user may call it off, ask and send it
    /// again, before, in and after the transaction that ends it.
    pub(super) fn about_to_end(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|j| j.accepted && !j.cancel_asked) else { return };
        let on = |w: &Worker| w.tasks.iter().filter(|(k, t)| k.0 == *id && t.state != TaskState::Exited).count();
        let running: usize = self.workers.iter().filter(|w| w.alive).map(on).sum();
        if job.finished.len() + running < job.spec.task_count as usize {
            return;
        }
        let of_job = |w: &Worker| w.tasks.iter().filter(|(k, _)| k.0 == *id).map(|(_, t)| t.ends).max();
        let Some(end) = self.workers.iter().filter(|w| w.alive).filter_map(of_job).max() else { return };
        if end > self.now + 200_000 {
            return;
        }
        let spec = job.spec.clone();
        let mut moment = || end.saturating_sub(300).max(self.now) + self.random(1800);
        let (cancel, polls, again) = (moment(), [moment(), moment()], moment());
        self.at(cancel, Due::Cancel(id.clone(), 0));
        polls.into_iter().for_each(|at| self.at(at, Due::ClientRequest(id.clone())));
        self.at(again, Due::Submit(spec, 0));
    }

    /// One odd request, whichever comes next.
    pub(super) fn odd_request(&mut self, number: u64) {
        let accepted: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.accepted).map(|(id, _)| id.clone()).collect();
        if accepted.is_empty() {
            return;
        }
        let id = accepted[self.random(accepted.len() as u64) as usize].clone();
        let fresh = JobId::new(&format!("wk-9{number:06}"));
        let field = REQUIRED[self.random(REQUIRED.len() as u64) as usize];
        let mut fields = body(&self.jobs[&id].spec);
        let odd = |id: &JobId, fields: &serde_json::Value, expected: u16| Odd {
            id: id.clone(),
            body: fields.to_string(),
            expected,
            tries: 0,
        };
        match number % 5 {
            0 => self.at(self.now, Due::Odd(odd(&id, &fields, 200))),
            1 => {
                // The repeat of a job that is known, though nobody would take it now.
                fields.as_object_mut().expect("fields").remove(field);
                fields["ref"] = id.as_str().into();
                fields["loads"] = 0.into();
                self.at(self.now, Due::Odd(odd(&id, &fields, 200)));
            }
            2 => {
                fields["ref"] = fresh.as_str().into();
                fields.as_object_mut().expect("fields").remove(field);
                self.at(self.now, Due::Odd(odd(&fresh, &fields, 400)));
            }
            3 => {
                fields["ref"] = fresh.as_str().into();
                fields["awaits"] = serde_json::Value::Null;
                let (name, value) = [("mem_gb", 9000.0.into()), ("hulls", serde_json::json!([])), ("crew", "x".into())]
                    [self.random(3) as usize]
                    .clone();
                fields[name] = value;
                self.at(self.now, Due::Odd(odd(&fresh, &fields, 422)));
            }
            _ => {
                let done = self.jobs.iter().filter(|(_, j)| j.done_told).map(|(id, _)| id.clone()).collect::<Vec<_>>();
                if !done.is_empty() {
                    let id = done[self.random(done.len() as u64) as usize].clone();
                    self.at(self.now, Due::Cancel(id, 0));
                }
            }
        }
    }

    /// Sends a body as it is, to any node.
    pub(super) fn send_odd(&mut self, odd: Odd) {
        let node = self.random_node();
        if self.nodes[node].core.is_none() {
            return self.odd_again(odd);
        }
        let ask = match JobSpec::parse(odd.body.as_bytes()) {
            Ok(spec) => ClientRequest::Submit(Box::new(spec)),
            Err(Malformed { id: Some(id), reason }) => ClientRequest::Malformed { id, reason },
            // Answered where it arrives.
            Err(Malformed { id: None, .. }) => return self.odd_status(odd, 400),
        };
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let (life, at) = (self.nodes[node].life, self.now + self.link());
        self.requests.insert((node, id), Asked::Odd(odd));
        self.at(at, Due::ToNode(node, life, Input::ClientRequest(id, ask)));
    }

    pub(super) fn odd_again(&mut self, odd: Odd) {
        if odd.tries < 60 {
            self.at(self.now + 1000, Due::Odd(Odd { tries: odd.tries + 1, ..odd }));
        }
    }

    pub(super) fn odd_answered(&mut self, odd: Odd, response: Response) {
        match response {
            Response::Error(refusal) if refusal.http_status() == 503 => self.odd_again(odd),
            Response::Error(refusal) => self.odd_status(odd, refusal.http_status()),
            Response::Job { status, .. } => self.odd_status(odd, status.http_status()),
            _ => {}
        }
    }

    fn odd_status(&mut self, odd: Odd, status: u16) {
        self.odd_answers += 1;
        if status != odd.expected {
            let what = if odd.expected == 200 { "forgotten" } else { "accepted" };
            self.broken.push(format!("{what}: {} gets {status}, not {}: {}", odd.id, odd.expected, odd.body));
        }
    }
}
