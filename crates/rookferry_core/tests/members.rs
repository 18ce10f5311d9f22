//! Membership by heartbeat: replays, restarts, suspicion of silent members, the sending
//! plan, polls of engines and authentication of datagrams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use rookferry_core::HeartbeatError;
use rookferry_core::HeartbeatPlan;
use rookferry_core::MemberState;
use rookferry_core::MemberTable;
use rookferry_core::PeerTarget;
use rookferry_core::PollInput;
use rookferry_core::extra_polls_allowed;
use rookferry_core::poll_interval;
use rookferry_core::poll_reason;
use rookferry_core::rendezvous_owner;
use rookferry_wire::DatagramKey;
use rookferry_wire::Heartbeat;
use rookferry_wire::InstanceId;
use rookferry_wire::MAX_DATAGRAM_BYTES;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn heartbeat(instance: &str, incarnation: u64, seq: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.into(),
        incarnation,
        seq,
        failure_domain: "domain-1".into(),
        peer_addr: addr(1),
        config_version: 1,
        leaving: false,
        interval_ms: 200,
        engines: Vec::new(),
    }
}

fn table() -> MemberTable {
    MemberTable::new("own".into(), 9, "domain-1".into())
}

#[test]
fn replayed_and_older_heartbeats_are_dropped() {
    let now = Instant::now();
    let mut table = table();
    assert_eq!(table.on_heartbeat(now, heartbeat("a", 5, 7)), Ok(true));
    assert_eq!(table.on_heartbeat(now, heartbeat("a", 5, 8)), Ok(false));
    for (incarnation, seq) in [(5, 8), (5, 2), (4, 100)] {
        let stale = table.on_heartbeat(now, heartbeat("a", incarnation, seq));
        assert!(matches!(stale, Err(HeartbeatError::Stale { .. })));
    }
    assert_eq!(table.on_heartbeat(now, heartbeat("a", 6, 1)), Ok(true));
}

#[test]
fn another_incarnation_under_the_own_name_is_detected() {
    let mut table = table();
    let now = Instant::now();
    assert_eq!(
        table.on_heartbeat(now, heartbeat("own", 9, 1)),
        Err(HeartbeatError::Own)
    );
    let other = table.on_heartbeat(now, heartbeat("own", 10, 1));
    assert_eq!(other, Err(HeartbeatError::SameName { incarnation: 10 }));
}

#[test]
fn a_silent_member_is_suspected_and_later_removed() {
    let start = Instant::now();
    let mut table = table();
    assert!(table.on_heartbeat(start, heartbeat("a", 5, 1)).is_ok());
    assert!(table.tick(start + Duration::from_secs(1)).is_empty());
    let suspected = table.tick(start + Duration::from_secs(2));
    assert_eq!(suspected, [InstanceId::from("a")]);
    assert!(
        table.tick(start + Duration::from_secs(3)).is_empty(),
        "reported once"
    );
    assert_eq!(table.live_local(), [InstanceId::from("own")]);
    let later = start + Duration::from_secs(4);
    assert_eq!(table.on_heartbeat(later, heartbeat("a", 5, 2)), Ok(true));
    assert_eq!(
        table.get("a").map(|member| member.state),
        Some(MemberState::Live)
    );
    let _ = table.tick(later + Duration::from_mins(3));
    assert!(table.get("a").is_none());
}

#[test]
fn a_flood_of_names_is_bounded() {
    let now = Instant::now();
    let mut table = table();
    let taken = (0..2_000).filter(|number| {
        let name = format!("name-{number}");
        table.on_heartbeat(now, heartbeat(&name, 1, 1)).is_ok()
    });
    assert!(taken.count() < 2_000);
}

fn peers(domains: u16, each: u16) -> Vec<PeerTarget> {
    let mut peers = Vec::new();
    for domain in 0..domains {
        for number in 0..each {
            peers.push(PeerTarget {
                instance: format!("entry-{domain}-{number}").into(),
                failure_domain: format!("domain-{domain}").into(),
                addr: addr(domain * 100 + number + 1),
            });
        }
    }
    peers
}

/// At full size: 14 domains of 26 instances.
#[test]
fn the_plan_stays_within_its_byte_budget_at_full_size() {
    const BUDGET: u32 = 4_000;
    const DATAGRAM: usize = 180;
    let mut plan = HeartbeatPlan::new("domain-0".into(), BUDGET);
    let peers = peers(14, 26);
    let round = plan.next_round(&peers, DATAGRAM);
    let local = round
        .iter()
        .filter(|peer| *peer.failure_domain == *"domain-0");
    assert_eq!(local.count(), 26, "all of its own domain");
    assert_eq!(round.len(), 26 + 13, "one of each other domain");
    let interval = plan.interval(round.len(), DATAGRAM);
    let per_s = (round.len() * DATAGRAM) as f64 / interval.as_secs_f64();
    assert!(per_s <= f64::from(BUDGET) * 1.01, "{per_s}");
}

#[test]
fn every_remote_peer_gets_heartbeats_in_rotation() {
    let mut plan = HeartbeatPlan::new("domain-0".into(), 8_000);
    let peers = peers(3, 5);
    let mut targets: Vec<String> = Vec::new();
    for _ in 0..5 {
        targets.extend(
            plan.next_round(&peers, 400)
                .iter()
                .map(|peer| peer.instance.to_string()),
        );
    }
    assert!(
        peers
            .iter()
            .all(|peer| targets.contains(&peer.instance.to_string()))
    );
}

#[test]
fn only_the_names_of_a_removed_instance_get_another_owner() {
    let all: Vec<InstanceId> = (0..9)
        .map(|number| format!("entry-{number}").into())
        .collect();
    let rest: Vec<InstanceId> = all
        .iter()
        .filter(|name| ***name != *"entry-4")
        .cloned()
        .collect();
    for number in 0..500 {
        let name = format!("object-{number}");
        let before = rendezvous_owner(&name, &all).expect("an owner");
        let after = rendezvous_owner(&name, &rest).expect("an owner");
        assert!(before == after || **before == *"entry-4");
    }
}

#[test]
fn a_modified_datagram_is_rejected() {
    let key = DatagramKey::from_secret("secret of the site");
    let sealed = key.seal(&heartbeat("a", 1, 1)).expect("it fits");
    assert_eq!(key.open(&sealed), Ok(heartbeat("a", 1, 1)));
    for index in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        assert!(key.open(&changed).is_err(), "byte {index}");
    }
    let other = DatagramKey::from_secret("another secret");
    assert!(other.open(&sealed).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES + 50)) {
        let key = DatagramKey::from_secret("secret of the site");
        prop_assert!(key.open(&bytes).is_err());
    }
}

/// Every engine is polled by exactly one instance of its domain while all know the same
/// members, and by every instance without recent updates once that one is silent.
#[test]
fn each_engine_is_polled_by_one_instance_and_by_all_once_updates_stop() {
    let now = Instant::now();
    let names: Vec<InstanceId> = (0..26)
        .map(|number| format!("entry-{number}").into())
        .collect();
    for number in 0..207 {
        let engine = format!("engine-{number}");
        let input = PollInput {
            engine: &engine,
            candidates: &names,
            is_described: true,
            last_update: Some(now),
        };
        let polling = names
            .iter()
            .filter(|own| poll_reason(now, own, &input).is_some());
        assert_eq!(polling.count(), 1);
        let later = now + Duration::from_secs(5);
        let polling = names
            .iter()
            .filter(|own| poll_reason(later, own, &input).is_some());
        assert_eq!(polling.count(), names.len());
    }
}

#[test]
fn polls_stay_within_their_byte_budget() {
    let interval = poll_interval(8, 6_000, Duration::from_millis(250));
    assert!(
        8.0 * 550.0 / interval.as_secs_f64() <= 6_001.0,
        "{interval:?}"
    );
    assert_eq!(
        poll_interval(0, 6_000, Duration::from_millis(250)),
        Duration::from_millis(250)
    );
}

/// Guards against a flood of polls at full size, where updates on the thousands of
/// engines of other domains are rare: not every instance may poll all of them all the
/// time.
#[test]
fn extra_polls_stay_within_the_budget() {
    assert_eq!(extra_polls_allowed(8, 0, 8_000), 1);
    assert_eq!(extra_polls_allowed(3, 0, 8_000), 4);
    assert_eq!(
        extra_polls_allowed(0, 2_900, 8_000),
        32,
        "a starting instance"
    );
}

/// A member with a longer heartbeat interval is suspected later.
#[test]
fn suspicion_follows_a_members_own_interval() {
    let start = Instant::now();
    let mut table = table();
    let slow = Heartbeat {
        interval_ms: 1_700,
        ..heartbeat("slow", 5, 1)
    };
    assert!(table.on_heartbeat(start, slow).is_ok());
    assert!(table.on_heartbeat(start, heartbeat("quick", 5, 1)).is_ok());
    let suspected = table.tick(start + Duration::from_secs(5));
    assert_eq!(suspected, [InstanceId::from("quick")]);
    let suspected = table.tick(start + Duration::from_secs(8));
    assert_eq!(suspected, [InstanceId::from("slow")]);
}

/// Members of other domains send to the own domain's instances in rotation, so each
/// receives from them the less often the larger its domain is.
#[test]
fn suspicion_of_remote_members_follows_their_rotation() {
    let start = Instant::now();
    let mut table = table();
    for number in 0..25 {
        let name = format!("local-{number}");
        assert!(table.on_heartbeat(start, heartbeat(&name, 1, 1)).is_ok());
    }
    let remote = Heartbeat {
        failure_domain: "domain-2".into(),
        interval_ms: 1_700,
        ..heartbeat("remote", 1, 1)
    };
    assert!(table.on_heartbeat(start, remote).is_ok());
    let suspected = table.tick(start + Duration::from_secs(1));
    assert!(suspected.is_empty());
    for number in 0..25 {
        let name = format!("local-{number}");
        let later = start + Duration::from_secs(44);
        assert!(table.on_heartbeat(later, heartbeat(&name, 1, 2)).is_ok());
    }
    let suspected = table.tick(start + Duration::from_secs(44));
    assert!(
        !suspected.contains(&InstanceId::from("remote")),
        "{suspected:?}"
    );
    assert_eq!(table.live_by_domain().len(), 2);
}
