//! Applies received heartbeats to this instance's state: peers, server states, budgets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::histogram;
use rookferry_core::Departure;
use rookferry_core::Heartbeat;
use rookferry_core::LoadEntry;
use rookferry_core::RefusingObservation;
use rookferry_core::ServerKey;
use slog::info;

use super::fetch::BodyFetcher;
use crate::event_log::Weight;
use crate::mutex::lock;
use crate::probe;
use crate::relay::Relay;

/// Upper limit on an instance count that a peer reports: several times the largest site,
/// so that a corrupted count cannot shrink all budgets to nothing.
const MAX_REPORTED_INSTANCES: usize = 4_096;

/// Applies received heartbeats.
pub(super) struct HeartbeatHandler {
    relay: Arc<Relay>,
    fetch: BodyFetcher,
}

impl HeartbeatHandler {
    pub(super) fn new(relay: Arc<Relay>) -> Self {
        Self {
            fetch: BodyFetcher::new(relay.clone()),
            relay,
        }
    }

    /// Applies another instance's heartbeat; `epoch` is the zero of this instance's own
    /// clock in heartbeats.
    pub(super) fn handle(&self, beat: &Heartbeat, from: SocketAddr, epoch: Instant, now: Instant) {
        let (is_new, newly_out) = {
            let mut table = lock(&self.relay.peers);
            let is_new = table.on_heartbeat(from, beat, now);
            let newly_out = table.newly_unresponsive(from, beat, now);
            (is_new, newly_out)
        };
        if beat.is_leaving && self.relay.links.uses_peer(from) {
            self.relay.pool.close_idle_through(from);
        }
        self.relay
            .store
            .record_peer_era(beat.servers.version.store.era);
        self.apply_instance_count(beat.instances);
        self.record_liveness(&beat.loads, now);
        if let Some(sums) = &beat.domain_loads {
            self.record_liveness(&sums.loads, now);
        }
        self.record_refusals(beat, now);
        self.record_limits(beat, now);
        self.record_departures(beat);
        self.relay
            .merge_suspects(&beat.suspects, &beat.instance, now);
        if !newly_out.is_empty() {
            self.record_suspicions(&newly_out, beat, now);
        }
        if is_new && let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "peers: first heartbeat from an instance"; "event" => "peer_joined",
                "peer" => &*beat.instance, "incarnation" => beat.incarnation, "addr" => %from);
        }
        self.fetch.handle_config(beat, from, epoch);
        self.fetch.handle_servers(beat, from);
        self.fetch.handle_ages(beat, from, epoch);
    }

    /// Records that a peer suspects servers, and probes those that this instance must
    /// check itself.
    fn record_suspicions(&self, servers: &[ServerKey], beat: &Heartbeat, now: Instant) {
        let rank = self.relay.rank(now);
        let suspected = self.relay.states.suspected();
        for server in servers.iter().copied() {
            let is_asking = self.relay.probe_role(server, rank).should_probe();
            // Logged once while several peers suspect it: a network partition makes each
            // instance of a domain suspect all engines beyond it, thousands of lines.
            let is_new = suspected.since(server).is_none();
            if is_new && let Some(log) = self.relay.events.line(Weight::Routine) {
                info!(log, "peers: a peer suspects a server"; "event" => "server_doubted",
                    "server" => %server.addr, "source" => &*beat.instance, "asking" => is_asking);
            }
            if is_asking {
                probe::spawn_check(&self.relay, server);
            }
        }
    }

    /// Counts the instances, and sums the load that peers have in flight.
    pub(super) fn sum_loads(&self, now: Instant) {
        self.count_instances();
        let (loads, suspected) = {
            let peers = lock(&self.relay.peers);
            (peers.loads(now), peers.suspected_servers(now))
        };
        self.relay.states.update_from_peers(loads, suspected);
        self.relay.admission_gate.notify_change();
    }

    /// Records the liveness evidence and reports that a peer has of the servers it uses.
    fn record_liveness(&self, loads: &[LoadEntry], now: Instant) {
        let liveness = &self.relay.states.liveness;
        let before = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        let view = self.relay.view.load();
        // An incarnation that isn't known here yet is advertised again in the next round.
        let known = loads
            .iter()
            .filter(|entry| view.server(entry.server).is_some());
        for entry in known {
            if let Some(at) = before(entry.silent_ms) {
                liveness.last_seen(entry.server).record(at);
            }
            if let Some(report) = entry.report
                && let Some(at) = before(report.age_ms)
            {
                liveness.record_report(entry.server, report.slowdown, at);
            }
        }
    }

    /// Records the request limits that servers have given to peers.
    fn record_limits(&self, beat: &Heartbeat, now: Instant) {
        for seen in &beat.limits {
            let states = &self.relay.states;
            // Every heartbeat repeats the limit.
            if states.limits().of(seen.server) == seen.rate {
                continue;
            }
            if let Some(change) = states.update_limits(|limits| limits.merge(*seen, now)) {
                self.relay
                    .record_limit_change(seen.server, change, &beat.instance);
                self.relay.report_sent(seen.server);
            }
        }
    }

    /// Records which servers are leaving.
    fn record_departures(&self, beat: &Heartbeat) {
        let mut has_changes = false;
        for seen in &beat.departed {
            if !self.relay.states.record_peer_departure(*seen) {
                continue;
            }
            has_changes = true;
            let age = Duration::from_millis(seen.age_ms);
            histogram!("rookferry_departure_news_seconds").record(age.as_secs_f64());
            let view = self.relay.view.load();
            let entry = view.server(seen.server);
            if let Some(log) = self.relay.events.line(Weight::Notable) {
                info!(log, "peers: a server is leaving"; "event" => "server_leaving",
                    "server" => entry.map(|entry| entry.id.to_string()),
                    "addr" => %seen.server.addr, "source" => &*beat.instance,
                    "age_ms" => seen.age_ms, "says_so" => seen.departure == Departure::Leaving);
            }
        }
        if has_changes {
            self.relay.signal_fleet_change();
        }
    }

    /// Records which servers refused work although they had free capacity.
    fn record_refusals(&self, beat: &Heartbeat, now: Instant) {
        let new: Vec<&RefusingObservation> = {
            let mut closed = self.relay.states.refusing();
            let view = self.relay.view.load();
            let refusing = beat.closed.iter();
            let known = refusing.filter(|seen| view.server(seen.server).is_some());
            known.filter(|seen| closed.merge(**seen, now)).collect()
        };
        for seen in new {
            if let Some(log) = self.relay.events.line(Weight::Notable) {
                info!(log, "peers: a server refuses new work"; "event" => "server_closed",
                    "server" => %seen.server.addr, "source" => &*beat.instance,
                    "age_ms" => seen.age_ms, "refusals" => seen.refusals);
            }
        }
    }

    /// Counts the instances that share budgets: all that are known or advertised,
    /// including those that no heartbeat was received from. Budgets shrink at once and
    /// grow back only with a restart, since a partitioned instance still spends its
    /// share.
    fn count_instances(&self) {
        let (known, local) = {
            let table = lock(&self.relay.peers);
            (table.instances(), table.local_instances())
        };
        self.relay.instances.fetch_max(known, Ordering::Relaxed);
        self.relay
            .local_instances
            .fetch_max(local, Ordering::Relaxed);
    }

    /// Applies a peer's instance count, which a starting instance has before its own.
    fn apply_instance_count(&self, reported: u32) {
        let reported = usize::try_from(reported).unwrap_or(MAX_REPORTED_INSTANCES);
        let reported = reported.min(MAX_REPORTED_INSTANCES);
        self.relay.instances.fetch_max(reported, Ordering::Relaxed);
    }
}
