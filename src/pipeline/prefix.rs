//! Hashes of prompt prefixes, which are matched against the prefix caches of engines.

/// Bytes by which each prefix is longer than the previous one.
pub const STEP_BYTES: usize = 256;
/// Maximum number of prefixes per prompt.
pub const MAX_PREFIXES: usize = 64;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hashes of the prefixes of `text`, shortest first.
pub fn hashes(text: &str) -> Vec<u64> {
    let mut hash = FNV_OFFSET_BASIS;
    let steps = text.as_bytes().chunks_exact(STEP_BYTES).take(MAX_PREFIXES);
    steps
        .map(|step| {
            for byte in step {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            hash
        })
        .collect()
}

#[cfg(test)]
mod tests;
