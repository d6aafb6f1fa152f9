//! tillercleat: a cluster scheduler that places tasks on machines likely to
//! outlast them.

pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
pub mod units;
