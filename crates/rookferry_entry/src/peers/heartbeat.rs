//! Heartbeats between entry instances, over UDP.
//!
//! Each datagram carries the sender's membership state, its configuration version,
//! digests of the engines that it polls, and suspected calls. Its size and the
//! interval follow from the byte budget in the settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rookferry_core::HeartbeatError;
use rookferry_core::HeartbeatPlan;
use rookferry_core::SuspectObservation;
use rookferry_net::clock;
use rookferry_wire::DatagramError;
use rookferry_wire::EngineDigest;
use rookferry_wire::Heartbeat;
use rookferry_wire::MAX_DATAGRAM_BYTES;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;

use crate::discovery;
use crate::entry::EntryState;

/// Most digests that fit into a datagram beside the rest of a heartbeat.
const MAX_DIGESTS: usize = 48;
/// Most suspected calls per heartbeat, of up to 100 bytes each; the rest follow in
/// the next rounds.
const MAX_SUSPECTS: usize = 3;
/// Assumed size of the first heartbeat.
const INITIAL_SIZE_BYTES: usize = 100;

/// Contents of a heartbeat datagram.
#[derive(Debug, Serialize, Deserialize)]
struct PeerDatagram {
    heartbeat: Heartbeat,
    suspects: Vec<SuspectObservation>,
}

pub(super) async fn send(entry: Arc<EntryState>, udp: Arc<UdpSocket>, peer_addr: SocketAddr) {
    let budget = entry.settings.limits.heartbeat_bytes_per_s;
    let mut plan = HeartbeatPlan::new(entry.failure_domain.clone(), budget);
    let mut seq = 0;
    let mut bytes = INITIAL_SIZE_BYTES;
    let mut interval = Duration::ZERO;
    loop {
        let wake = entry.peers.wake.notified();
        seq += 1;
        let heartbeat = own_heartbeat(&entry, seq, peer_addr, interval);
        let targets = entry
            .peers
            .targets(&entry.registry.peers(), &entry.instance, peer_addr);
        let round = plan.next_round(&targets, bytes);
        match seal(&entry, heartbeat) {
            Ok(datagram) => {
                bytes = datagram.len();
                for target in &round {
                    // A lost heartbeat is made up for by the next one.
                    let _ = udp.send_to(&datagram, target.addr).await;
                }
                counter!("rookferry_heartbeat_bytes_total").increment((bytes * round.len()) as u64);
            }
            Err(error) => {
                warn!(entry.log, "peers: heartbeat not sent"; "part" => "peers", "error" => %error);
            }
        }
        mark_suspects(&entry);
        interval = plan.interval(round.len(), bytes);
        let _ = tokio::time::timeout(interval, wake).await;
    }
}

pub(super) async fn receive(entry: Arc<EntryState>, udp: Arc<UdpSocket>) {
    // One byte more than the largest datagram, so that longer ones are detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, source)) = udp.recv_from(&mut buffer).await else {
            // Reports that an earlier datagram was rejected by its receiver's host.
            continue;
        };
        match entry.peers.key.open_message(&buffer[..length]) {
            Ok(datagram) => take(&entry, datagram),
            Err(error) => {
                counter!("rookferry_datagrams_dropped_total", "why" => "malformed").increment(1);
                debug!(entry.log, "heartbeat::receive: datagram dropped";
                    "part" => "peers", "source" => %source, "error" => %error);
            }
        }
    }
}

/// Seals a heartbeat with suspected calls. If both don't fit into a datagram, it
/// is sent without the calls.
fn seal(entry: &EntryState, heartbeat: Heartbeat) -> Result<Vec<u8>, DatagramError> {
    let mut datagram = PeerDatagram {
        heartbeat,
        suspects: entry.quarantine.suspects_to_advertise(MAX_SUSPECTS),
    };
    let sealed = entry.peers.key.seal_message(&datagram);
    if sealed.is_err() && !datagram.suspects.is_empty() {
        datagram.suspects.clear();
        return entry.peers.key.seal_message(&datagram);
    }
    sealed
}

fn own_heartbeat(
    entry: &EntryState,
    seq: u64,
    peer_addr: SocketAddr,
    interval: Duration,
) -> Heartbeat {
    Heartbeat {
        instance: entry.instance.clone(),
        incarnation: entry.incarnation,
        seq,
        failure_domain: entry.failure_domain.clone(),
        peer_addr,
        config_version: entry.config.version(),
        leaving: entry.leaving.load(Ordering::SeqCst),
        interval_ms: u16::try_from(interval.as_millis()).unwrap_or(u16::MAX),
        engines: digests(entry, seq),
    }
}

/// Digests of the engines that this instance polls. If there are too many for one
/// datagram, successive heartbeats rotate through them.
fn digests(entry: &EntryState, seq: u64) -> Vec<EngineDigest> {
    let all = entry.registry.digests(clock::now());
    let parts = all.len().div_ceil(MAX_DIGESTS).max(1) as u64;
    let part = usize::try_from(seq % parts).unwrap_or(0);
    let mut parts = all.chunks(MAX_DIGESTS).skip(part);
    parts.next().unwrap_or_default().to_vec()
}

fn take(entry: &EntryState, datagram: PeerDatagram) {
    let PeerDatagram {
        heartbeat,
        suspects,
    } = datagram;
    entry.merge_suspects(&suspects, &heartbeat.instance);
    let engines = heartbeat.engines.clone();
    let taken = entry.peers.lock().on_heartbeat(clock::now(), heartbeat);
    match taken {
        Ok(has_changes) => {
            if has_changes {
                entry.peers.changed.notify_waiters();
            }
            discovery::merge_digests(entry, &engines);
        }
        Err(error @ HeartbeatError::SameName { .. }) => {
            warn!(entry.log, "peers: {}", error; "part" => "peers");
        }
        Err(error) => {
            counter!("rookferry_datagrams_dropped_total", "why" => "stale").increment(1);
            debug!(entry.log, "heartbeat::take: {}", error; "part" => "peers");
        }
    }
}

fn mark_suspects(entry: &EntryState) {
    let suspected = entry.peers.lock().tick(clock::now());
    for instance in suspected {
        info!(entry.log, "peers: no heartbeats from peer; it is suspected"; "part" => "peers", "peer" => %instance);
    }
}
