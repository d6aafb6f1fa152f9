//! Random numbers of the simulation. All parts draw from one generator, and the same seed gives the
//! same run on every machine: the trace checksums depend on the order of the draws.

/// A xorshift generator.
pub struct Random(u64);

impl Random {
    pub fn from_seed(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to `limit`, exclusive; 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit.max(1)
    }
}
