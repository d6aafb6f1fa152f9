//! What is durable of a service: one value, so that every change of it is one
//! conditional write.

use crate::file::{Check, Job, OnFailure, RollOut};
use crate::units::{JobId, Millis, VersionNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Roll-outs that are remembered after they ended.
const MAX_PAST_ROLLOUTS: usize = 5;

/// Bytes that a member takes of its service's record, about.
const MEMBER_BYTES: usize = 110;

/// A version of a service, for as long as a member or a way back needs it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The operators' name of the version.
    pub name: String,
    /// Replicas that the service has when all of them run this version.
    pub replicas: u32,
    /// Replicas per job.
    pub group: u32,
    /// What each replica runs.
    pub job: Job,
    /// How each replica is checked.
    pub check: Check,
}

/// A job of the service: a group of replicas that come and go together.
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
    /// The step that brought it, counted from 0.
    #[serde(rename = "s")]
    pub step: u32,
    /// The only zone allowed, if any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// It is to be withdrawn, and never comes back.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub retiring: bool,
}

/// One step of a roll-out under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepPlan {
    /// Replicas of the new version after this step.
    pub target: u32,
    /// Zone for this step's replicas, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// How long the replicas must stay healthy.
    pub bake: Millis,
    /// How long the step may take in all.
    pub deadline: Millis,
}

/// Which way a roll-out goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// To the new version; the step's replicas are being brought out.
    #[serde(rename = "raising")]
    ScalingUp,
    /// To the new version; the step's replicas must stay well.
    Baking,
    /// To the version before.
    Reverting,
}

/// Whether a roll-out goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutProgress {
    /// The driver takes it further.
    #[serde(rename = "going")]
    InProgress,
    /// By an operator: no step goes on, but a failure still counts.
    Paused,
    /// Stopped where it was, for the reason noted.
    Halted,
    /// All replicas have the new version.
    #[serde(rename = "new")]
    Completed,
    /// All replicas have the version before.
    #[serde(rename = "old")]
    Reverted,
}

/// A roll-out, from its start to its end and beyond.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// Counts the service's roll-outs from 1.
    pub number: u64,
    /// The version to roll out.
    pub to: VersionNumber,
    /// The steps, in order.
    pub steps: Vec<StepPlan>,
    /// What a failed step leads to.
    pub on_failure: OnFailure,
    /// Never fewer replicas than this are left by our own doing.
    pub floor: u32,
    /// Never more replicas than this are on the books.
    pub ceiling: u32,
    /// Replicas of other versions at the start.
    #[serde(rename = "from")]
    pub initial_replicas: u32,
    /// The current step, counted from 0.
    pub step: u32,
    /// Which way it goes.
    #[serde(rename = "way")]
    pub phase: Phase,
    /// Whether it goes on.
    #[serde(rename = "course")]
    pub progress: RolloutProgress,
    /// Time spent on the step, as far as it is durable.
    pub spent: Millis,
    /// Time that the step's replicas have stayed well, as far as it is durable.
    pub baked: Millis,
    /// Why it was halted or turned back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl Rollout {
    /// A roll-out at the start of its first step. `from` counts the replicas of
    /// other versions; `ceiling` bounds the replicas of all versions.
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

    /// True while replicas may come or go.
    pub fn active(&self) -> bool {
        matches!(self.progress, RolloutProgress::InProgress | RolloutProgress::Paused)
    }

    /// The plan of the current step.
    pub fn plan(&self) -> Option<&StepPlan> {
        self.steps.get(self.step as usize)
    }

    /// Begins whatever comes next: its time counts from nothing.
    pub(crate) fn begin_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.spent = Millis(0);
        self.baked = Millis(0);
    }
}

/// A roll-out that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The roll-out's number.
    pub number: u64,
    /// Name of the version that was rolled out.
    pub version: String,
    /// How it ended.
    #[serde(rename = "course")]
    pub progress: RolloutProgress,
    /// Why it was halted or reverted, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Everything durable of a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// The version that all replicas last had.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<VersionNumber>,
    /// Versions that members or the roll-out refer to.
    pub versions: BTreeMap<VersionNumber, Version>,
    /// The jobs of the service, retiring ones included.
    pub members: Vec<Member>,
    /// The current or last roll-out.
    #[serde(rename = "rolling", default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
    /// Earlier roll-outs, oldest first; the last few are kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub past: Vec<Outcome>,
    /// The newest version and roll-out there ever were.
    pub last_version: VersionNumber,
    /// The highest roll-out number given so far.
    pub last_number: u64,
}

/// What an operator wants of a service.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start a roll-out.
    Start(Box<RollOut>),
    /// Hold the roll-out back; failures still count.
    Pause,
    /// Go on after a pause or halt.
    Resume,
    /// Halt the roll-out where it is.
    Abort,
    /// Return to the version before.
    Revert,
}

/// Why a command is not carried out.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another roll-out of the service is under way.
    #[error("roll-out {number} to {version} is at step {step} of {steps}: abort or revert it first")]
    RolloutActive {
        /// Number of the roll-out under way.
        number: u64,
        /// Name of the version that it rolls out.
        version: String,
        /// Its current step, counted from 1.
        step: u32,
        /// How many steps it has.
        steps: usize,
    },
    /// There is nothing that the command could be about.
    #[error("{0}")]
    Conflict(&'static str),
    /// The service's record would not fit into one value.
    #[error("the service would need {members} jobs and has room for {room}: use a larger group")]
    TooLarge {
        /// Jobs that the service could come to have.
        members: usize,
        /// Jobs that fit into its record.
        room: usize,
    },
}

impl Service {
    /// Members that are to stay.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| !m.retiring)
    }

    /// Replicas on the books, those to be withdrawn included.
    pub fn recorded_replicas(&self) -> u32 {
        self.members.iter().map(|m| m.replicas).sum()
    }

    /// Name of a version; `?` if it isn't known any more.
    pub fn version_name(&self, version: VersionNumber) -> &str {
        self.versions.get(&version).map_or("?", |v| &v.name)
    }

    /// The service after a command; `value_bytes` bounds its record.
    ///
    /// # Errors
    ///
    /// Why the command cannot be carried out; nothing has changed then.
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

    /// The version that most replicas have: what a revert returns to as long as
    /// no roll-out has ever succeeded.
    fn most_common_version(&self) -> Option<VersionNumber> {
        let count =
            |v: VersionNumber| self.active_members().filter(|m| m.version == v).map(|m| m.replicas).sum::<u32>();
        let counted = self.versions.keys().map(|version| (count(*version), *version));
        counted.filter(|(replicas, _)| *replicas > 0).max().map(|(_, version)| version)
    }

    /// Whether the record stays one value with as many members as there may be.
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

    /// Puts the last roll-out among those that are remembered.
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

    /// Drops versions that nothing refers to any more.
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
