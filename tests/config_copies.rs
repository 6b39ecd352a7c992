//! Transfer of the configuration in chunks.

use foxtailhill::platform;
use foxtailhill::relay::{CompressedConfig, ConfigAssembler, ConfigChunk, ConfigHolder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Returns a random record, which hardly compresses.
fn record(seed: u64, length: usize) -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..length).map(|_| random.random()).collect()
}

fn pack(version: u64, seed: u64) -> eyre::Result<CompressedConfig> {
    Ok(CompressedConfig::compress(version, &record(seed, 500_000))?)
}

/// Requests one chunk from `source`; returns the configuration if it is complete.
fn step(
    assembler: &mut ConfigAssembler,
    source: &CompressedConfig,
    in_force: u64,
) -> eyre::Result<Option<CompressedConfig>> {
    let request = assembler.request(in_force);
    let chunk = source
        .chunk(&request)
        .ok_or_else(|| eyre::eyre!("nothing newer than {in_force}"))?;
    Ok(assembler.add(chunk)?)
}

/// Guards against a transfer that starts over when its source fails or a chunk times out.
#[test]
fn copy_resumes_from_another_source_after_timeouts() -> eyre::Result<()> {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        // Two daemons that have compressed the same record.
        let sources = [pack(8, seed)?, pack(8, seed)?];
        let mut assembler = ConfigAssembler::default();
        let mut calls = 0;
        let config = loop {
            calls += 1;
            eyre::ensure!(calls < 1_000, "seed {seed}: no copy after {calls} calls");
            if random.random_bool(0.4) {
                assembler.note_timeout();
                continue;
            }
            let source = &sources[random.random_range(0..sources.len())];
            if let Some(compressed) = step(&mut assembler, source, 6)? {
                break compressed;
            }
        };
        eyre::ensure!(config.version() == 8, "seed {seed}");
        eyre::ensure!(config.decompress()? == record(seed, 500_000), "seed {seed}");
    }
    Ok(())
}

/// Guards against chunks of two versions that are mixed, and against a transfer that never completes because that of a
/// newer version has begun.
#[test]
fn chunks_of_two_versions_are_assembled_separately() -> eyre::Result<()> {
    let (older, newer) = (pack(8, 1)?, pack(10, 2)?);
    let mut assembler = ConfigAssembler::default();
    let mut done = Vec::new();
    for turn in 0..1_000 {
        let source = if turn % 2 == 0 { &newer } else { &older };
        if done.contains(&source.version()) {
            continue;
        }
        if let Some(compressed) = step(&mut assembler, source, 6)? {
            let seed = if compressed.version() == 8 { 1 } else { 2 };
            eyre::ensure!(compressed.decompress()? == record(seed, 500_000));
            done.push(compressed.version());
        }
    }
    done.sort_unstable();
    eyre::ensure!(done == [8, 10], "{done:?}");
    eyre::ensure!(
        older.chunk(&assembler.request(8)).is_none(),
        "8 is in force"
    );
    Ok(())
}

/// Guards against chunks at a wrong offset, with a wrong length, or with bytes that were corrupted in transit.
#[test]
fn mismatched_chunks_are_rejected() -> eyre::Result<()> {
    let compressed = pack(8, 3)?;
    let first = |assembler: &mut ConfigAssembler| compressed.chunk(&assembler.request(6));
    let changes: [fn(&mut ConfigChunk); 4] = [
        |chunk| chunk.from += 1,
        |chunk| chunk.length = 10,
        |chunk| chunk.bytes = chunk.bytes.slice(1..),
        |chunk| chunk.id.digest ^= 1,
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let mut assembler = ConfigAssembler::default();
        let mut refused = false;
        for _ in 0..1_000 {
            let mut chunk = first(&mut assembler).ok_or_else(|| eyre::eyre!("nothing newer"))?;
            change(&mut chunk);
            match assembler.add(chunk) {
                Err(_) => {
                    refused = true;
                    break;
                }
                Ok(config) => eyre::ensure!(config.is_none(), "change {index} went unnoticed"),
            }
        }
        // Changing the digest of a chunk assigns each chunk to another copy, so that no copy completes.
        eyre::ensure!(refused || index == 3, "change {index} went unnoticed");
    }
    Ok(())
}

/// Guards against a copy that comes into force although its version is not the stated one, or it contains no valid
/// configuration.
#[test]
fn copy_with_wrong_version_or_content_is_rejected() -> eyre::Result<()> {
    let configs = ConfigHolder::new(platform::CONFIGURATION_KEY, platform::decode_config);
    let peer = ([127, 0, 0, 1], 1).into();
    let config = json!({"version": 7, "routes": []}).to_string();
    let misnamed = CompressedConfig::compress(9, config.as_bytes())?;
    eyre::ensure!(configs.offer_compressed(misnamed, peer).is_err());
    let garbage = CompressedConfig::compress(9, b"no configuration")?;
    eyre::ensure!(configs.offer_compressed(garbage, peer).is_err());
    eyre::ensure!(configs.version() == 0);
    let compressed = CompressedConfig::compress(7, config.as_bytes())?;
    configs.offer_compressed(compressed.clone(), peer)?;
    eyre::ensure!(configs.version() == 7);
    let mut assembler = ConfigAssembler::default();
    let passed_on = configs.chunk(&assembler.request(6));
    eyre::ensure!(
        passed_on == compressed.chunk(&assembler.request(6)),
        "the copy is not passed on"
    );
    Ok(())
}
