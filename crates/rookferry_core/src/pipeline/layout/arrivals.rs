//! Domains whose engines are just coming back.
//!
//! After a cut the entries of a domain's engines come back one by one. A plan
//! for those that are back so far would spread all layers over a few of them,
//! and what the others hold would be loaded twice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;

use super::LayoutEngine;

/// Arrivals within the window that are more than a lone engine's: one that
/// was added or restarted needs no wait.
const SEVERAL: usize = 2;

/// The engines of one domain as last seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    engines: BTreeSet<EngineId>,
    arrived_at: Vec<Instant>,
}

/// When engines of each domain came to be listed.
#[derive(Clone, Debug)]
pub struct Arrivals {
    window: Duration,
    domains: BTreeMap<DomainId, Seen>,
}

impl Arrivals {
    /// Nothing seen so far. Engines that come within a window of each other
    /// come back together.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            domains: BTreeMap::new(),
        }
    }

    /// The engines that are listed now.
    pub fn observe(&mut self, engines: &[LayoutEngine], now: Instant) {
        let is_first_look = self.domains.is_empty();
        let mut listed: BTreeMap<&DomainId, BTreeSet<EngineId>> = BTreeMap::new();
        for engine in engines {
            let ids = listed.entry(&engine.domain).or_default();
            ids.insert(engine.engine.clone());
        }
        for (domain, seen) in &mut self.domains {
            if !listed.contains_key(domain) {
                seen.engines.clear();
            }
        }
        for (domain, ids) in listed {
            let seen = self.domains.entry(domain.clone()).or_default();
            let arrived = ids.difference(&seen.engines).count();
            if !is_first_look {
                seen.arrived_at.extend(std::iter::repeat_n(now, arrived));
            }
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.window;
            seen.arrived_at.retain(is_recent);
            seen.engines = ids;
        }
    }

    /// Whether several engines of a domain have just come.
    #[must_use]
    pub fn is_returning(&self, domain: &DomainId, now: Instant) -> bool {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < self.window;
        let seen = self.domains.get(domain);
        seen.is_some_and(|seen| seen.arrived_at.iter().filter(is_recent).count() >= SEVERAL)
    }
}
