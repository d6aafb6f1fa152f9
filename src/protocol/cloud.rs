//! The cloud's catalog, rentals and machine list.

use crate::units::MachineId;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub mem_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "ready_s", default)]
    pub provisioning_s: f64,
    #[serde(rename = "berths", default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, Serialize)]
pub struct RentRequest {
    #[serde(rename = "charter")]
    pub request_id: String,
    #[serde(rename = "hull")]
    pub kind: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    pub count: u32,
}

/// The most machines of one rental request.
pub const RENT_LIMIT: u32 = 50;
/// The most names of one return request.
pub const RETURN_LIMIT: usize = 100;
/// The most machines of one page of the list.
pub const LIST_LIMIT: usize = 500;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineIds {
    #[serde(rename = "decks")]
    pub machines: Vec<MachineId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub machine: MachineId,
    #[serde(rename = "hull")]
    pub kind: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    #[serde(rename = "trim")]
    pub state: ListedMachineState,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    #[serde(rename = "decks")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub truncated: bool,
}
