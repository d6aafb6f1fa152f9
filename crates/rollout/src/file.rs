//! What operators write: a roll-out, its steps and its check.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Steps that a roll-out may have at the most.
pub const MOST_STEPS: usize = 32;

/// Replicas that a service may have at the most.
pub const MOST_REPLICAS: u32 = 10_000;

/// A roll-out as its operator describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RollOut {
    /// Name of the service: letters, digits, `-`, `_` and `.`, at most 60.
    pub service: String,
    /// Name of the version to bring out, at most 60 characters.
    pub version: String,
    /// Replicas that the service is to have.
    pub replicas: u32,
    /// Replicas that come and go together, as one job.
    #[serde(default = "one")]
    pub group: u32,
    /// What a failed step leads to.
    #[serde(default)]
    pub on_failure: OnFailure,
    /// Replicas that may be missing at any time through the roll-out's own doing.
    #[serde(default)]
    pub max_unavailable: u32,
    /// Replicas that there may be beyond the service's size.
    #[serde(default = "one")]
    pub max_surplus: u32,
    /// What each replica runs and takes of its machine.
    pub job: Job,
    /// How a replica shows that it is well.
    pub check: Check,
    /// The steps, in order. The last one brings out all replicas.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

fn one() -> u32 {
    1
}

/// What a failed step leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum OnFailure {
    /// Back to the version before, by itself.
    #[default]
    Revert,
    /// Stop and wait for an operator.
    Halt,
}

/// What a replica runs and takes of its machine.
#[allow(missing_docs, reason = "doc comments would become part of the published schema")]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Class of jobs that it belongs to.
    pub class: String,
    /// Team whose guarantee and limit apply.
    pub team: String,
    #[serde(default)]
    pub priority: Priority,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub mem_gb: f64,
    pub image: String,
    #[serde(default)]
    pub image_gb: f64,
    /// Allowed machine types; any if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone, for steps that name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether spot machines may be used.
    #[serde(default)]
    pub spot: bool,
}

/// A job's rank.
#[allow(missing_docs, reason = "doc comments would become part of the published schema")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Low,
    #[default]
    Normal,
    High,
    Critical,
}

/// How a replica shows that it is well.
#[allow(missing_docs, reason = "doc comments would become part of the published schema")]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Check {
    pub kind: CheckKind,
    /// Port on the replica's machine (`http` and `tcp`).
    #[serde(default)]
    pub port: u16,
    /// Added to the port for each replica's number within its group.
    #[serde(default)]
    pub port_step: u16,
    /// Method of the request (`http`).
    #[serde(default = "get")]
    pub method: String,
    /// Path of the request (`http`).
    #[serde(default = "root")]
    pub path: String,
    /// Answers that pass (`http`).
    #[serde(default = "ok")]
    pub status: Vec<u16>,
    /// What the body must contain, if anything (`http`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// Pause between two checks of a replica, in seconds.
    #[serde(default = "default_interval")]
    pub interval_s: f64,
    /// How long one check may take in all, in seconds.
    #[serde(default = "default_timeout")]
    pub timeout_s: f64,
    /// Checks in a row that a replica must pass to be ready.
    #[serde(default = "default_successes")]
    pub successes: u32,
    /// Failed checks that a ready replica may have in one step.
    #[serde(default)]
    pub failures_allowed: u32,
}

fn get() -> String {
    "GET".into()
}
fn root() -> String {
    "/".into()
}
fn ok() -> Vec<u16> {
    vec![200]
}
fn default_interval() -> f64 {
    5.0
}
fn default_timeout() -> f64 {
    2.0
}
fn default_successes() -> u32 {
    2
}

/// Kinds of checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum CheckKind {
    /// An HTTP request and its answer.
    Http,
    /// A connection that is accepted.
    Tcp,
    /// The replica runs and has not failed by itself.
    Up,
}

/// One step: how far the new version goes, and what it must stand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Replicas of the new version after this step, in all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replicas: Option<u32>,
    /// The same as a share of all replicas, above 0 and up to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Zone in which this step's replicas come, and old ones go first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// How long all replicas of the new version must stay well, in seconds.
    #[serde(default)]
    pub bake_s: f64,
    /// How long the step may take in all, in seconds.
    pub deadline_s: f64,
}

/// Something wrong in a roll-out, with the field that it is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path of the field, as in `step[0].share`.
    pub field: String,
    /// The rule that the field breaks.
    pub why: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

/// All that is wrong in a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(Problem::to_string).collect::<Vec<_>>().join("; "))]
pub struct Problems(pub Vec<Problem>);

impl RollOut {
    /// Reads a TOML file's text.
    ///
    /// # Errors
    ///
    /// All that is wrong, each with its field; a text that is no TOML or has an
    /// unknown key gives one problem.
    pub fn from_toml(text: &str) -> Result<RollOut, Problems> {
        let read = toml::from_str(text).map_err(|error: toml::de::Error| {
            let why = error.message().split_whitespace().collect::<Vec<_>>().join(" ");
            let line = error.span().map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            Problems(vec![Problem { field: format!("line {line}"), why }])
        });
        read.and_then(RollOut::checked)
    }

    /// Reads a JSON body, as [`RollOut::from_toml`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn from_json(body: &[u8]) -> Result<RollOut, Problems> {
        serde_json::from_slice(body)
            .map_err(|error| Problems(vec![Problem { field: "body".into(), why: error.to_string() }]))
            .and_then(RollOut::checked)
    }

    fn checked(self) -> Result<RollOut, Problems> {
        let problems = self.problems();
        if problems.is_empty() {
            Ok(self)
        } else {
            Err(Problems(problems))
        }
    }

    /// Replicas of the new version after each step.
    pub fn targets(&self) -> Vec<u32> {
        let group = self.group.max(1);
        let of = |step: &Step| {
            let wanted = match (step.replicas, step.share) {
                (Some(count), _) => count,
                (None, Some(share)) => (f64::from(self.replicas) * share).ceil() as u32,
                (None, None) => 0,
            };
            wanted.div_ceil(group).saturating_mul(group).min(self.replicas)
        };
        self.steps.iter().map(of).collect()
    }

    /// Everything that is wrong, field by field.
    pub fn problems(&self) -> Vec<Problem> {
        let mut found = vec![];
        let mut say = |field: &str, wrong: bool, why: &str| {
            if wrong {
                found.push(Problem { field: field.into(), why: why.into() });
            }
        };
        say("service", !valid_name(&self.service), "must be 1 to 60 letters, digits, '-', '_' or '.'");
        say("version", !valid_name(&self.version), "must be 1 to 60 letters, digits, '-', '_' or '.'");
        say("replicas", !(1..=MOST_REPLICAS).contains(&self.replicas), "must lie between 1 and 10000");
        say("group", !(1..=self.replicas.max(1)).contains(&self.group), "must lie between 1 and replicas");
        say(
            "max_surplus",
            self.max_surplus < self.group && self.max_unavailable < self.group,
            "this or max_unavailable must be at least a group, or nothing can be replaced",
        );
        say("max_surplus", self.max_surplus > self.replicas.max(1), "must be at most replicas");
        self.job.problems(&mut say);
        self.check.problems(self.group, &mut say);
        say("step", self.steps.is_empty(), "at least one is needed");
        say("step", self.steps.len() > MOST_STEPS, "at most 32 are allowed");
        let targets = self.targets();
        let mut before = 0;
        for (at, (step, target)) in self.steps.iter().zip(&targets).enumerate() {
            step.problems(at, &mut say);
            say(&format!("step[{at}]"), *target <= before, "must bring out more replicas than the step before");
            before = *target;
        }
        let unfinished = targets.last().is_some_and(|last| *last != self.replicas);
        say("step", unfinished, "the last one must bring out all replicas");
        found
    }
}

impl Job {
    fn problems(&self, say: &mut impl FnMut(&str, bool, &str)) {
        for (field, text) in [("job.class", &self.class), ("job.team", &self.team), ("job.image", &self.image)] {
            say(field, text.is_empty() || text.len() > 128, "must have 1 to 128 characters");
        }
        let amounts = [
            ("job.cpus", self.cpus),
            ("job.gpus", self.gpus),
            ("job.mem_gb", self.mem_gb),
            ("job.image_gb", self.image_gb),
        ];
        for (field, amount) in amounts {
            say(field, !(0.0..1e9).contains(&amount), "must be 0 or more");
        }
        say("job.cpus", self.cpus + self.gpus + self.mem_gb <= 0.0, "a replica must take something of its machine");
        let types = self.types.as_deref().unwrap_or_default();
        say("job.types", types.len() > 64 || types.iter().any(|t| t.len() > 128), "too many or too long");
        say("job.zone", self.zone.as_ref().is_some_and(|z| z.is_empty() || z.len() > 128), "empty or too long");
    }
}

impl Check {
    fn problems(&self, group: u32, say: &mut impl FnMut(&str, bool, &str)) {
        say("check.port", self.kind != CheckKind::Up && self.port == 0, "is needed for this kind of check");
        let token = |text: &str| !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_uppercase());
        let others = group.clamp(1, MOST_REPLICAS) - 1;
        let last = u32::from(self.port) + u32::from(self.port_step) * others;
        say("check.port_step", last > u32::from(u16::MAX), "takes the group's ports beyond 65535");
        say("check.method", !token(&self.method), "must be a method in capital letters");
        let path =
            self.path.starts_with('/') && self.path.len() <= 500 && self.path.bytes().all(|b| b.is_ascii_graphic());
        say("check.path", !path, "must begin with '/', without spaces, at most 500 characters");
        let statuses = !self.status.is_empty() && self.status.iter().all(|s| (200..600).contains(s));
        say("check.status", !statuses || self.status.len() > 20, "must be 1 to 20 statuses from 200 to 599");
        say("check.body", self.body.as_ref().is_some_and(|b| b.is_empty() || b.len() > 500), "empty or too long");
        say("check.interval_s", !(0.05..=3600.0).contains(&self.interval_s), "must lie between 0.05 and 3600");
        say("check.timeout_s", !(0.05..=60.0).contains(&self.timeout_s), "must lie between 0.05 and 60");
        say("check.successes", !(1..=100).contains(&self.successes), "must lie between 1 and 100");
        say("check.failures_allowed", self.failures_allowed > 1000, "must be at most 1000");
    }
}

impl Step {
    fn problems(&self, at: usize, say: &mut impl FnMut(&str, bool, &str)) {
        let field = |name: &str| format!("step[{at}].{name}");
        say(&field("replicas"), self.replicas.is_some() == self.share.is_some(), "either this or share is needed");
        say(&field("share"), self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)), "must be above 0 and at most 1");
        say(&field("zone"), self.zone.as_ref().is_some_and(|z| z.is_empty() || z.len() > 128), "empty or too long");
        say(&field("bake_s"), !(0.0..=604_800.0).contains(&self.bake_s), "must lie between 0 and a week");
        let deadline = self.deadline_s > self.bake_s && self.deadline_s <= 1_209_600.0;
        say(&field("deadline_s"), !deadline, "must be longer than bake_s, and at most two weeks");
    }
}

/// Names that may stand in a key and in a path.
pub fn valid_name(name: &str) -> bool {
    (1..=60).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        && !name.starts_with('.')
}

/// The published JSON schema of a roll-out.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(RollOut).to_value()
}

#[cfg(test)]
mod tests;
