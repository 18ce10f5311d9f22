//! Heartbeats fit the receive buffer of peers.
//!
//! Guards against heartbeats that are truncated and dropped whole when the lists are full,
//! so that their sender counts as lost, and against entries that are never sent because
//! the lists are shortened.

#[path = "support/peer_site.rs"]
mod peer_site;

use std::collections::BTreeSet;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use peer_site::bare_heartbeat;
use peer_site::domain_name;
use rookferry_core::Capacity;
use rookferry_core::ConfigState;
use rookferry_core::CrashObservation;
use rookferry_core::DepartedServers;
use rookferry_core::Departure;
use rookferry_core::DepartureObservation;
use rookferry_core::DomainLoads;
use rookferry_core::DomainMembers;
use rookferry_core::Echo;
use rookferry_core::EncodedSize;
use rookferry_core::Heartbeat;
use rookferry_core::HeartbeatFitter;
use rookferry_core::HeartbeatList;
use rookferry_core::HeartbeatRotation;
use rookferry_core::HolderObservation;
use rookferry_core::LimitObservation;
use rookferry_core::ListState;
use rookferry_core::ListVersion;
use rookferry_core::LoadEntry;
use rookferry_core::MemberCursor;
use rookferry_core::MemberObservation;
use rookferry_core::PeerTable;
use rookferry_core::RefusingObservation;
use rookferry_core::ReportObservation;
use rookferry_core::RequestRate;
use rookferry_core::RequestSignature;
use rookferry_core::RunProgress;
use rookferry_core::ServerHealth;
use rookferry_core::ServerKey;
use rookferry_core::StoreState;
use rookferry_core::StoreVersion;
use rookferry_core::SuspectObservation;
use rookferry_wire::DomainId;
use rstest::rstest;
use serde::Serialize;

/// The receive buffer of the relay.
const MAX_BYTES: usize = 20_480;
/// The limits of the relay's `builder.rs`.
const MAX_LOADS: u16 = 420;
const MAX_UNUSABLE: u16 = 128;
const MAX_SUSPECTS: u16 = 14;
const MAX_LIMITS: u16 = 32;
const MAX_DEPARTED: u16 = 24;
const MEMBERS_PER_HEARTBEAT: u16 = 32;
const AGE_MS: u64 = 100_000;

struct PostcardSize;

impl EncodedSize for PostcardSize {
    fn encoded_bytes<T: Serialize>(&self, value: &T) -> usize {
        postcard::to_stdvec(value).expect("bytes").len()
    }
}

fn bytes(beat: &Heartbeat) -> usize {
    PostcardSize.encoded_bytes(beat)
}

fn addr(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 20_000 + index))
}

fn server(index: u16) -> ServerKey {
    ServerKey::new(addr(index), "server", Some(u64::from(index)))
}

fn version() -> ListVersion {
    ListVersion::of(StoreVersion::new(3, 1 << 40))
}

/// Loads of servers, the busiest neither first nor last.
fn loads(servers: u16) -> Vec<LoadEntry> {
    let loads = (0..servers.min(MAX_LOADS)).map(|index| LoadEntry {
        server: server(index),
        requests: u32::from(200 + index * 7 % 400),
        tokens: 150_000,
        silent_ms: AGE_MS,
        report: Some(ReportObservation {
            slowdown: 1.5,
            age_ms: AGE_MS,
        }),
    });
    loads.collect()
}

fn members(count: u16, domain: &DomainId, addr: impl Fn(u16) -> SocketAddr) -> DomainMembers {
    let members = (0..count).map(|index| MemberObservation {
        addr: addr(index),
        age_tenths_s: 200,
        capacity: Capacity::default(),
    });
    DomainMembers {
        domain: domain.clone(),
        members: members.collect(),
    }
}

fn suspect(index: u16) -> SuspectObservation {
    let crash = CrashObservation {
        server: server(index),
        run: u32::MAX,
        progress: RunProgress::Answering,
        age_ms: AGE_MS,
        lasted_ms: AGE_MS,
        silent_ms: AGE_MS,
    };
    SuspectObservation {
        signature: RequestSignature::new(None, "POST", &format!("/{index}"), b""),
        ends: vec![crash; 5],
        finished_ms: Some(AGE_MS),
        held_ms: Some(AGE_MS),
        quarantines: 1,
    }
}

/// A heartbeat with all lists as long as the limits allow.
fn largest(servers: u16) -> Heartbeat {
    let closed = (0..MAX_UNUSABLE).map(|index| RefusingObservation {
        server: server(index),
        age_ms: AGE_MS,
        refusals: 3,
    });
    let limits = (0..MAX_LIMITS).map(|index| LimitObservation {
        server: server(index),
        rate: RequestRate::from_per_s(12.5),
        age_ms: AGE_MS,
    });
    let departed = (0..MAX_DEPARTED).map(|index| DepartureObservation {
        server: server(index),
        departure: Departure::Gone(version()),
        age_ms: AGE_MS,
    });
    Heartbeat {
        sent_ms: 1 << 40,
        echo: Some(Echo {
            sent_ms: u64::MAX,
            held_ms: u64::MAX,
        }),
        config: Some(ConfigState {
            version: 1 << 40,
            age_ms: AGE_MS,
        }),
        servers: ListState {
            version: version(),
            age_ms: Some(AGE_MS),
        },
        store: Some(StoreState {
            age_ms: AGE_MS,
            reader: Some(addr(1)),
        }),
        holder: Some(HolderObservation {
            instance: "instance".into(),
            age_ms: AGE_MS,
        }),
        loads: loads(servers),
        domain_loads: Some(DomainLoads {
            instances: 300,
            rank: 200,
            loads: loads(servers),
        }),
        out: (0..MAX_UNUSABLE).map(server).collect(),
        out_count: 200,
        closed: closed.collect(),
        suspects: (0..MAX_SUSPECTS).map(suspect).collect(),
        limits: limits.collect(),
        departed: departed.collect(),
        members: vec![members(MEMBERS_PER_HEARTBEAT, &domain_name(0).into(), addr)],
        instances: 1_000,
        is_joining: true,
        unreached: vec!["service".into()],
        is_leaving: true,
        ..bare_heartbeat(addr(0), 0)
    }
}

/// The heartbeat with empty lists.
fn without_lists(beat: &Heartbeat) -> Heartbeat {
    Heartbeat {
        loads: Vec::new(),
        domain_loads: beat.domain_loads.as_ref().map(|sums| DomainLoads {
            loads: Vec::new(),
            ..sums.clone()
        }),
        out: Vec::new(),
        closed: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        departed: Vec::new(),
        members: Vec::new(),
        ..beat.clone()
    }
}

#[rstest]
fn the_largest_heartbeat_is_shortened_to_the_receive_buffer(#[values(250, 2_000)] servers: u16) {
    let beat = largest(servers);
    assert!(bytes(&beat) > MAX_BYTES, "{}", bytes(&beat));
    let fitter = HeartbeatFitter::new(MAX_BYTES, 0);
    let shortened = fitter.shorten(&beat, bytes(&beat), &PostcardSize);
    let shortened = shortened.expect("a shorter heartbeat").beat;
    let encoded = postcard::to_stdvec(&shortened).expect("bytes");
    assert!(encoded.len() <= MAX_BYTES, "{}", encoded.len());
    // No more is left out than needed; the size of one entry of a list and of its length.
    assert!(encoded.len() + 200 > MAX_BYTES, "{}", encoded.len());
    let decoded: Heartbeat = postcard::from_bytes(&encoded).expect("a heartbeat");
    assert_eq!(decoded, shortened);
    // Identity, versions, ages, the echo, the count of unresponsive servers and flags.
    assert_eq!(without_lists(&decoded), without_lists(&beat));
}

/// Guards against a datagram that is a byte too long because of the tag of its kind, and
/// against lists in rotation that are emptied, so that their entries are never sent.
#[rstest]
fn a_heartbeat_is_shortened_to_any_size_with_a_part_of_each_list(
    #[values(3_000, 5_000, 12_000, 20_479)] max_bytes: usize,
) {
    let beat = largest(2_000);
    let fitter = HeartbeatFitter::new(max_bytes, 1);
    let shortened = fitter.shorten(&beat, bytes(&beat) + 1, &PostcardSize);
    let shortened = shortened.expect("a shorter heartbeat");
    assert!(bytes(&shortened.beat) < max_bytes);
    for cut in &shortened.cuts {
        let is_load = matches!(cut.list, HeartbeatList::Loads | HeartbeatList::DomainLoads);
        assert!(is_load || cut.kept * 4 >= cut.entries, "{cut}");
    }
}

#[test]
fn loads_with_the_fewest_requests_are_left_out() {
    let beat = largest(2_000);
    let fitter = HeartbeatFitter::new(12_000, 0);
    let shortened = fitter.shorten(&beat, bytes(&beat), &PostcardSize);
    let shortened = shortened.expect("a shorter heartbeat").beat;
    let kept_sums = shortened.domain_loads.expect("sums").loads;
    for kept in [shortened.loads, kept_sums] {
        assert!(!kept.is_empty() && kept.len() < beat.loads.len());
        let is_kept = |entry: &&LoadEntry| kept.contains(entry);
        let (kept, dropped): (Vec<&LoadEntry>, Vec<&LoadEntry>) =
            beat.loads.iter().partition(is_kept);
        let fewest_kept = kept.iter().map(|entry| entry.requests).min();
        let most_dropped = dropped.iter().map(|entry| entry.requests).max();
        assert!(most_dropped <= fewest_kept);
    }
}

#[test]
fn a_heartbeat_that_fits_is_unchanged() {
    let beat = bare_heartbeat(addr(0), 0);
    let exact = HeartbeatFitter::new(bytes(&beat), 0);
    assert_eq!(exact.shorten(&beat, bytes(&beat), &PostcardSize), None);
}

/// Guards against a response without the members that the starting instance needs most;
/// with IPv6 addresses, the response is twice as long as the receive buffer.
#[test]
fn a_joining_response_keeps_members_of_the_joining_domain() {
    let address = |index| {
        SocketAddr::from((
            Ipv6Addr::from(u128::MAX - u128::from(index)),
            20_000 + index,
        ))
    };
    let own: DomainId = "own".into();
    let response = Heartbeat {
        loads: Vec::new(),
        domain_loads: None,
        members: vec![
            members(448, &"other".into(), address),
            members(400, &own, |index| address(1_000 + index)),
        ],
        ..largest(2_000)
    };
    assert!(bytes(&response) > MAX_BYTES, "{}", bytes(&response));
    let fitter = HeartbeatFitter::new(MAX_BYTES, 2).preferring(own.clone());
    let shortened = fitter.shorten(&response, bytes(&response), &PostcardSize);
    let shortened = shortened.expect("a shorter heartbeat").beat;
    assert!(bytes(&shortened) <= MAX_BYTES, "{}", bytes(&shortened));
    let kept = shortened.members.iter().find(|of| of.domain == own);
    assert_eq!(kept.expect("the domain").members.len(), 400);
}

/// What the receiver of an aggregator's heartbeats knows after some rounds.
struct Received {
    members: BTreeSet<SocketAddr>,
    departed: BTreeSet<ServerKey>,
    /// Unresponsive servers, and those that still count as such at the end.
    out: BTreeSet<ServerKey>,
    suspected: usize,
    cut: BTreeSet<HeartbeatList>,
}

const MEMBERS: u16 = 200;
const DEPARTED: u16 = 60;

/// Sends the heartbeats of an aggregator as the relay does, in every second round.
fn send_rounds(rounds: u32, max_bytes: usize, out: u16) -> Received {
    let start = Instant::now();
    let mut health = ServerHealth::new();
    let mut departures = DepartedServers::new();
    let mut sender = PeerTable::new(addr(0), domain_name(0).into());
    for index in 1..=MEMBERS {
        let domain = usize::from(index % 7);
        sender.on_heartbeat(addr(index), &bare_heartbeat(addr(index), domain), start);
    }
    for index in 0..out {
        health.lost(server(index), start);
    }
    for index in 0..DEPARTED {
        departures.record(server(index), Departure::Leaving, start);
    }
    let mut table = PeerTable::new(addr(999), domain_name(0).into());
    let mut rotation = HeartbeatRotation::new();
    let mut cursor = MemberCursor::default();
    let mut received = Received {
        members: BTreeSet::new(),
        departed: BTreeSet::new(),
        out: BTreeSet::new(),
        suspected: 0,
        cut: BTreeSet::new(),
    };
    for _ in 0..rounds {
        let number = rotation.next_round();
        if !number.is_multiple_of(2) {
            continue;
        }
        let now = start + Duration::from_millis(150) * number;
        let batch = |list| rotation.batch(list);
        let offset = cursor.advance(&rotation, MEMBERS_PER_HEARTBEAT.into());
        let departed = batch(HeartbeatList::Departed);
        let beat = Heartbeat {
            out: health.advertised(MAX_UNUSABLE.into(), batch(HeartbeatList::Out)),
            out_count: u32::from(out),
            departed: departures.advertised(MAX_DEPARTED.into(), departed, start),
            members: sender.members(offset, MEMBERS_PER_HEARTBEAT.into(), now),
            ..largest(2_000)
        };
        let fitter = HeartbeatFitter::new(max_bytes, rotation.part());
        let shortened = fitter.shorten(&beat, bytes(&beat), &PostcardSize);
        let shortened = shortened.expect("a shorter heartbeat");
        rotation.record_cuts(&shortened.cuts);
        let beat = shortened.beat;
        received
            .cut
            .extend(shortened.cuts.iter().map(|cut| cut.list));
        received
            .departed
            .extend(beat.departed.iter().map(|seen| seen.server));
        received.out.extend(&beat.out);
        let members = beat.members.iter().flat_map(|of| &of.members);
        received.members.extend(members.map(|member| member.addr));
        table.on_heartbeat(addr(0), &beat, now);
        table.newly_unresponsive(addr(0), &beat, now);
        let suspected = table.suspected_servers(now);
        let is_suspected = |index: &u16| suspected.is_excluded(server(*index), None);
        received.suspected = (0..out).filter(is_suspected).count();
    }
    received
}

/// Guards against parts of a batch that are never sent, because the next batch follows
/// before them. At the lower size all lists are shortened.
#[rstest]
fn every_entry_is_sent_over_the_rounds(#[values(4_000, MAX_BYTES)] max_bytes: usize) {
    const OUT: u16 = 300;
    // Seven windows of members, four parts each, in every second round, and one window
    // for the time before they are shortened.
    let received = send_rounds(8 * 4 * 2, max_bytes, OUT);
    assert!(received.cut.contains(&HeartbeatList::Departed));
    if max_bytes < MAX_BYTES {
        assert_eq!(received.cut, BTreeSet::from(HeartbeatList::ALL));
    }
    assert_eq!(received.members.len(), usize::from(MEMBERS));
    assert_eq!(received.departed.len(), usize::from(DEPARTED));
    assert_eq!(received.out.len(), usize::from(OUT));
}

/// Guards against a shortened list of unresponsive servers that the receiver takes for a
/// complete one, so that the others count as responsive.
#[test]
fn all_unresponsive_servers_stay_suspected_while_the_list_is_shortened() {
    let received = send_rounds(20, 4_000, MAX_UNUSABLE);
    assert!(received.cut.contains(&HeartbeatList::Out));
    assert_eq!(received.suspected, usize::from(MAX_UNUSABLE));
}
