//! Sends and receives heartbeats over UDP.
//!
//! One task per instance: it sends a round of heartbeats at a fixed interval, or early
//! after an urgent change, and handles every datagram that arrives. The loads of the
//! peers are summed at most once per `MIN_SUM_INTERVAL`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use rookferry_core::Fanout;
use rookferry_core::Heartbeat;
use rookferry_core::HeartbeatCut;
use rookferry_core::HeartbeatFitter;
use rookferry_core::HeartbeatRotation;
use rookferry_core::MemberCursor;
use rookferry_core::Round;
use rookferry_core::Targets;
use rookferry_net::clock;
use rookferry_wire::Incarnation;
use slog::warn;
use tokio::net::UdpSocket;

use super::builder::HeartbeatBuilder;
use super::builder::MEMBERS_PER_HEARTBEAT;
use super::datagram_size::DatagramSize;
use super::handler::HeartbeatHandler;
use super::message::PeerDatagram;
use crate::event_log::Weight;
use crate::mutex::lock;
use crate::relay::Relay;

/// Time between heartbeats; instances share engines, so loads must be recent.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Size of the receive buffer, in bytes: the largest accepted datagram.
const MAX_DATAGRAM_BYTES: usize = 20 * 1024;
/// Delay before a round that is sent early because of a change.
const EARLY_ROUND_DELAY: Duration = Duration::from_millis(30);
/// Time without a shortened heartbeat after which the next one is logged again; loads vary
/// from round to round, so that heartbeats near the limit are shortened now and then.
const SHORTENED_LOG_PAUSE: Duration = Duration::from_secs(10);
/// Least time between two sums of the peers' loads: summing after each of hundreds of
/// heartbeats a second takes most of a core.
const MIN_SUM_INTERVAL: Duration = Duration::from_millis(20);

/// The heartbeat task of an instance.
pub(crate) struct HeartbeatTask {
    relay: Arc<Relay>,
    socket: Arc<UdpSocket>,
    incarnation: Incarnation,
    builder: HeartbeatBuilder,
    handler: HeartbeatHandler,
    rounds: RoundState,
}

/// State that is carried from round to round.
#[derive(Debug, Default)]
struct RoundState {
    rotation: HeartbeatRotation,
    fanout: Fanout,
    /// Where the next part of the member list begins: for most targets, and, in fewer
    /// rounds, for the whole domain, which must receive every member.
    members: MemberCursor,
    domain_members: MemberCursor,
    /// When a heartbeat was last shortened.
    shortened_at: Option<Instant>,
}

impl HeartbeatTask {
    pub(crate) fn new(relay: Arc<Relay>, socket: UdpSocket, incarnation: Incarnation) -> Self {
        let socket = Arc::new(socket);
        relay.permits.attach(socket.clone());
        Self {
            builder: HeartbeatBuilder::new(relay.clone(), incarnation),
            handler: HeartbeatHandler::new(relay.clone()),
            relay,
            socket,
            incarnation,
            rounds: RoundState::default(),
        }
    }

    /// Runs until the process exits.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_round = tokio::time::Instant::now();
        let mut next_sum: Option<tokio::time::Instant> = None;
        let mut summed_at = tokio::time::Instant::now();
        let mut has_news = false;
        let mut changes = self.relay.urgent_changes.subscribe();
        loop {
            let sum_due = next_sum.unwrap_or(next_round);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An error here belongs to an earlier send to an address where
                    // nothing listens.
                    if let Ok((length, from)) = received {
                        self.handle_datagram(&buffer[..length], from);
                        next_sum.get_or_insert(summed_at + MIN_SUM_INTERVAL);
                    }
                }
                () = tokio::time::sleep_until(sum_due), if next_sum.is_some() => {
                    self.handler.sum_loads(clock::now());
                    summed_at = tokio::time::Instant::now();
                    next_sum = None;
                }
                () = tokio::time::sleep_until(next_round) => {
                    next_round = tokio::time::Instant::now() + ROUND_INTERVAL;
                    self.send_round(std::mem::take(&mut has_news));
                }
                _ = changes.changed() => {
                    has_news = true;
                    let early = tokio::time::Instant::now() + EARLY_ROUND_DELAY;
                    next_round = next_round.min(early);
                }
            }
        }
    }

    fn send_round(&mut self, has_news: bool) {
        let now = clock::now();
        self.expire(now);
        let (targets, members_offset) = self.next_targets(has_news, now);
        let mut beat = self
            .builder
            .heartbeat(members_offset, &self.rounds.rotation, now);
        lock(&self.relay.peers).set_own_loads(&beat.loads);
        for target in targets.local {
            self.send(&mut beat, target, now);
        }
        self.send_sums(&mut beat, targets.local_with_loads, now);
        beat.domain_loads = None;
        beat.loads.clear();
        beat.out.clear();
        beat.out_count = 0;
        beat.closed.clear();
        for target in targets.remote {
            self.send(&mut beat, target, now);
        }
        if !targets.remote_with_loads.is_empty() {
            beat.domain_loads = Some(self.builder.domain_sums(now).into_domain_loads());
            for target in targets.remote_with_loads {
                self.send(&mut beat, target, now);
            }
        }
    }

    /// The targets of the next round, and the offset of the members to advertise to them.
    fn next_targets(&mut self, has_news: bool, now: Instant) -> (Targets, usize) {
        let table = lock(&self.relay.peers);
        let rounds = &mut self.rounds;
        let round = Round {
            number: rounds.rotation.next_round(),
            has_changes: has_news,
            is_rank_known: self.builder.may_represent(),
            is_joining: self.builder.is_joining(&table, now),
        };
        let targets = rounds.fanout.round(&table, round, now, &mut rand::rng());
        let offset = rounds
            .members
            .advance(&rounds.rotation, MEMBERS_PER_HEARTBEAT);
        (targets, offset)
    }

    /// Sends a heartbeat to the members of the own domain, each with the summed load of
    /// all the other members.
    fn send_sums(&mut self, beat: &mut Heartbeat, targets: Vec<SocketAddr>, now: Instant) {
        if targets.is_empty() {
            return;
        }
        let rounds = &mut self.rounds;
        let from = rounds
            .domain_members
            .advance(&rounds.rotation, MEMBERS_PER_HEARTBEAT);
        beat.members = lock(&self.relay.peers).members(from, MEMBERS_PER_HEARTBEAT, now);
        let all = self.builder.domain_sums(now);
        for target in targets {
            let sums = lock(&self.relay.peers).loads_for_member(target, &all);
            beat.domain_loads = Some(sums);
            self.send(beat, target, now);
        }
    }

    /// Removes expired peers, and adds the seed addresses again: an instance that was
    /// down may be back, or another one may use the address.
    fn expire(&self, now: Instant) {
        let expired = {
            let mut table = lock(&self.relay.peers);
            let expired = table.expire(now);
            for seed in &self.relay.settings.seeds {
                table.add_address(*seed, now);
            }
            expired
        };
        for instance in expired {
            if let Some(log) = self.relay.events.line(Weight::Notable) {
                warn!(log, "peers: an instance sends no heartbeats any more"; "event" => "peer_lost",
                    "peer" => &*instance);
            }
        }
    }

    /// Sends a heartbeat that echoes the target's own clock.
    fn send(&mut self, beat: &mut Heartbeat, target: SocketAddr, now: Instant) {
        let fitter = HeartbeatFitter::new(MAX_DATAGRAM_BYTES, self.rounds.rotation.part());
        if let Some(cuts) = self.send_fitting(&fitter, beat, target, now) {
            self.rounds.rotation.record_cuts(&cuts);
        }
    }

    /// Sends a heartbeat, shortened if it is too long; returns what was left out of it.
    fn send_fitting(
        &mut self,
        fitter: &HeartbeatFitter,
        beat: &mut Heartbeat,
        target: SocketAddr,
        now: Instant,
    ) -> Option<Vec<HeartbeatCut>> {
        // Set before the size is checked, since it differs between targets.
        beat.echo = lock(&self.relay.peers).echo(target, now);
        let bytes = encode(beat)?;
        let Some(shortened) = fitter.shorten(beat, bytes.len(), &DatagramSize) else {
            self.send_bytes(&bytes, target);
            return None;
        };
        self.send_bytes(&encode(&shortened.beat)?, target);
        counter!("rookferry_heartbeats_shortened_total").increment(1);
        self.log_shortened(bytes.len(), &shortened.cuts, now);
        Some(shortened.cuts)
    }

    fn send_bytes(&self, bytes: &[u8], target: SocketAddr) {
        // The send queue is full or nothing listens there; the next round sends again.
        let _ = self.socket.try_send_to(bytes, target);
    }

    /// Logs the first shortened heartbeat after a time without any.
    fn log_shortened(&mut self, bytes: usize, cuts: &[HeartbeatCut], now: Instant) {
        let previous = self.rounds.shortened_at.replace(now);
        if previous.is_some_and(|at| now.saturating_duration_since(at) < SHORTENED_LOG_PAUSE) {
            return;
        }
        if let Some(log) = self.relay.events.line(Weight::Notable) {
            let cuts: Vec<String> = cuts.iter().map(ToString::to_string).collect();
            warn!(log, "peers: heartbeats are too long and are shortened";
                "event" => "heartbeat_shortened", "bytes" => bytes,
                "max_bytes" => MAX_DATAGRAM_BYTES, "cuts" => cuts.join(", "));
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match postcard::from_bytes::<PeerDatagram<Heartbeat>>(bytes) {
            Ok(PeerDatagram::Heartbeat(beat)) => self.handle_heartbeat(beat, from),
            Ok(PeerDatagram::Ask(ask)) => {
                let answer = self.relay.answer_permit_request(&ask);
                let answer = PeerDatagram::Answer(ask.number, answer);
                self.relay.permits.send(from, &answer);
            }
            Ok(PeerDatagram::Answer(number, answer)) => {
                self.relay.permits.deliver_answer(number, answer);
            }
            // Truncated, or from an incompatible version.
            Err(_) => counter!("rookferry_heartbeats_unreadable_total").increment(1),
        }
    }

    fn handle_heartbeat(&mut self, mut beat: Heartbeat, from: SocketAddr) {
        if beat.site != self.relay.settings.site {
            counter!("rookferry_heartbeats_of_others_total").increment(1);
            return;
        }
        // Peers advertise this instance's own address too, so its heartbeats may reach
        // itself.
        let own = &self.relay.settings.instance;
        if beat.instance == *own && beat.incarnation == self.incarnation {
            return;
        }
        // Peers relay this instance's own claim to the lease.
        beat.holder = beat.holder.filter(|holder| holder.instance != *own);
        let now = clock::now();
        self.handler.handle(&beat, from, self.builder.epoch, now);
        if beat.is_joining {
            let rotation = &self.rounds.rotation;
            let fitter = HeartbeatFitter::new(MAX_DATAGRAM_BYTES, rotation.part())
                .preferring(beat.domain.clone());
            let mut response = self.builder.joining_response(&beat.domain, rotation, now);
            // Its lists have other lengths, so it doesn't change the rotation in rounds.
            self.send_fitting(&fitter, &mut response, from, now);
        }
    }
}

fn encode(beat: &Heartbeat) -> Option<Vec<u8>> {
    postcard::to_stdvec(&PeerDatagram::Heartbeat(beat)).ok()
}
