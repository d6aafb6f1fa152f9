//! Random numbers of the simulation, drawn by whatever needs chance. Equal seeds give equal runs
//! on every machine: the order of the draws is part of what the trace pins.

/// A xorshift generator.
pub struct Random(u64);

impl Random {
    pub fn from_seed(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number from 0 to `limit`, the latter excluded.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit.max(1)
    }
}
