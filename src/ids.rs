//! Identifiers and keys that several modules share.

use std::fmt;
use std::ops::Deref;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

slotmap::new_key_type! {
    /// Key of a model in the catalog's arena.
    pub struct ModelKey;
    /// Key of a team in the catalog's arena.
    pub struct TeamKey;
    /// Key of a backend server in the catalog's arena.
    pub struct BackendKey;
}

/// A caller's secret key. Its `Debug` form does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(SmolStr);

impl From<&str> for CallerKey {
    fn from(secret: &str) -> Self {
        Self(secret.into())
    }
}

impl Deref for CallerKey {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey")
    }
}

/// Offset of a record in one stream of the platform's log. Offsets start at 0 and have no gaps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogOffset(pub u64);

impl LogOffset {
    /// Returns the offset that follows; the largest one has none.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for LogOffset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Era of the platform's store. It rises each time the store comes back from a copy, which may lack records that the
/// store had acknowledged, so offsets of different eras must not be compared. 0 for a store that does not name it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Random id of one run of a daemon, generated at its start and never reused. It does not identify the VM itself: a
/// daemon that restarts on the same VM gets a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VmId(pub u64);

impl VmId {
    /// Generates the id of a new run.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Random identifier of a record, by which an append whose reply was lost is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId(pub u128);

impl RecordId {
    /// Generates a new identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// SHA-256 digest of a caller's or operator's key, an idempotency key or a body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of `secret`.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}…", &self.to_string()[..8])
    }
}
