//! The durable records, as they stand in the state service.

use crate::protocol::users::{job_ref_of, job_ref_rest, JobSpec};
use crate::units::{Attempt, JobRef, LeaseId, MachineId, NodeName, PartId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Everything the service keeps begins with this.
pub const ROOT: &str = "t/";
pub const LEADER_KEY: &str = "t/l";
pub const CATALOG_KEY: &str = "t/k";
pub const FLEET_KEY: &str = "t/f";
pub const LEVEL_KEY: &str = "t/v";

pub fn node_key(node: &NodeName) -> String {
    format!("t/n/{node}")
}
pub fn owner_key(part: PartId) -> String {
    format!("t/o/{part}")
}
pub fn allowance_key(part: PartId) -> String {
    format!("t/a/{part}")
}
pub fn job_key(job: &JobRef) -> String {
    format!("t/j/{job}")
}
/// What is kept of a job for ever. Not under the root that every node reads
/// and watches: start-up and memory must not grow with all jobs there ever were.
pub fn past_key(job: &JobRef) -> String {
    format!("f/{job}")
}
/// A node's note that it answers workers of a part in its owner's name.
pub fn keep_key(part: PartId, node: &NodeName) -> String {
    format!("t/w/{part}/{node}")
}
pub fn slice_key(job: &JobRef, slice: usize) -> String {
    format!("t/s/{job}/{slice}")
}

/// What a key stands for.
#[derive(Debug, PartialEq)]
pub enum Key {
    Leader,
    Catalog,
    Fleet,
    Level,
    Node(NodeName),
    Owner(PartId),
    Allowance(PartId),
    Job(JobRef),
    Slice(JobRef, usize),
    Keep(PartId, NodeName),
}

impl Key {
    pub fn read(key: &str) -> Option<Key> {
        match key {
            LEADER_KEY => return Some(Key::Leader),
            CATALOG_KEY => return Some(Key::Catalog),
            FLEET_KEY => return Some(Key::Fleet),
            LEVEL_KEY => return Some(Key::Level),
            _ => {}
        }
        let (family, rest) = key.strip_prefix(ROOT)?.split_once('/')?;
        Some(match family {
            "n" => Key::Node(NodeName::new(rest)),
            "o" => Key::Owner(PartId(rest.parse().ok()?)),
            "a" => Key::Allowance(PartId(rest.parse().ok()?)),
            "j" => Key::Job(JobRef::new(rest)),
            "w" => {
                let (part, node) = rest.split_once('/')?;
                Key::Keep(PartId(part.parse().ok()?), NodeName::new(node))
            }
            "s" => {
                let (job, slice) = rest.rsplit_once('/')?;
                Key::Slice(JobRef::new(job), slice.parse().ok()?)
            }
            _ => return None,
        })
    }
}

/// A controller that is alive, and the lease that shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub lease: LeaseId,
    /// What the controller can do; older ones say nothing.
    #[serde(default)]
    pub level: Level,
}

/// What controllers can do, each level all that is below it as well. 1: jobs
/// that name others which have to be done first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Level(pub u32);

/// What is turned on, for good.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LevelRecord {
    pub level: Level,
}

/// Who owns a part, or leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderRecord {
    pub node: NodeName,
    /// The lease that keeps the key; tells a node's lives apart.
    pub lease: LeaseId,
}

/// How a job is cut: slices of `size` tasks, each dealt to a part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub size: u32,
    pub parts: Vec<PartId>,
}

impl Plan {
    pub fn slice_of(&self, task: u32) -> (usize, usize) {
        ((task / self.size.max(1)) as usize, (task % self.size.max(1)) as usize)
    }
    pub fn first_task(&self, slice: usize) -> u32 {
        slice as u32 * self.size
    }
    /// Tasks in a slice of a job with `tasks` in all.
    pub fn len(&self, slice: usize, tasks: u32) -> usize {
        tasks.saturating_sub(self.first_task(slice)).min(self.size) as usize
    }
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Done,
    Cancelled,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance in milliseconds; only ever an estimate of age.
    pub at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<Plan>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
    /// Jobs that have to be done before this one may start. Controllers that
    /// do not know of them drop them when they write a job's end, after which
    /// nobody asks; until then the plan without slices keeps it from starting.
    #[serde(default, skip_serializing_if = "Awaits::is_empty")]
    pub awaits: Awaits,
    /// Time of day in milliseconds when the last job that it waited for was
    /// seen to be done; orders work, nothing else.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<u64>,
}

impl JobRecord {
    /// A job accepted at this time of day, not dealt to any part.
    pub fn new(spec: JobSpec, at: u64) -> JobRecord {
        JobRecord { spec, at, plan: None, end: None, awaits: Awaits::default(), ready: None }
    }

    /// True while the job waits for others: its plan has no slices.
    pub fn waits(&self) -> bool {
        self.end.is_none() && self.plan.as_ref().is_some_and(Plan::is_empty)
    }

    /// Since when the job may start, time of day in milliseconds.
    pub fn since(&self) -> u64 {
        self.ready.unwrap_or(self.at)
    }
}

/// Names of jobs, as one text: a job may name a hundred others, and its record
/// is one value.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Awaits(pub Vec<JobRef>);

impl Awaits {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<String> for Awaits {
    fn from(text: String) -> Self {
        Awaits(text.split_whitespace().map(job_ref_of).collect())
    }
}

impl From<Awaits> for String {
    fn from(awaits: Awaits) -> Self {
        awaits.0.iter().map(job_ref_rest).collect::<Vec<_>>().join(" ")
    }
}

/// A job that ended long ago.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PastRecord {
    pub end: End,
    pub tasks: u32,
}

/// Where one task stands.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskRecord {
    /// On no machine for certain, after so many attempts.
    Idle(Attempt),
    /// Possibly on this machine until proof of the contrary.
    On(Attempt, MachineId),
    Done,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PackedSlice", into = "PackedSlice")]
pub struct SliceRecord {
    pub tasks: Vec<TaskRecord>,
}

impl SliceRecord {
    pub fn fresh(len: usize) -> Self {
        SliceRecord { tasks: vec![TaskRecord::Idle(Attempt(0)); len] }
    }
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| *t == TaskRecord::Done)
    }
    pub fn any_on(&self) -> bool {
        self.tasks.iter().any(|t| matches!(t, TaskRecord::On(..)))
    }
    /// The dense form: for slices whose plain form does not fit into one value,
    /// once all controllers can read it. None if machines' names are too odd.
    pub fn dense(&self) -> Option<Value> {
        let plain = PackedSlice::from(self.clone());
        let packed = PackedSlice { t: vec![], z: Some(super::dense::write(&plain.t)?), ..plain };
        serde_json::to_value(packed).ok()
    }

    pub fn count_done(&self) -> usize {
        self.tasks.iter().filter(|t| **t == TaskRecord::Done).count()
    }
}

/// A task that was ever tried and is not done: its index, attempt, and machine
/// unless it is on none.
pub(super) type Tried = (usize, Attempt, Option<MachineId>);

/// The packed form: the number of tasks, those done as ranges, and the rest
/// that were ever tried as `[index, attempt, machine or null]`.
#[derive(Serialize, Deserialize)]
struct PackedSlice {
    n: usize,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    d: Vec<(usize, usize)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    t: Vec<Tried>,
    /// The same in less room.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    z: Option<String>,
}

impl From<SliceRecord> for PackedSlice {
    fn from(slice: SliceRecord) -> Self {
        let mut packed = PackedSlice { n: slice.tasks.len(), d: vec![], t: vec![], z: None };
        for (index, task) in slice.tasks.into_iter().enumerate() {
            match task {
                TaskRecord::Idle(Attempt(0)) => {}
                TaskRecord::Idle(attempt) => packed.t.push((index, attempt, None)),
                TaskRecord::On(attempt, machine) => packed.t.push((index, attempt, Some(machine))),
                TaskRecord::Done => match packed.d.last_mut() {
                    Some(range) if range.1 + 1 == index => range.1 = index,
                    _ => packed.d.push((index, index)),
                },
            }
        }
        packed
    }
}

impl TryFrom<PackedSlice> for SliceRecord {
    type Error = String;
    fn try_from(packed: PackedSlice) -> Result<Self, String> {
        if packed.n > crate::protocol::users::MAX_TASKS as usize {
            return Err("too many tasks".into());
        }
        let mut slice = SliceRecord::fresh(packed.n);
        for (first, last) in packed.d {
            let range = slice.tasks.get_mut(first..=last).ok_or("a range out of bounds")?;
            range.fill(TaskRecord::Done);
        }
        let dense = packed.z.map(|text| super::dense::read(&text).ok_or("a dense form that makes no sense"));
        for (index, attempt, machine) in packed.t.into_iter().chain(dense.transpose()?.into_iter().flatten()) {
            *slice.tasks.get_mut(index).ok_or("an index out of bounds")? = match machine {
                Some(machine) => TaskRecord::On(attempt, machine),
                None => TaskRecord::Idle(attempt),
            };
        }
        Ok(slice)
    }
}

/// What a part may use of each team's limit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AllowanceRecord {
    pub teams: BTreeMap<String, (f64, f64)>,
}

/// What the leader has begun with machines: the last rental request named
/// (its name holds `rentals`), and machines on their way out or gone.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    pub rentals: u64,
    #[serde(default)]
    pub drain: Vec<MachineId>,
    #[serde(default)]
    pub gone: Vec<MachineId>,
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn task() -> impl Strategy<Value = TaskRecord> {
        prop_oneof![
            (0u64..9).prop_map(|a| TaskRecord::Idle(Attempt(a))),
            (1u64..9, 0u32..999).prop_map(|(a, m)| TaskRecord::On(Attempt(a), MachineId::new(&format!("i-{m:06}")))),
            Just(TaskRecord::Done),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), failure_persistence: None, ..Default::default() })]
        #[test]
        fn slices_survive_packing(tasks in proptest::collection::vec(task(), 0..100)) {
            let slice = SliceRecord { tasks };
            let text = serde_json::to_string(&slice).unwrap();
            prop_assert_eq!(serde_json::from_str::<SliceRecord>(&text).unwrap(), slice.clone());
            prop_assert_eq!(serde_json::from_value::<SliceRecord>(slice.dense().unwrap()).unwrap(), slice);
        }

        #[test]
        fn garbage_is_refused_without_panic(n in 0usize..200_000, a in any::<usize>(), b in any::<usize>(), z in ".{0,40}") {
            let text = format!(r#"{{"n":{n},"d":[[{a},{b}]],"t":[[{b},1,null]]}}"#);
            let _ = serde_json::from_str::<SliceRecord>(&text);
            let text = serde_json::json!({"n": n % 500, "z": format!("{z} {a}:")});
            let _ = serde_json::from_value::<SliceRecord>(text);
        }
    }

    #[test]
    fn keys_read_back() {
        let job = JobRef::new("wk-000001");
        assert_eq!(Key::read(&slice_key(&job, 3)), Some(Key::Slice(job.clone(), 3)));
        assert_eq!(Key::read(&job_key(&job)), Some(Key::Job(job)));
        assert_eq!(Key::read(&owner_key(PartId(2))), Some(Key::Owner(PartId(2))));
        let node = NodeName::new("n1");
        assert_eq!(Key::read(&keep_key(PartId(2), &node)), Some(Key::Keep(PartId(2), node)));
        assert_eq!(Key::read("elsewhere"), None);
    }
}
