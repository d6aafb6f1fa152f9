//! The machines: inventory, scaling, provisioning times, faults and estimates.

pub(crate) mod catalog;
pub(crate) mod demand;
pub(crate) mod estimates;
pub(crate) mod fault_attribution;
pub(crate) mod inventory;
pub(crate) mod provisioning_times;
pub(crate) mod scale_in;
pub(crate) mod scale_out;
