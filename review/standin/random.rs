//! Random numbers of a seed.

use std::sync::Mutex;

pub struct Random(Mutex<u64>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1))
    }

    pub fn next(&self) -> u64 {
        let mut state = self.0.lock().expect("no panic");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        state.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns a number from 0 up to 1.
    pub fn share(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn hex(&self) -> String {
        format!("{:016x}", self.next())
    }
}
