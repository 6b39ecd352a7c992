//! Prefix cache of a stand-in engine. Its events are published with a delay, and some are lost.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use foxtailhill::engine::CacheEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of retained events; slow readers miss older ones.
const MAX_EVENTS: usize = 10_000;

/// LRU cache of prompt blocks.
pub(super) struct PrefixCache {
    /// In blocks.
    capacity: usize,
    /// Value of `use_count` at the last use of each hash.
    last_use: HashMap<u64, u64>,
    hash_by_use: BTreeMap<u64, u64>,
    use_count: u64,
    next_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    publish_delay: Duration,
    loss_rate: f64,
    random: StdRng,
}

impl PrefixCache {
    /// Creates a cache of `capacity` blocks.
    pub(super) fn new(capacity: usize, publish_delay: Duration, loss_rate: f64, seed: u64) -> Self {
        Self {
            capacity,
            last_use: HashMap::new(),
            hash_by_use: BTreeMap::new(),
            use_count: 0,
            next_sequence: 0,
            events: VecDeque::new(),
            publish_delay,
            loss_rate,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of leading blocks that are cached.
    pub(super) fn cached_blocks(&self, hashes: &[u64]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash));
        cached.count()
    }

    /// Caches all blocks of a prompt.
    pub(super) fn insert(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.touch(*hash);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, hash)) = self.hash_by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
            self.publish(hash, false);
        }
    }

    fn touch(&mut self, hash: u64) {
        self.use_count += 1;
        self.hash_by_use.insert(self.use_count, hash);
        match self.last_use.insert(hash, self.use_count) {
            Some(earlier) => {
                self.hash_by_use.remove(&earlier);
            }
            None => self.publish(hash, true),
        }
    }

    fn publish(&mut self, prefix_hash: u64, present: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.random.random_bool(self.loss_rate) {
            return;
        }
        let event = CacheEvent {
            sequence,
            prefix_hash,
            present,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from `sequence` on whose publish delay has passed.
    pub(super) fn events(&self, sequence: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let due = self.events.iter().filter(|(at, event)| {
            event.sequence >= sequence && now.duration_since(*at) >= self.publish_delay
        });
        due.map(|(_, event)| event.clone()).collect()
    }
}
