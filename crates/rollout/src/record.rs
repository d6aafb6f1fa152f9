//! The durable record of a service. It is one value, so that each change is one
//! conditional write.

use crate::file::{Check, Job, OnFailure, RollOut};
use crate::units::{JobId, Millis, VersionNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Ended roll-outs that a record keeps.
const MAX_PAST_ROLLOUTS: usize = 5;

/// Approximate size of a member in its service's record, as JSON.
const MEMBER_BYTES: usize = 110;

/// A version of a service, kept while a member, the roll-out or a revert refers to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Name that the operators gave the version.
    pub name: String,
    /// Replicas of the service when it runs only this version.
    pub replicas: u32,
    /// Replicas per job.
    pub group: u32,
    /// Job specification of each replica.
    pub job: Job,
    /// Health check of each replica.
    pub check: Check,
}

/// A job of the service: a group of replicas that are added and withdrawn together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Id of the job.
    pub job: JobId,
    /// Version that the replicas run.
    #[serde(rename = "v")]
    pub version: VersionNumber,
    /// Number of replicas.
    #[serde(rename = "n")]
    pub replicas: u32,
    /// Index of the step that added the member, from 0.
    #[serde(rename = "s")]
    pub step: u32,
    /// Zone that the replicas must run in, if any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Tombstone: the job is to be withdrawn. Never cleared.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub retiring: bool,
}

/// One step of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepPlan {
    /// Replicas of the new version after this step.
    pub target: u32,
    /// Zone of the replicas that this step adds, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// How long the replicas must stay healthy before the step passes.
    pub bake: Millis,
    /// Longest duration of the whole step, bake time included.
    pub deadline: Millis,
}

/// Phase of a roll-out's current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Adding replicas of the new version and retiring old ones.
    #[serde(rename = "raising")]
    ScalingUp,
    /// Waiting until the replicas of the new version have stayed healthy for the
    /// bake time.
    Baking,
    /// Returning to the previous version.
    Reverting,
}

/// Progress of a roll-out, independent of its phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutProgress {
    /// The driver advances the roll-out.
    #[serde(rename = "going")]
    InProgress,
    /// Paused by an operator: no step advances, but failures still count.
    Paused,
    /// Stopped at its current step; [`Rollout::reason`] says why.
    Halted,
    /// All replicas run the new version.
    #[serde(rename = "new")]
    Completed,
    /// All replicas run the previous version again.
    #[serde(rename = "old")]
    Reverted,
}

/// A roll-out; kept after its end until the next one starts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of the roll-out within its service; the first is 1.
    pub number: u64,
    /// The version to roll out.
    pub to: VersionNumber,
    /// Steps in the order in which they run.
    pub steps: Vec<StepPlan>,
    /// Action when a step fails.
    pub on_failure: OnFailure,
    /// Lower bound of ready replicas: the driver retires no serving replica below it.
    pub floor: u32,
    /// Upper bound of recorded replicas of all versions, retiring ones included.
    pub ceiling: u32,
    /// Replicas of other versions at the start.
    #[serde(rename = "from")]
    pub initial_replicas: u32,
    /// Index of the current step, from 0.
    pub step: u32,
    /// Current phase; `way` in the stored record.
    #[serde(rename = "way")]
    pub phase: Phase,
    /// Current progress; `course` in the stored record.
    #[serde(rename = "course")]
    pub progress: RolloutProgress,
    /// Time spent in the step when the record was written.
    pub spent: Millis,
    /// Time that the step's replicas had stayed healthy when the record was written.
    pub baked: Millis,
    /// Why the roll-out was halted or reverted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl Rollout {
    /// Returns a roll-out at the start of its first step. `initial_replicas`
    /// counts the replicas of other versions.
    fn begin(file: &RollOut, number: u64, to: VersionNumber, initial_replicas: u32, ceiling: u32) -> Rollout {
        let steps = file.steps.iter().zip(file.targets()).map(|(step, target)| StepPlan {
            target,
            zone: step.zone.clone(),
            bake: Millis::from_secs(step.bake_s),
            deadline: Millis::from_secs(step.deadline_s),
        });
        Rollout {
            number,
            to,
            steps: steps.collect(),
            on_failure: file.on_failure,
            floor: initial_replicas.min(file.replicas).saturating_sub(file.max_unavailable),
            ceiling,
            initial_replicas,
            step: 0,
            phase: Phase::ScalingUp,
            progress: RolloutProgress::InProgress,
            spent: Millis(0),
            baked: Millis(0),
            reason: None,
        }
    }

    /// True until the roll-out has ended or was halted.
    pub fn active(&self) -> bool {
        matches!(self.progress, RolloutProgress::InProgress | RolloutProgress::Paused)
    }

    /// Returns the plan of the current step.
    pub fn plan(&self) -> Option<&StepPlan> {
        self.steps.get(self.step as usize)
    }

    /// Starts a phase and resets its times to 0.
    pub(crate) fn begin_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.spent = Millis(0);
        self.baked = Millis(0);
    }
}

/// A roll-out that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Number of the roll-out within its service.
    pub number: u64,
    /// Name of the version to roll out.
    pub version: String,
    /// Final progress.
    #[serde(rename = "course")]
    pub progress: RolloutProgress,
    /// Why the roll-out was halted or reverted, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Durable state of a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Version that a revert returns to: that of the last completed roll-out, or
    /// the most common one if none has completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<VersionNumber>,
    /// Versions that `base`, a member or the roll-out refers to.
    pub versions: BTreeMap<VersionNumber, Version>,
    /// Jobs of the service, including those that are retiring.
    pub members: Vec<Member>,
    /// The current or last roll-out; `rolling` in the stored record.
    #[serde(rename = "rolling", default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
    /// Earlier roll-outs, oldest first; only the last few are kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub past: Vec<Outcome>,
    /// The highest version number assigned so far.
    pub last_version: VersionNumber,
    /// The highest roll-out number assigned so far.
    pub last_number: u64,
}

/// An operator's command on a service.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start a roll-out.
    Start(Box<RollOut>),
    /// Pause the roll-out; failures still count.
    Pause,
    /// Continue after a pause or halt.
    Resume,
    /// Halt the roll-out at its current step.
    Abort,
    /// Return to the previous version.
    Revert,
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another roll-out of the service is under way.
    #[error("roll-out {number} to {version} is at step {step} of {steps}: abort or revert it first")]
    RolloutActive {
        /// Number of the roll-out under way.
        number: u64,
        /// Name of the version to roll out.
        version: String,
        /// Current step, counted from 1.
        step: u32,
        /// Number of steps.
        steps: usize,
    },
    /// The command does not apply to the current state of the service.
    #[error("{0}")]
    Conflict(&'static str),
    /// The service's record could outgrow one value of the state service.
    #[error("the service would need {members} jobs and has room for {room}: use a larger group")]
    TooLarge {
        /// Most jobs that the service may need during the roll-out.
        members: usize,
        /// Jobs that fit into the record.
        room: usize,
    },
}

impl Service {
    /// Returns the members that are not retiring.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| !m.retiring)
    }

    /// Counts the replicas of all members, retiring ones included.
    pub fn recorded_replicas(&self) -> u32 {
        self.members.iter().map(|m| m.replicas).sum()
    }

    /// Returns the name of a version, or `?` if the record no longer has it.
    pub fn version_name(&self, version: VersionNumber) -> &str {
        self.versions.get(&version).map_or("?", |v| &v.name)
    }

    /// Returns the service after a command; `value_bytes` is the maximum size of
    /// its record.
    ///
    /// # Errors
    ///
    /// If the command can't be carried out; the service is unchanged.
    pub fn command(&self, command: &Command, value_bytes: usize) -> Result<Service, Refusal> {
        let mut next = self.clone();
        if let Command::Start(file) = command {
            next.start(file, value_bytes)?;
            return Ok(next);
        }
        let Some(rollout) = next.rollout.as_mut() else {
            return Err(Refusal::Conflict("no roll-out was ever started"));
        };
        match (command, rollout.progress) {
            (_, RolloutProgress::Completed) => {
                return Err(Refusal::Conflict("the roll-out is over: start one to another version"))
            }
            (_, RolloutProgress::Reverted) => return Err(Refusal::Conflict("the roll-out was reverted")),
            (Command::Pause, RolloutProgress::InProgress) => rollout.progress = RolloutProgress::Paused,
            (Command::Pause, _) => return Err(Refusal::Conflict("the roll-out does not go on as it is")),
            (Command::Resume, RolloutProgress::Paused) => rollout.progress = RolloutProgress::InProgress,
            (Command::Resume, RolloutProgress::Halted) => {
                let phase = if rollout.phase == Phase::Reverting { Phase::Reverting } else { Phase::ScalingUp };
                rollout.begin_phase(phase);
                rollout.progress = RolloutProgress::InProgress;
                rollout.reason = None;
            }
            (Command::Resume, _) => return Err(Refusal::Conflict("the roll-out goes on already")),
            (Command::Abort, RolloutProgress::Halted) => {
                return Err(Refusal::Conflict("the roll-out is halted already"))
            }
            (Command::Abort, _) => {
                rollout.progress = RolloutProgress::Halted;
                rollout.reason = Some("aborted by an operator".into());
            }
            (Command::Revert, _)
                if rollout.phase == Phase::Reverting && rollout.progress == RolloutProgress::InProgress =>
            {
                return Err(Refusal::Conflict("the roll-out is being reverted already"));
            }
            (Command::Revert, _) => {
                rollout.begin_phase(Phase::Reverting);
                rollout.progress = RolloutProgress::InProgress;
                rollout.reason = Some("reverted by an operator".into());
            }
            (Command::Start(_), _) => unreachable!("handled above"),
        }
        Ok(next)
    }

    fn start(&mut self, file: &RollOut, value_bytes: usize) -> Result<(), Refusal> {
        if let Some(rollout) = self.rollout.as_ref().filter(|r| r.active()) {
            return Err(Refusal::RolloutActive {
                number: rollout.number,
                version: self.version_name(rollout.to).to_string(),
                step: rollout.step + 1,
                steps: rollout.steps.len(),
            });
        }
        if self.active_members().next().is_some()
            && self.active_members().all(|m| self.version_name(m.version) == file.version)
        {
            return Err(Refusal::Conflict("all replicas have this version already"));
        }
        let initial_replicas: u32 = self.active_members().map(|m| m.replicas).sum();
        let ceiling = initial_replicas.max(file.replicas) + file.max_surplus;
        self.check_size(file, ceiling, value_bytes)?;
        self.archive_rollout();
        if self.base.is_none() {
            self.base = self.most_common_version();
        }
        self.last_version.0 += 1;
        self.last_number += 1;
        self.rollout = Some(Rollout::begin(file, self.last_number, self.last_version, initial_replicas, ceiling));
        let version = Version {
            name: file.version.clone(),
            replicas: file.replicas,
            group: file.group,
            job: file.job.clone(),
            check: file.check.clone(),
        };
        self.versions.insert(self.last_version, version);
        self.prune_versions();
        Ok(())
    }

    /// Returns the version with the most replicas. A revert returns to it as long
    /// as no roll-out has ever completed.
    fn most_common_version(&self) -> Option<VersionNumber> {
        let count =
            |v: VersionNumber| self.active_members().filter(|m| m.version == v).map(|m| m.replicas).sum::<u32>();
        let counted = self.versions.keys().map(|version| (count(*version), *version));
        counted.filter(|(replicas, _)| *replicas > 0).max().map(|(_, version)| version)
    }

    /// Checks that the record fits into one value with the most members that the
    /// roll-out may need.
    fn check_size(&self, file: &RollOut, ceiling: u32, value_bytes: usize) -> Result<(), Refusal> {
        let fixed = serde_json::to_vec(&(&self.versions, &self.past, file)).map_or(0, |text| text.len()) + 512;
        let room = (value_bytes * 9 / 10).saturating_sub(fixed) / MEMBER_BYTES;
        let smallest_group = self.versions.values().map(|v| v.group).chain([file.group]).min().unwrap_or(1).max(1);
        let members = ceiling.div_ceil(smallest_group) as usize + 1;
        if members > room {
            return Err(Refusal::TooLarge { members, room });
        }
        Ok(())
    }

    /// Moves the last roll-out to `past`.
    fn archive_rollout(&mut self) {
        if let Some(rollout) = self.rollout.take() {
            let version = self.version_name(rollout.to).to_string();
            self.past.push(Outcome {
                number: rollout.number,
                version,
                progress: rollout.progress,
                reason: rollout.reason,
            });
            let extra = self.past.len().saturating_sub(MAX_PAST_ROLLOUTS);
            self.past.drain(..extra);
        }
    }

    /// Removes versions that are no longer referred to.
    pub(crate) fn prune_versions(&mut self) {
        let needed: Vec<VersionNumber> = self
            .members
            .iter()
            .map(|m| m.version)
            .chain(self.base)
            .chain(self.rollout.as_ref().map(|r| r.to))
            .collect();
        self.versions.retain(|version, _| needed.contains(version));
    }
}
