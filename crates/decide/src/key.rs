//! Hashes of keys.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the place of a key in the hash space of its service.
///
/// The value is stable over versions of the program: assignments in the table depend on it.
pub fn key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}
