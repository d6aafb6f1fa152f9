//! The roll-out file that operators write: parsing, validation and the published JSON schema.
//!
//! The schema contains the doc comments of the types that derive [`JsonSchema`] and of their fields,
//! so changing one of those comments changes the schema that is served to operators.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of steps in a roll-out.
pub const MAX_STEPS: usize = 32;

/// Maximum number of replicas of a service.
pub const MAX_REPLICAS: u32 = 10_000;

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

/// A rule that a field of a roll-out file violates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path of the field, as in `step[0].share`; `line N` or `body` if the text can't be parsed.
    pub field: String,
    /// The violated rule, or the parser's error.
    pub why: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

/// All rules that a roll-out file violates; never empty.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(Problem::to_string).collect::<Vec<_>>().join("; "))]
pub struct Problems(pub Vec<Problem>);

impl RollOut {
    /// Parses and validates the text of a TOML file.
    ///
    /// # Errors
    ///
    /// Returns every violated rule with its field. A text that is not TOML or has
    /// an unknown key gives a single problem.
    pub fn from_toml(text: &str) -> Result<RollOut, Problems> {
        let parsed = toml::from_str(text).map_err(|error: toml::de::Error| {
            let why = error.message().split_whitespace().collect::<Vec<_>>().join(" ");
            let line = error.span().map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            Problems(vec![Problem { field: format!("line {line}"), why }])
        });
        parsed.and_then(RollOut::validated)
    }

    /// Parses and validates a JSON body.
    ///
    /// # Errors
    ///
    /// As for [`RollOut::from_toml`].
    pub fn from_json(body: &[u8]) -> Result<RollOut, Problems> {
        serde_json::from_slice(body)
            .map_err(|error| Problems(vec![Problem { field: "body".into(), why: error.to_string() }]))
            .and_then(RollOut::validated)
    }

    fn validated(self) -> Result<RollOut, Problems> {
        let problems = self.problems();
        if problems.is_empty() {
            Ok(self)
        } else {
            Err(Problems(problems))
        }
    }

    /// Returns the number of replicas of the new version after each step, rounded up to whole groups
    /// and limited to the service's size.
    pub fn targets(&self) -> Vec<u32> {
        let group = self.group.max(1);
        let target = |step: &Step| {
            let requested = match (step.replicas, step.share) {
                (Some(count), _) => count,
                (None, Some(share)) => (f64::from(self.replicas) * share).ceil() as u32,
                (None, None) => 0,
            };
            requested.div_ceil(group).saturating_mul(group).min(self.replicas)
        };
        self.steps.iter().map(target).collect()
    }

    /// Returns every violated rule with its field; empty if the roll-out is valid.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = vec![];
        let mut flag = |field: &str, violated: bool, why: &str| {
            if violated {
                problems.push(Problem { field: field.into(), why: why.into() });
            }
        };
        flag("service", !is_valid_name(&self.service), "must be 1 to 60 letters, digits, '-', '_' or '.'");
        flag("version", !is_valid_name(&self.version), "must be 1 to 60 letters, digits, '-', '_' or '.'");
        flag("replicas", !(1..=MAX_REPLICAS).contains(&self.replicas), "must lie between 1 and 10000");
        flag("group", !(1..=self.replicas.max(1)).contains(&self.group), "must lie between 1 and replicas");
        flag(
            "max_surplus",
            self.max_surplus < self.group && self.max_unavailable < self.group,
            "this or max_unavailable must be at least a group, or nothing can be replaced",
        );
        flag("max_surplus", self.max_surplus > self.replicas.max(1), "must be at most replicas");
        self.job.problems(&mut flag);
        self.check.problems(self.group, &mut flag);
        flag("step", self.steps.is_empty(), "at least one is needed");
        flag("step", self.steps.len() > MAX_STEPS, "at most 32 are allowed");
        let targets = self.targets();
        let mut previous_target = 0;
        for (index, (step, target)) in self.steps.iter().zip(&targets).enumerate() {
            step.problems(index, &mut flag);
            flag(
                &format!("step[{index}]"),
                *target <= previous_target,
                "must bring out more replicas than the step before",
            );
            previous_target = *target;
        }
        let incomplete = targets.last().is_some_and(|last| *last != self.replicas);
        flag("step", incomplete, "the last one must bring out all replicas");
        problems
    }
}

impl Job {
    fn problems(&self, flag: &mut impl FnMut(&str, bool, &str)) {
        for (field, text) in [("job.class", &self.class), ("job.team", &self.team), ("job.image", &self.image)] {
            flag(field, text.is_empty() || text.len() > 128, "must have 1 to 128 characters");
        }
        let amounts = [
            ("job.cpus", self.cpus),
            ("job.gpus", self.gpus),
            ("job.mem_gb", self.mem_gb),
            ("job.image_gb", self.image_gb),
        ];
        for (field, amount) in amounts {
            flag(field, !(0.0..1e9).contains(&amount), "must be 0 or more");
        }
        flag("job.cpus", self.cpus + self.gpus + self.mem_gb <= 0.0, "a replica must take something of its machine");
        let types = self.types.as_deref().unwrap_or_default();
        flag("job.types", types.len() > 64 || types.iter().any(|t| t.len() > 128), "too many or too long");
        flag("job.zone", self.zone.as_ref().is_some_and(|z| z.is_empty() || z.len() > 128), "empty or too long");
    }
}

impl Check {
    fn problems(&self, group: u32, flag: &mut impl FnMut(&str, bool, &str)) {
        flag("check.port", self.kind != CheckKind::Up && self.port == 0, "is needed for this kind of check");
        let is_method =
            |text: &str| !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_uppercase());
        let last_index = group.clamp(1, MAX_REPLICAS) - 1;
        let last_port = u32::from(self.port) + u32::from(self.port_step) * last_index;
        flag("check.port_step", last_port > u32::from(u16::MAX), "takes the group's ports beyond 65535");
        flag("check.method", !is_method(&self.method), "must be a method in capital letters");
        let path_valid =
            self.path.starts_with('/') && self.path.len() <= 500 && self.path.bytes().all(|b| b.is_ascii_graphic());
        flag("check.path", !path_valid, "must begin with '/', without spaces, at most 500 characters");
        let statuses_valid = !self.status.is_empty() && self.status.iter().all(|s| (200..600).contains(s));
        flag("check.status", !statuses_valid || self.status.len() > 20, "must be 1 to 20 statuses from 200 to 599");
        flag("check.body", self.body.as_ref().is_some_and(|b| b.is_empty() || b.len() > 500), "empty or too long");
        flag("check.interval_s", !(0.05..=3600.0).contains(&self.interval_s), "must lie between 0.05 and 3600");
        flag("check.timeout_s", !(0.05..=60.0).contains(&self.timeout_s), "must lie between 0.05 and 60");
        flag("check.successes", !(1..=100).contains(&self.successes), "must lie between 1 and 100");
        flag("check.failures_allowed", self.failures_allowed > 1000, "must be at most 1000");
    }
}

impl Step {
    fn problems(&self, index: usize, flag: &mut impl FnMut(&str, bool, &str)) {
        let field = |name: &str| format!("step[{index}].{name}");
        flag(&field("replicas"), self.replicas.is_some() == self.share.is_some(), "either this or share is needed");
        flag(&field("share"), self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)), "must be above 0 and at most 1");
        flag(&field("zone"), self.zone.as_ref().is_some_and(|z| z.is_empty() || z.len() > 128), "empty or too long");
        flag(&field("bake_s"), !(0.0..=604_800.0).contains(&self.bake_s), "must lie between 0 and a week");
        let deadline_valid = self.deadline_s > self.bake_s && self.deadline_s <= 1_209_600.0;
        flag(&field("deadline_s"), !deadline_valid, "must be longer than bake_s, and at most two weeks");
    }
}

/// True if the name can be used in a store key and in a URL path.
pub fn is_valid_name(name: &str) -> bool {
    (1..=60).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        && !name.starts_with('.')
}

/// Returns the published JSON schema of a roll-out file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(RollOut).to_value()
}

#[cfg(test)]
mod tests;
