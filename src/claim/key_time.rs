//! Age of time-ordered idempotency keys.

use std::time::Duration;

use crate::error::{Category, Error, Result, RunVerdict};

/// Digits of a UUID without its hyphens.
const UUID_DIGITS: usize = 32;

/// Returns the time stamp of a UUIDv7 in milliseconds since the Unix epoch, or `None` for any other key.
///
/// ```
/// let key = "018bcfe5-6800-7abc-8def-0123456789ab";
/// assert_eq!(foxtailhill::claim::key_time_ms(key), Some(1_700_000_000_000));
/// assert_eq!(foxtailhill::claim::key_time_ms("seat-14b"), None);
/// ```
pub fn key_time_ms(key: &str) -> Option<u64> {
    let hyphens_fit = key.len() == 36
        && key
            .char_indices()
            .all(|(index, c)| matches!(index, 8 | 13 | 18 | 23) == (c == '-'));
    if !hyphens_fit && key.len() != UUID_DIGITS {
        return None;
    }
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    if digits.len() != UUID_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let bits = u128::from_str_radix(&digits, 16).ok()?;
    let version = (bits >> 76) & 0xf;
    let variant = (bits >> 62) & 0x3;
    if version != 7 || variant != 0b10 {
        return None;
    }
    u64::try_from(bits >> 80).ok()
}

/// Refuses a time-ordered key that the claim memory may no longer cover.
///
/// `now_ms` is the wall clock and `complete_since_ms` the time from which the replayed claims are complete.
/// A key without a time stamp passes.
///
/// # Errors
///
/// `Conflict` with `MayHaveRun` if the key is older than `memory` or than `complete_since_ms`.
pub fn check_key_age(
    key: &str,
    memory: Duration,
    now_ms: u64,
    complete_since_ms: u64,
) -> Result<()> {
    let Some(created_ms) = key_time_ms(key) else {
        return Ok(());
    };
    let memory_ms = u64::try_from(memory.as_millis()).unwrap_or(u64::MAX);
    let oldest_ms = now_ms.saturating_sub(memory_ms).max(complete_since_ms);
    if created_ms >= oldest_ms {
        return Ok(());
    }
    Err(Error::new(
        Category::Conflict,
        "the idempotency key is older than the memory of claims",
    )
    .with_verdict(RunVerdict::MayHaveRun))
}
