//! Arenas of declared entities with a name index.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use slotmap::{DefaultKey, Key, SlotMap};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::catalog::{KeySpec, OperatorSpec, Revision};
use crate::ids::KeyDigest;

/// A declared entity and the revision at which it was last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declared<T> {
    pub spec: T,
    pub revision: Revision,
}

/// Entities of one kind.
///
/// Encodes as a map in name order, so catalogs with equal content have equal encodings whatever their history.
#[derive(Clone, Debug)]
pub(super) struct Arena<K: Key, T> {
    slots: SlotMap<K, Declared<T>>,
    names: BTreeMap<SmolStr, K>,
}

impl<K: Key, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self {
            slots: SlotMap::with_key(),
            names: BTreeMap::new(),
        }
    }
}

impl<K: Key, T> Arena<K, T> {
    pub(super) fn key(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    pub(super) fn at(&self, key: K) -> Option<&Declared<T>> {
        self.slots.get(key)
    }

    pub(super) fn get(&self, name: &str) -> Option<&Declared<T>> {
        self.slots.get(self.key(name)?)
    }

    pub(super) fn put(&mut self, name: &SmolStr, spec: T, revision: Revision) {
        let declared = Declared { spec, revision };
        match self.key(name) {
            Some(key) => self.slots[key] = declared,
            None => {
                let key = self.slots.insert(declared);
                self.names.insert(name.clone(), key);
            }
        }
    }

    pub(super) fn remove(&mut self, name: &str) -> Option<Declared<T>> {
        self.slots.remove(self.names.remove(name)?)
    }

    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns the entities in name order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&SmolStr, &Declared<T>)> {
        self.names
            .iter()
            .map(|(name, key)| (name, &self.slots[*key]))
    }

    /// Returns the specifications in name order.
    pub(super) fn specs(&self) -> impl Iterator<Item = &T> {
        self.iter().map(|(_, declared)| &declared.spec)
    }
}

impl<K: Key, T: Serialize> Serialize for Arena<K, T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<'de, K: Key, T: Deserialize<'de>> Deserialize<'de> for Arena<K, T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let entries = BTreeMap::<SmolStr, Declared<T>>::deserialize(deserializer)?;
        let mut arena = Self::default();
        for (name, declared) in entries {
            arena.put(&name, declared.spec, declared.revision);
        }
        Ok(arena)
    }
}

/// A specification that holds the digest of a secret.
pub(super) trait SecretSpec {
    fn digest(&self) -> &KeyDigest;
}

impl SecretSpec for KeySpec {
    fn digest(&self) -> &KeyDigest {
        &self.digest
    }
}

impl SecretSpec for OperatorSpec {
    fn digest(&self) -> &KeyDigest {
        &self.digest
    }
}

/// Entities that can be looked up by name and by the digest of a secret.
///
/// Lookups by digest use an index of its first eight bytes, so that their cost does not grow with the number of keys.
/// Their timing reveals at most whether such a prefix exists; the full digest is compared in constant time.
#[derive(Clone, Debug)]
pub(super) struct KeyTable<T> {
    arena: Arena<DefaultKey, T>,
    by_prefix: HashMap<[u8; 8], Vec<DefaultKey>>,
}

impl<T> Default for KeyTable<T> {
    fn default() -> Self {
        Self {
            arena: Arena::default(),
            by_prefix: HashMap::new(),
        }
    }
}

impl<T: SecretSpec> KeyTable<T> {
    pub(super) fn arena(&self) -> &Arena<DefaultKey, T> {
        &self.arena
    }

    pub(super) fn put(&mut self, name: &SmolStr, spec: T, revision: Revision) {
        self.remove(name);
        let prefix = prefix_of(spec.digest());
        self.arena.put(name, spec, revision);
        self.by_prefix
            .entry(prefix)
            .or_default()
            .extend(self.arena.key(name));
    }

    pub(super) fn remove(&mut self, name: &str) {
        let Some(key) = self.arena.key(name) else {
            return;
        };
        let Some(declared) = self.arena.remove(name) else {
            return;
        };
        let prefix = prefix_of(declared.spec.digest());
        if let Some(keys) = self.by_prefix.get_mut(&prefix) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_prefix.remove(&prefix);
            }
        }
    }

    pub(super) fn find(&self, digest: &KeyDigest) -> Option<&T> {
        let keys = self.by_prefix.get(&prefix_of(digest))?;
        keys.iter()
            .filter_map(|key| self.arena.at(*key))
            .find(|declared| digests_match(declared.spec.digest(), digest))
            .map(|declared| &declared.spec)
    }
}

impl<T: Serialize> Serialize for KeyTable<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.arena.serialize(serializer)
    }
}

impl<'de, T: SecretSpec + Deserialize<'de>> Deserialize<'de> for KeyTable<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let arena: Arena<DefaultKey, T> = Arena::deserialize(deserializer)?;
        let mut by_prefix = HashMap::<_, Vec<_>>::new();
        for (name, declared) in arena.iter() {
            let prefix = prefix_of(declared.spec.digest());
            by_prefix.entry(prefix).or_default().extend(arena.key(name));
        }
        Ok(Self { arena, by_prefix })
    }
}

/// Compares two digests in constant time.
pub(crate) fn digests_match(left: &KeyDigest, right: &KeyDigest) -> bool {
    left.0.ct_eq(&right.0).into()
}

fn prefix_of(digest: &KeyDigest) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.0[..8]);
    prefix
}
