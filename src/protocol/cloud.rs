//! Messages of the cloud: its catalog, renting and returning machines, and the list of rented machines.
//!
//! The cloud's words stand here only, as serde renames. Sent by `transport`, made and read by `fleet`.

use crate::units::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processor cores.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Graphics processors.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem_gb: f64,
    /// Room for cached images in gigabytes.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// How fast images are fetched, in gigabytes a second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, by the hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price of a spot machine, by the hour. None if there are none of the type.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// How long a rented machine usually takes to come up, in seconds.
    #[serde(rename = "ready_s", default)]
    pub provisioning_s: f64,
    /// The availability zones that have the type.
    #[serde(rename = "berths", default)]
    pub zones: Vec<String>,
}

/// The machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The types.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// Asks for machines of one type in one zone.
#[derive(Debug, Clone, Serialize)]
pub struct RentRequest {
    /// Makes the request idempotent: repeated under the same id, it gets the same machines.
    #[serde(rename = "charter")]
    pub request_id: String,
    /// The machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// The availability zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// True for spot machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many machines, at most [`MAX_MACHINES_PER_RENT`].
    pub count: u32,
}

/// The most machines of one rental request.
pub const MAX_MACHINES_PER_RENT: u32 = 50;
/// The most names of one return request.
pub const MAX_MACHINES_PER_RETURN: usize = 100;
/// The most machines of one page of the list.
pub const MAX_MACHINES_PER_PAGE: usize = 500;

/// Names of machines: those that were rented, or those to return.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    /// The names.
    #[serde(rename = "decks")]
    pub machines: Vec<MachineId>,
}

/// The state of a rented machine, as the cloud sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineState {
    /// Not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// It will not come up, or has broken.
    #[serde(rename = "failed")]
    Failed,
}

/// A rented machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub machine: MachineId,
    /// The machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// The availability zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "trim")]
    pub state: ListedMachineState,
    /// How long ago it was rented, in seconds.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the list of rented machines, ordered by name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines.
    #[serde(rename = "decks")]
    pub machines: Vec<ListedMachine>,
    /// More machines follow the last one.
    #[serde(default)]
    pub truncated: bool,
}
