//! Hashes of prompt prefixes as engines publish them in cache events.

use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Size of the blocks of the messages' JSON text at whose ends prefixes are hashed, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Returns the hash of each prefix that consists of whole blocks, the longest prefix last.
///
/// Prompts share a prefix only under the same model, version and adapter.
pub fn prefix_hashes(
    model: &str,
    version: &str,
    adapter: Option<&SmolStr>,
    messages: &[u8],
) -> Vec<u64> {
    let adapter = adapter.map_or("", SmolStr::as_str);
    let mut hash = xxh3_64(format!("{model}\0{version}\0{adapter}").as_bytes());
    let blocks = messages.chunks_exact(PREFIX_BLOCK_BYTES).map(|block| {
        hash = xxh3_64_with_seed(block, hash);
        hash
    });
    blocks.collect()
}
