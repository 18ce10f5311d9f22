//! Detection of domains whose engines are being listed again.
//!
//! After a network cut the entries of a domain's engines reappear one by one. A
//! plan for those listed so far would spread all layers over a few engines, and
//! load layers a second time that the others still hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::DomainId;
use rookferry_wire::EngineId;

use super::LayoutEngine;

/// Number of arrivals within the window from which a domain counts as returning. A
/// single engine that was added or restarted doesn't delay a plan.
const MIN_RETURNING: usize = 2;

/// The engines of one domain at the last call, and when recent ones arrived.
#[derive(Clone, Debug, Default)]
struct DomainArrivals {
    engines: BTreeSet<EngineId>,
    arrived_at: Vec<Instant>,
}

/// Times at which the engines of each domain were first listed.
#[derive(Clone, Debug)]
pub struct ArrivalTracker {
    window: Duration,
    domains: BTreeMap<DomainId, DomainArrivals>,
}

impl ArrivalTracker {
    /// Creates a tracker without engines. Engines that arrive within `window` of each
    /// other count as returning together.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            domains: BTreeMap::new(),
        }
    }

    /// Updates the tracker with all engines that are listed now. Those of the first
    /// non-empty call don't count as arrivals.
    pub fn observe(&mut self, engines: &[LayoutEngine], now: Instant) {
        let is_first_call = self.domains.is_empty();
        let mut listed: BTreeMap<&DomainId, BTreeSet<EngineId>> = BTreeMap::new();
        for engine in engines {
            let ids = listed.entry(&engine.domain).or_default();
            ids.insert(engine.engine.clone());
        }
        for (domain, known) in &mut self.domains {
            if !listed.contains_key(domain) {
                known.engines.clear();
            }
        }
        for (domain, ids) in listed {
            let known = self.domains.entry(domain.clone()).or_default();
            let arrived = ids.difference(&known.engines).count();
            if !is_first_call {
                known.arrived_at.extend(std::iter::repeat_n(now, arrived));
            }
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.window;
            known.arrived_at.retain(is_recent);
            known.engines = ids;
        }
    }

    /// Whether several engines of a domain arrived within the window before `now`.
    #[must_use]
    pub fn is_returning(&self, domain: &DomainId, now: Instant) -> bool {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < self.window;
        let known = self.domains.get(domain);
        known
            .is_some_and(|known| known.arrived_at.iter().filter(is_recent).count() >= MIN_RETURNING)
    }
}
