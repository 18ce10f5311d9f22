//! Sends and receives heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rookferry_wire::Incarnation;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;

use super::exchange;
use super::message::ConfigState;
use super::message::Heartbeat;
use super::message::HolderSeen;
use super::message::LoadEntry;
use super::message::ReportSeen;
use super::table::PeerTable;
use crate::event_log::Weight;
use crate::event_log::millis;
use crate::load::ServerLoad;
use crate::probe;
use crate::relay::Relay;
use crate::relay::lock;

/// Time between heartbeats to members of the same failure domain; they share
/// its engines, so loads must be fresh.
const NEAR_EVERY: Duration = Duration::from_millis(150);
/// Rounds between heartbeats to members of other domains.
const FAR_ROUNDS: u32 = 4;
/// The same for the instance that speaks for its domain. What a domain has
/// under way at another's engines must be known there before they are full.
const SPEAKER_ROUNDS: u32 = 2;
/// Most members of other domains written to in one round.
const FAR_MEMBERS: usize = 8;
/// The same for a speaker: all of a site of today.
const SPEAKER_FAR_MEMBERS: usize = 64;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// How long after its start an instance may speak for its domain: before, it
/// takes itself for the first because it hasn't heard the others, which are
/// heard within two rounds.
const SPEAK_AFTER: Duration = Duration::from_millis(400);
/// Most loads and members in one heartbeat.
const MAX_ENTRIES: usize = 64;
/// Most loads in a speaker's heartbeat; they fit in a datagram.
const MAX_DOMAIN_ENTRIES: usize = 256;
/// How long an own watch may take to bring a version that a peer has.
const OWN_WATCH_FIRST: Duration = Duration::from_millis(120);
/// Least time between two rounds when news bring one forward.
const NEWS_PAUSE: Duration = Duration::from_millis(30);
/// How long a version that is being fetched isn't fetched again.
const FETCH_AGAIN: Duration = Duration::from_millis(400);

/// The heartbeats of an instance.
pub(crate) struct Heartbeats {
    relay: Arc<Relay>,
    socket: UdpSocket,
    incarnation: Incarnation,
    epoch: Instant,
    config_fetch: Mutex<FetchGate>,
    servers_fetch: Mutex<FetchGate>,
}

/// Lets a version be fetched once, though many peers tell of it.
#[derive(Debug, Default)]
struct FetchGate {
    begun: Option<(u64, Instant)>,
}

impl FetchGate {
    fn begin(&mut self, version: u64) -> bool {
        let is_begun = self
            .begun
            .is_some_and(|(begun, at)| begun >= version && at.elapsed() < FETCH_AGAIN);
        if !is_begun {
            self.begun = Some((version, Instant::now()));
        }
        !is_begun
    }
}

impl Heartbeats {
    pub(crate) fn new(relay: Arc<Relay>, socket: UdpSocket, incarnation: Incarnation) -> Self {
        Self {
            relay,
            socket,
            incarnation,
            epoch: Instant::now(),
            config_fetch: Mutex::default(),
            servers_fetch: Mutex::default(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_round = tokio::time::Instant::now();
        let mut round = 0_u32;
        let mut news = self.relay.versions.subscribe();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // A failed receive is an earlier send's, to a dead member.
                    if let Ok((length, from)) = received {
                        self.take(&buffer[..length], from);
                    }
                }
                () = tokio::time::sleep_until(next_round) => {
                    next_round = tokio::time::Instant::now() + NEAR_EVERY;
                    self.send_round(round);
                    round = round.wrapping_add(1);
                }
                _ = news.changed() => {
                    let soon = tokio::time::Instant::now() + NEWS_PAUSE;
                    next_round = next_round.min(soon);
                }
            }
        }
    }

    fn send_round(&self, round: u32) {
        let now = Instant::now();
        let own = self.relay.settings.listen.peers;
        let (addresses, lost) = {
            let mut table = lock(&self.relay.peers);
            let lost = table.expire(now);
            // A seed that was down may be back, or be another one by now.
            let seeds = self.relay.settings.seeds.iter();
            for seed in seeds.filter(|seed| **seed != own) {
                table.learn(*seed, now);
            }
            (table.addresses(&self.relay.settings.domain), lost)
        };
        for instance in lost {
            if let Some(log) = self.relay.events.line(Weight::Notable) {
                warn!(log, "peers: an instance is silent"; "event" => "peer_lost",
                    "peer" => &*instance);
            }
        }
        let (near, far): (Vec<_>, Vec<_>) =
            addresses.into_iter().partition(|(_, is_near)| *is_near);
        let mut beat = self.heartbeat(now);
        self.send(&mut beat, near.iter().map(|(addr, _)| *addr), now);
        let is_speaker = self.epoch.elapsed() >= SPEAK_AFTER && self.relay.rank(now) == 0;
        let (rounds, members) = if is_speaker {
            (SPEAKER_ROUNDS, SPEAKER_FAR_MEMBERS)
        } else {
            (FAR_ROUNDS, FAR_MEMBERS)
        };
        if round.is_multiple_of(rounds) {
            beat.loads = self.domain_loads(is_speaker, now);
            beat.speaks_for_domain = is_speaker;
            beat.out.clear();
            let chosen = far.sample(&mut rand::rng(), members);
            self.send(&mut beat, chosen.map(|(addr, _)| *addr), now);
        }
    }

    /// Sends a heartbeat, to each member with the member's own clock.
    fn send(&self, beat: &mut Heartbeat, targets: impl Iterator<Item = SocketAddr>, now: Instant) {
        let own = self.relay.settings.listen.peers;
        for target in targets.filter(|target| *target != own) {
            beat.echo = lock(&self.relay.peers).echo(target, now);
            if let Ok(bytes) = postcard::to_stdvec(beat) {
                // A full queue or a dead member; the next round tries again.
                let _ = self.socket.try_send_to(&bytes, target);
            }
        }
    }

    /// What this instance's domain has under way, if it speaks for it.
    fn domain_loads(&self, is_speaker: bool, now: Instant) -> Vec<LoadEntry> {
        if !is_speaker {
            return Vec::new();
        }
        let mut loads = lock(&self.relay.peers).near_loads(&self.relay.settings.domain, now);
        for (addr, own) in self.relay.loads.snapshot() {
            *loads.entry(addr).or_default() += own;
        }
        let loads = loads.into_iter().take(MAX_DOMAIN_ENTRIES);
        loads
            .map(|(addr, load)| self.load_entry(addr, load, now))
            .collect()
    }

    fn heartbeat(&self, now: Instant) -> Heartbeat {
        let age = self.relay.config_age();
        let config = self.relay.config_version().and_then(|version| {
            let age = age.age(now).filter(|_| age.version() == version)?;
            Some(ConfigState {
                version,
                age_ms: millis(age) + 1,
            })
        });
        let loads = self.relay.loads.snapshot().into_iter().take(MAX_ENTRIES);
        let mut members = lock(&self.relay.peers).members(now);
        members.truncate(MAX_ENTRIES);
        let mut out = self.relay.health().out();
        out.truncate(MAX_ENTRIES);
        Heartbeat {
            instance: self.relay.settings.instance.clone(),
            incarnation: self.incarnation,
            domain: self.relay.settings.domain.clone(),
            sent_ms: millis(now.saturating_duration_since(self.epoch)),
            echo: None,
            config,
            servers_version: self.relay.servers_version.load(Ordering::Relaxed),
            holder: self.holder(now),
            loads: loads
                .map(|(addr, load)| self.load_entry(addr, load, now))
                .collect(),
            speaks_for_domain: false,
            out,
            members,
        }
    }

    fn load_entry(&self, addr: SocketAddr, load: ServerLoad, now: Instant) -> LoadEntry {
        let signs = &self.relay.signs;
        let report = signs.report(addr, now);
        LoadEntry {
            addr,
            requests: load.requests,
            tokens: whole_tokens(load.tokens),
            silent_ms: millis(signs.of(addr).age(now)),
            report: report.map(|(slowdown, age)| ReportSeen {
                slowdown,
                age_ms: millis(age),
            }),
        }
    }

    /// Takes in what a peer saw of the servers that it uses.
    fn take_signs(&self, loads: &[LoadEntry], now: Instant) {
        let signs = &self.relay.signs;
        let before = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        for entry in loads {
            if let Some(at) = before(entry.silent_ms) {
                signs.of(entry.addr).note(at);
            }
            if let Some(report) = entry.report
                && let Some(at) = before(report.age_ms)
            {
                signs.note_report(entry.addr, report.slowdown, at);
            }
        }
    }

    /// The holder of the lease: this instance, or the one last heard of.
    fn holder(&self, now: Instant) -> Option<HolderSeen> {
        if self.relay.holds_lease.load(Ordering::Relaxed) {
            return Some(HolderSeen {
                instance: self.relay.settings.instance.clone(),
                age_ms: 0,
            });
        }
        lock(&self.relay.peers).holder(now)
    }

    fn take(&self, bytes: &[u8], from: SocketAddr) {
        let Ok(mut beat) = postcard::from_bytes::<Heartbeat>(bytes) else {
            return;
        };
        // Members tell this instance's own address too.
        if beat.instance == self.relay.settings.instance && beat.incarnation == self.incarnation {
            return;
        }
        // Its own word comes back by the others.
        let own = &self.relay.settings.instance;
        beat.holder = beat.holder.filter(|holder| holder.instance != *own);
        let now = Instant::now();
        let (is_new, newly_out) = {
            let mut table = lock(&self.relay.peers);
            let own = self.relay.settings.listen.peers;
            for member in beat.members.iter().filter(|member| **member != own) {
                table.learn(*member, now);
            }
            let is_new = table.heard(from, &beat, now);
            let newly_out = table.newly_out(from, &beat.out);
            self.count_members(&table, now);
            (is_new, newly_out)
        };
        self.take_signs(&beat.loads, now);
        for addr in newly_out {
            probe::check_soon(&self.relay, addr);
        }
        if is_new && let Some(log) = self.relay.events.line(Weight::Notable) {
            info!(log, "peers: an instance is heard"; "event" => "peer_joined",
                "peer" => &*beat.instance, "incarnation" => beat.incarnation, "addr" => %from);
        }
        self.take_config(&beat, from);
        self.take_servers(&beat, from);
    }

    /// A peer has newer servers: they are asked for, unless the own watch
    /// brings them first.
    fn take_servers(&self, beat: &Heartbeat, from: SocketAddr) {
        let is_newer =
            |relay: &Relay| relay.servers_version.load(Ordering::Relaxed) < beat.servers_version;
        if !is_newer(&self.relay) || !lock(&self.servers_fetch).begin(beat.servers_version) {
            return;
        }
        let relay = self.relay.clone();
        let version = beat.servers_version;
        tokio::spawn(async move {
            if !relay.relies_on_peers() {
                tokio::time::sleep(OWN_WATCH_FIRST).await;
            }
            if relay.servers_version.load(Ordering::Relaxed) < version {
                exchange::fetch_servers(&relay, from).await;
            }
        });
    }

    /// Counts the members, and what they have under way.
    fn count_members(&self, table: &PeerTable, now: Instant) {
        let relay = &self.relay;
        let own_domain = &relay.settings.domain;
        // All that are told of, also those not heard yet. Budgets shrink at
        // once and grow back only with a restart: a member that is cut off
        // still spends its part.
        relay
            .instances
            .fetch_max(table.known() + 1, Ordering::Relaxed);
        relay
            .near_instances
            .fetch_max(table.near(own_domain) + 1, Ordering::Relaxed);
        relay
            .peer_loads
            .store(Arc::new(table.loads(own_domain, now)));
        relay.door.note_change();
    }

    /// A peer's word on the configuration: a newer version is fetched, the
    /// same one is confirmed as of the peer's confirmation.
    ///
    /// The peer's age counts from when it got this instance's own clock, so
    /// that a message that was long on its way only looks older.
    fn take_config(&self, beat: &Heartbeat, from: SocketAddr) {
        let Some(config) = beat.config else {
            return;
        };
        let own = self.relay.config_version();
        if own.is_none_or(|own| own < config.version) {
            if !lock(&self.config_fetch).begin(config.version) {
                return;
            }
            let relay = self.relay.clone();
            tokio::spawn(async move {
                if !relay.relies_on_peers() {
                    tokio::time::sleep(OWN_WATCH_FIRST).await;
                }
                exchange::fetch_config(&relay, from).await;
            });
            return;
        }
        if own != Some(config.version) {
            return;
        }
        let Some(echo) = beat.echo else {
            return;
        };
        let since_epoch_ms = (echo.sent_ms + echo.held_ms).checked_sub(config.age_ms);
        if let Some(since_epoch_ms) = since_epoch_ms {
            let at = self.epoch + Duration::from_millis(since_epoch_ms);
            self.relay
                .confirm_config(config.version, at.min(Instant::now()));
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates, and tokens aren't below 0"
)]
const fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}
