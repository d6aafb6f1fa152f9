//! Messages of the cloud API: the catalog of machine types, renting and returning machines, and the list of rented
//! machines.
//!
//! Serde renames map the fields to the names on the wire. `coordination::fleet` builds the requests and handles the
//! responses; `transport` sends them.

use crate::units::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type, unique in the catalog.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processor cores.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs; 0 if the field is absent.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem_gb: f64,
    /// Capacity of the local image cache in gigabytes.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Throughput of fetching images in gigabytes per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Hourly price of an on-demand machine.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Hourly price of a spot machine; `None` if the type is not offered as spot.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Typical time from renting a machine until it is up, in seconds.
    #[serde(rename = "ready_s", default)]
    pub provisioning_s: f64,
    /// Availability zones that offer the type.
    #[serde(rename = "berths", default)]
    pub zones: Vec<String>,
}

/// The cloud's list of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types on offer.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// Request to rent machines of one type in one zone.
#[derive(Debug, Clone, Serialize)]
pub struct RentRequest {
    /// Idempotency key: a repeated request with the same id returns the same machines.
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
    /// Number of machines, at most [`MAX_MACHINES_PER_RENT`].
    pub count: u32,
}

/// Maximum number of machines in one rental request.
pub const MAX_MACHINES_PER_RENT: u32 = 50;
/// Maximum number of machines in one return request.
pub const MAX_MACHINES_PER_RETURN: usize = 100;
/// Maximum number of machines in one page of the list of rented machines.
pub const MAX_MACHINES_PER_PAGE: usize = 500;

/// Machine ids: the rented machines in a rental response, or the machines to return in a return request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    /// Ids of the machines.
    #[serde(rename = "decks")]
    pub machines: Vec<MachineId>,
}

/// State of a rented machine as reported by the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineState {
    /// The machine is being provisioned.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up.
    #[serde(rename = "running")]
    Running,
    /// Provisioning failed, or the machine broke down later.
    #[serde(rename = "failed")]
    Failed,
}

/// An entry of the cloud's list of rented machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine.
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
    /// State as reported by the cloud.
    #[serde(rename = "trim")]
    pub state: ListedMachineState,
    /// Time since the machine was rented, in seconds.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the list of rented machines, ordered by name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines of this page.
    #[serde(rename = "decks")]
    pub machines: Vec<ListedMachine>,
    /// True if the list continues after the last machine of this page.
    #[serde(default)]
    pub truncated: bool,
}
