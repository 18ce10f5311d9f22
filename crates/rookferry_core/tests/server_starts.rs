//! Entries of restarted servers, and of several names at one address: which entry of the
//! list is used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prelude::*;
use rookferry_core::BackendServer;
use rookferry_core::Directory;
use rookferry_core::DirectoryChange;
use rookferry_core::ListUncertainty;
use rookferry_core::RefusingObservation;
use rookferry_core::RefusingServers;
use rookferry_core::ServerHealth;
use rookferry_core::ServerKey;
use rookferry_wire::LayerRange;

const GRACE: Duration = Duration::from_secs(2);
fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn server(id: &str, port: u16, incarnation: Option<u64>, writes: u64) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "model".into(),
        key: ServerKey::new(addr(port), id, incarnation),
        incarnation,
        writes,
        domain: "a".into(),
        slots: 8,
        is_leaving: false,
        accelerator: None,
        held: Some(LayerRange { start: 0, end: 8 }),
    }
}

fn in_use(directory: &Directory) -> Vec<(String, Option<u64>)> {
    let servers = directory.in_use(|server| &*server.service == "model");
    let servers = servers.into_iter();
    servers
        .map(|server| (server.id.to_string(), server.incarnation))
        .collect()
}

fn update(directory: &mut Directory, server: BackendServer) -> bool {
    directory.apply(DirectoryChange::Updated(server), Instant::now())
}

#[test]
fn keys_tell_starts_names_and_addresses_apart() {
    let keys = [
        ServerKey::new(addr(1), "e", Some(1)),
        ServerKey::new(addr(1), "e", Some(2)),
        ServerKey::new(addr(1), "e", None),
        ServerKey::new(addr(1), "f", Some(1)),
        ServerKey::new(addr(2), "e", Some(1)),
    ];
    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[..index].contains(key), "{key:?}");
    }
    assert_eq!(keys[0], ServerKey::new(addr(1), "e", Some(1)));
}

#[test]
fn what_an_earlier_start_wrote_late_replaces_nothing() {
    let now = Instant::now();
    let mut directory = Directory::new();
    assert!(update(&mut directory, server("e", 1, Some(20), 1)));
    assert!(!update(&mut directory, server("e", 1, Some(10), 9)));
    directory.replace(
        vec![server("e", 1, Some(10), 9)],
        ListUncertainty::NONE,
        now,
    );
    assert_eq!(in_use(&directory), [("e".to_owned(), Some(20))]);
    // Nor after the later incarnation's entry was removed.
    directory.apply(DirectoryChange::Removed("e".into()), now);
    assert!(!update(&mut directory, server("e", 1, Some(10), 9)));
    assert!(in_use(&directory).is_empty());
}

#[test]
fn of_two_names_at_one_address_the_later_start_is_in_use() {
    let mut directory = Directory::new();
    update(&mut directory, server("former", 1, None, 12));
    update(&mut directory, server("new", 1, None, 2));
    // The former process wrote before it exited, and the store shows it late.
    update(&mut directory, server("former", 1, None, 13));
    assert_eq!(in_use(&directory), [("new".to_owned(), None)]);
    // Nor if its entry was removed in between.
    let now = Instant::now();
    directory.apply(DirectoryChange::Removed("former".into()), now);
    update(&mut directory, server("former", 1, None, 13));
    assert_eq!(in_use(&directory), [("new".to_owned(), None)]);
}

#[test]
fn in_one_list_the_one_that_wrote_itself_less_often_is_later() {
    let mut directory = Directory::new();
    let list = vec![server("a", 1, None, 12), server("b", 1, None, 2)];
    directory.replace(list, ListUncertainty::NONE, Instant::now());
    assert_eq!(in_use(&directory), [("b".to_owned(), None)]);
    let mut directory = Directory::new();
    let list = vec![server("a", 1, Some(5), 1), server("b", 1, Some(6), 30)];
    directory.replace(list, ListUncertainty::NONE, Instant::now());
    assert_eq!(in_use(&directory), [("b".to_owned(), Some(6))]);
}

#[test]
fn a_start_at_another_address_leaves_the_former_address_free() {
    let mut directory = Directory::new();
    update(&mut directory, server("e", 1, Some(10), 5));
    update(&mut directory, server("e", 2, Some(20), 1));
    update(&mut directory, server("f", 1, Some(15), 1));
    let used = directory.in_use(|_| true);
    let used: BTreeMap<&str, u16> = used
        .iter()
        .map(|server| (&*server.id, server.addr().port()))
        .collect();
    assert_eq!(used, BTreeMap::from([("e", 2), ("f", 1)]));
}

#[test]
fn an_entry_of_no_service_of_the_site_hides_no_server() {
    let mut directory = Directory::new();
    update(&mut directory, server("e", 1, None, 12));
    let mut foreign = server("foreign", 1, None, 1);
    foreign.service = "unheard-of".into();
    update(&mut directory, foreign);
    assert_eq!(in_use(&directory), [("e".to_owned(), None)]);
    let others = directory.unusable(|server| &*server.service == "model");
    assert_eq!(others.count(), 1);
}

#[test]
fn an_entry_that_stops_describing_a_server_takes_it_out_of_use() {
    let now = Instant::now();
    let mut directory = Directory::new();
    update(&mut directory, server("e", 1, Some(10), 5));
    update(&mut directory, server("f", 2, Some(10), 5));
    directory.apply(DirectoryChange::Unusable("e".into()), now);
    assert_eq!(in_use(&directory), [("f".to_owned(), Some(10))]);
    // The same incarnation rewrites its entry.
    update(&mut directory, server("e", 1, Some(10), 6));
    assert_eq!(in_use(&directory).len(), 2);
}

#[test]
fn what_was_refused_or_lost_is_of_the_former_start_only() {
    let now = Instant::now();
    let former = ServerKey::new(addr(1), "e", Some(10));
    let new = ServerKey::new(addr(1), "e", Some(20));
    let mut health = ServerHealth::new();
    health.lost(former, now);
    health.refused_for_capacity(former, 0.0, now);
    let mut closed = RefusingServers::new(0.5);
    closed.refused(former, 0.0, 1_000.0, now);
    // A peer's report of it arrives late.
    let told = RefusingObservation {
        server: former,
        age_ms: 100,
        refusals: 3,
    };
    closed.merge(told, now);
    assert!(health.is_unresponsive(former) && closed.is_refusing(former, now));
    assert!(!health.is_unresponsive(new) && !health.is_full(new, now));
    assert!(!closed.is_refusing(new, now));
}

/// Changes that may arrive for two incarnations under one name, in any order.
#[derive(Clone, Copy, Debug)]
enum News {
    /// The entry of an incarnation, with its number of writes.
    Entry {
        start: u64,
        writes: u64,
    },
    /// A whole list that contains an incarnation.
    List {
        start: u64,
    },
    /// A whole list without the server, after an outage or not.
    Missing {
        may_have_lapsed: bool,
    },
    Gone,
    Unusable,
    /// Some tenths of a second pass. All of a case together are shorter than the time for
    /// which a removed incarnation is remembered.
    Time(u64),
}

fn news() -> impl Strategy<Value = News> {
    let start = prop_oneof![Just(10_u64), Just(20_u64)];
    prop_oneof![
        4 => (start.clone(), 1_u64..30).prop_map(|(start, writes)| News::Entry { start, writes }),
        2 => start.prop_map(|start| News::List { start }),
        1 => any::<bool>().prop_map(|may_have_lapsed| News::Missing { may_have_lapsed }),
        1 => Just(News::Gone),
        1 => Just(News::Unusable),
        1 => (1_u64..7).prop_map(News::Time),
    ]
}

proptest! {
    /// Whatever changes arrive, and in whatever order: once the later incarnation was
    /// seen, the earlier one is never used again.
    #[test]
    fn the_earlier_start_is_never_believed_again(all in vec(news(), 1..40)) {
        let mut now = Instant::now();
        let mut directory = Directory::new();
        let mut has_later = false;
        for one in all {
            match one {
                News::Entry { start, writes } => {
                    has_later |= start == 20;
                    let entry = server("e", 1, Some(start), writes);
                    directory.apply(DirectoryChange::Updated(entry), now);
                }
                News::List { start } => {
                    has_later |= start == 20;
                    directory.replace(vec![server("e", 1, Some(start), 1)], ListUncertainty::NONE, now);
                }
                News::Missing { may_have_lapsed } => {
                    let doubts = if may_have_lapsed {
                        ListUncertainty::AFTER_OUTAGE
                    } else {
                        ListUncertainty::NONE
                    };
                    directory.replace(Vec::new(), doubts, now);
                }
                News::Gone => {
                    directory.apply(DirectoryChange::Removed("e".into()), now);
                }
                News::Unusable => {
                    directory.apply(DirectoryChange::Unusable("e".into()), now);
                }
                News::Time(tenths) => {
                    now += Duration::from_millis(tenths * 100);
                    directory.expire(now, GRACE);
                }
            }
            let used = in_use(&directory);
            prop_assert!(used.len() <= 1);
            if has_later {
                let is_earlier = used.iter().any(|(_, start)| *start == Some(10));
                prop_assert!(!is_earlier, "{used:?}");
            }
        }
    }

    /// Whichever names share an address, exactly one of them is used.
    #[test]
    fn one_address_is_one_process(entries in vec((0_u8..6, 1_u16..4, 0_u64..4, 1_u64..9), 1..20)) {
        let mut directory = Directory::new();
        for (name, port, incarnation, writes) in entries {
            let incarnation = (incarnation > 0).then_some(incarnation);
            update(&mut directory, server(&format!("e{name}"), port, incarnation, writes));
        }
        let used = directory.in_use(|_| true);
        for (index, one) in used.iter().enumerate() {
            let is_shared = used[..index].iter().any(|other| other.addr() == one.addr());
            prop_assert!(!is_shared, "{used:?}");
        }
        let listed = directory.entries().map(BackendServer::addr);
        let listed: std::collections::BTreeSet<SocketAddr> = listed.collect();
        prop_assert_eq!(used.len(), listed.len());
    }
}
