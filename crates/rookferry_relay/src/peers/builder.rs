//! Builds the heartbeats that this instance sends.
//!
//! Input is the instance's own state: versions, loads, server states, peers. The limits
//! below keep most heartbeats within one datagram; longer lists are advertised in rotation.
//! A heartbeat with several full lists is shortened when it is sent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::AggregatedLoads;
use rookferry_core::ConfigState;
use rookferry_core::Heartbeat;
use rookferry_core::HeartbeatList;
use rookferry_core::HeartbeatRotation;
use rookferry_core::HolderObservation;
use rookferry_core::ListState;
use rookferry_core::LoadEntry;
use rookferry_core::PeerTable;
use rookferry_core::ReportObservation;
use rookferry_core::ServerKey;
use rookferry_core::ServerLoad;
use rookferry_core::StoreState;
use rookferry_net::clock;
use rookferry_wire::DomainId;
use rookferry_wire::Incarnation;

use crate::event_log::millis;
use crate::mutex::lock;
use crate::relay::Relay;

/// Age from which an instance may represent its domain. Until it has received heartbeats
/// of the others, which takes up to two rounds, it ranks itself first.
const REPRESENT_AFTER: Duration = Duration::from_millis(400);
/// Most loads in one heartbeat, at up to 29 bytes each; the busiest servers go first. The
/// rest of the datagram is left for the other fields.
const MAX_LOADS: usize = 420;
/// Most servers advertised as unresponsive, and as refusing, in one heartbeat, at 12 and
/// 15 bytes each. Longer lists are advertised in rotation.
const MAX_UNUSABLE: usize = 128;
/// Most suspect requests (those under which servers crashed) in one heartbeat, at up to
/// 170 bytes each; the rest follow in the next rounds.
const MAX_SUSPECTS: usize = 14;
/// Most server limits in one heartbeat, at up to 25 bytes each; the newest go first, the
/// others in rotation.
const MAX_LIMITS: usize = 32;
/// Most leaving servers in one heartbeat, at up to 40 bytes each; where there are more,
/// some are advertised in rotation.
const MAX_DEPARTED: usize = 24;
/// Members in one heartbeat, at 10 bytes each; all are advertised in rotation, 300 within
/// 1.4 s.
pub(super) const MEMBERS_PER_HEARTBEAT: usize = 32;
/// Most members of its own domain, and most members of other domains, that are sent to a
/// joining instance; a response of up to 14 KB, once or twice per start.
const JOINING_LOCAL_MEMBERS: usize = 1_024;
const JOINING_REMOTE_MEMBERS: usize = 448;
/// How long an instance without a live peer in its domain looks for others; it may be the
/// only one.
const JOINING_PERIOD: Duration = Duration::from_secs(3);

/// An age as advertised to peers, in milliseconds, rounded up. Rounded down, a statement
/// that is relayed within a millisecond would never age.
pub(crate) fn advertised_ms(age: Duration) -> u64 {
    millis(age).saturating_add(1)
}

/// Builds heartbeats from the state of this instance.
pub(super) struct HeartbeatBuilder {
    relay: Arc<Relay>,
    incarnation: Incarnation,
    /// The zero of this instance's own clock in heartbeats.
    pub(super) epoch: Instant,
}

impl HeartbeatBuilder {
    pub(super) fn new(relay: Arc<Relay>, incarnation: Incarnation) -> Self {
        Self {
            relay,
            incarnation,
            epoch: clock::now(),
        }
    }

    /// Whether the instance is old enough to represent its domain.
    pub(super) fn may_represent(&self) -> bool {
        clock::since(self.epoch) >= REPRESENT_AFTER
    }

    /// Whether it has just started and looks for the other instances of its domain.
    pub(super) fn is_joining(&self, table: &PeerTable, now: Instant) -> bool {
        clock::since(self.epoch) < JOINING_PERIOD && !table.has_live_local(now)
    }

    /// A heartbeat with the members from an offset on, and the batch that is in rotation
    /// of each list that is too long.
    pub(super) fn heartbeat(
        &self,
        members_offset: usize,
        rotation: &HeartbeatRotation,
        now: Instant,
    ) -> Heartbeat {
        let unreached = self.relay.links.paths().isolated();
        let config = self.relay.config_version().and_then(|version| {
            let age_ms = self.relay.config_age_ms(version, now)?;
            Some(ConfigState { version, age_ms })
        });
        let (out, out_count) = if unreached.is_empty() {
            let health = self.relay.states.health();
            (
                health.advertised(MAX_UNUSABLE, rotation.batch(HeartbeatList::Out)),
                health.unresponsive_count(),
            )
        } else {
            // What doesn't answer an instance without a path says nothing to others.
            (Vec::new(), 0)
        };
        let closed = self.relay.states.refusing().advertised(
            MAX_UNUSABLE,
            rotation.batch(HeartbeatList::Closed),
            now,
        );
        let (members, instances, is_joining) = {
            let table = lock(&self.relay.peers);
            let members = table.members(members_offset, MEMBERS_PER_HEARTBEAT, now);
            (members, table.instances(), self.is_joining(&table, now))
        };
        Heartbeat {
            site: self.relay.settings.site.clone(),
            instance: self.relay.settings.instance.clone(),
            incarnation: self.incarnation,
            domain: self.relay.settings.domain.clone(),
            capacity: self.relay.settings.machine.capacity(),
            sent_ms: millis(now.saturating_duration_since(self.epoch)),
            echo: None,
            config,
            servers: ListState {
                version: self.relay.servers_version(),
                age_ms: self.relay.servers_age(now).map(advertised_ms),
            },
            store: self.store_state(now),
            holder: self.holder(now),
            loads: self.load_entries(self.relay.states.loads.snapshot(), now),
            domain_loads: None,
            out,
            out_count: u32::try_from(out_count).unwrap_or(u32::MAX),
            closed,
            suspects: self.relay.quarantine.next_advertised(MAX_SUSPECTS, now),
            limits: self.relay.states.limits().advertised(
                MAX_LIMITS,
                rotation.batch(HeartbeatList::Limits),
                now,
            ),
            departed: self.relay.states.departed().advertised(
                MAX_DEPARTED,
                rotation.batch(HeartbeatList::Departed),
                now,
            ),
            members,
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
            is_joining,
            unreached,
            is_leaving: self.relay.is_leaving(),
        }
    }

    /// The response to an instance that looks for the other members of `domain`.
    pub(super) fn joining_response(
        &self,
        domain: &DomainId,
        rotation: &HeartbeatRotation,
        now: Instant,
    ) -> Heartbeat {
        let mut response = self.heartbeat(0, rotation, now);
        response.loads.clear();
        response.suspects = self
            .relay
            .quarantine
            .lock()
            .advertised_at_start(MAX_SUSPECTS, now);
        let table = lock(&self.relay.peers);
        let from = rand::random_range(0..usize::MAX);
        response.members = table.members(from, JOINING_REMOTE_MEMBERS, now);
        let local = table.members_in(domain, JOINING_LOCAL_MEMBERS, now);
        response.members.push(local);
        response
    }

    /// The load that the own domain has in flight, this instance included, as known here.
    pub(super) fn domain_sums(&self, now: Instant) -> AggregatedLoads {
        let mut loads = lock(&self.relay.peers).local_loads(now);
        for (server, own) in self.relay.states.loads.snapshot() {
            *loads.entry(server).or_default() += own;
        }
        let entries = self.load_entries(loads, now);
        lock(&self.relay.peers).aggregate_loads(entries, now)
    }

    fn load_entries(
        &self,
        loads: impl IntoIterator<Item = (ServerKey, ServerLoad)>,
        now: Instant,
    ) -> Vec<LoadEntry> {
        let mut loads: Vec<_> = loads.into_iter().collect();
        if loads.len() > MAX_LOADS {
            loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.requests));
            loads.truncate(MAX_LOADS);
        }
        let entries = loads.into_iter();
        entries
            .map(|(server, load)| self.load_entry(server, load, now))
            .collect()
    }

    fn load_entry(&self, server: ServerKey, load: ServerLoad, now: Instant) -> LoadEntry {
        let liveness = &self.relay.states.liveness;
        let report = liveness.report(server, now);
        let seen = LoadEntry {
            server,
            requests: 0,
            tokens: 0,
            silent_ms: millis(liveness.last_seen(server).age(now)),
            report: report.map(|(slowdown, age)| ReportObservation {
                slowdown,
                age_ms: millis(age),
            }),
        };
        seen.with_load(load)
    }

    /// What this instance knows of the store.
    fn store_state(&self, now: Instant) -> Option<StoreState> {
        let budget = self.relay.settings.bounds.propagation_budget();
        let contact = self.relay.store.contact();
        let contact = contact.advertised(now, budget.max_report_age())?;
        Some(StoreState {
            age_ms: advertised_ms(contact.age),
            reader: contact.reader,
        })
    }

    /// The lease holder: this instance, or the one last reported by a peer.
    fn holder(&self, now: Instant) -> Option<HolderObservation> {
        if self.relay.holds_lease.load(Ordering::Relaxed) {
            return Some(HolderObservation {
                instance: self.relay.settings.instance.clone(),
                age_ms: 0,
            });
        }
        lock(&self.relay.peers).holder(now)
    }
}
