//! Index of the engines that probably cache a prompt's prefix.
//!
//! It is built from the engines' cache events. These arrive late and with gaps, so the
//! index is only a hint; a gap in the sequence removes all entries of the engine.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use rookferry_wire::CacheEvents;
use rookferry_wire::EngineId;

/// Length of a prefix, in tokens.
const PREFIX_TOKENS: usize = 32;
/// Prefixes stored per engine; beyond it, the oldest is removed.
const MAX_PREFIXES_PER_ENGINE: usize = 4_096;

/// Hash of a prompt's prefix; `None` if the prompt is too short to be cached.
#[must_use]
pub fn prefix_hash(prompt: &[u64]) -> Option<u64> {
    let prefix = prompt.get(..PREFIX_TOKENS)?;
    Some(BuildHasherDefault::<DefaultHasher>::default().hash_one(prefix))
}

#[derive(Debug, Default)]
struct EnginePrefixes {
    next_seq: u64,
    insertion_order: VecDeque<u64>,
}

/// Engines by cached prefix, and prefixes by engine.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    engines: HashMap<EngineId, EnginePrefixes>,
    holders: HashMap<u64, Vec<EngineId>>,
}

impl PrefixIndex {
    /// An empty index.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an engine's cache events; skips those already seen, and removes the
    /// engine's entries at a gap in the sequence.
    pub fn on_events(&mut self, engine: &EngineId, events: &CacheEvents) {
        for event in &events.events {
            let prefixes = self.engines.entry(engine.clone()).or_default();
            if event.seq < prefixes.next_seq {
                continue;
            }
            let is_gap = event.seq > prefixes.next_seq && prefixes.next_seq != 0;
            if is_gap {
                self.remove_engine(engine);
            }
            self.engines.entry(engine.clone()).or_default().next_seq = event.seq + 1;
            if event.stored {
                self.insert(engine, event.prefix);
            } else {
                self.remove(engine, event.prefix);
            }
        }
    }

    /// Removes all entries of an engine.
    pub fn remove_engine(&mut self, engine: &EngineId) {
        let Some(prefixes) = self.engines.remove(engine) else {
            return;
        };
        for prefix in prefixes.insertion_order {
            self.remove_holder(engine, prefix);
        }
    }

    /// Engines that probably cache the prefix.
    #[must_use]
    pub fn holders(&self, prefix: u64) -> &[EngineId] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn insert(&mut self, engine: &EngineId, prefix: u64) {
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(engine) {
            return;
        }
        holders.push(engine.clone());
        let prefixes = self.engines.entry(engine.clone()).or_default();
        prefixes.insertion_order.push_back(prefix);
        if prefixes.insertion_order.len() <= MAX_PREFIXES_PER_ENGINE {
            return;
        }
        if let Some(oldest) = prefixes.insertion_order.pop_front() {
            self.remove_holder(engine, oldest);
        }
    }

    fn remove(&mut self, engine: &EngineId, prefix: u64) {
        if let Some(prefixes) = self.engines.get_mut(engine) {
            prefixes.insertion_order.retain(|other| *other != prefix);
        }
        self.remove_holder(engine, prefix);
    }

    fn remove_holder(&mut self, engine: &EngineId, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|holder| holder != engine);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}
