//! Broken paths from an instance to servers, and the peers that are asked instead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::DirectPaths;
use rookferry_core::PathChange;
use rookferry_core::PathFailure;
use rookferry_core::ServerKey;
use rookferry_core::TunnelChooser;
use rookferry_core::TunnelPeer;
use rookferry_wire::ServiceId;
use rstest::rstest;

fn addr(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn server(last: u8) -> ServerKey {
    ServerKey::new(addr(last), "server", None)
}

fn service(name: &str) -> ServiceId {
    Arc::from(name)
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Records that the paths to some servers broke, with none answering since `answered_at`.
fn break_paths(
    paths: &mut DirectPaths,
    servers: &[u8],
    answered_at: Option<Instant>,
    now: Instant,
) -> Vec<PathChange> {
    let failure = PathFailure::AllConnections;
    let broke = |last: &u8| paths.broke(&service("a"), server(*last), failure, answered_at, now);
    servers.iter().map(broke).collect()
}

// Guards against going through peers to all servers because of one.
#[test]
fn one_broken_path_concerns_its_server_only() {
    let now = Instant::now();
    let mut paths = DirectPaths::new();
    assert_eq!(
        break_paths(&mut paths, &[1], None, now),
        [PathChange::Broken]
    );
    assert!(paths.broken(&service("a"), server(1)).is_some());
    assert_eq!(paths.broken(&service("a"), server(2)), None);
    assert!(paths.isolated().is_empty());
}

// Guards against finding each of a service's servers unreachable by a request of its own.
#[test]
fn two_broken_paths_isolate_the_instance_from_the_service() {
    let now = Instant::now();
    let mut paths = DirectPaths::new();
    let changes = break_paths(&mut paths, &[1, 2, 1], None, now);
    assert_eq!(
        changes,
        [PathChange::Broken, PathChange::Isolated, PathChange::Known]
    );
    assert!(paths.broken(&service("a"), server(3)).is_some());
    assert_eq!(paths.isolated(), [service("a")]);
    assert_eq!(paths.broken(&service("b"), server(3)), None);
}

// Guards against isolation while other servers of the service answer directly.
#[test]
fn paths_that_broke_before_a_direct_answer_do_not_isolate() {
    let start = Instant::now();
    let mut paths = DirectPaths::new();
    break_paths(&mut paths, &[1], None, start);
    let changes = break_paths(&mut paths, &[2], Some(start + ms(10)), start + ms(20));
    assert_eq!(changes, [PathChange::Broken]);
}

// Guards against using open connections that hang, found so at one server only.
#[test]
fn open_connections_of_an_isolated_instance_fail_as_at_the_worst_server() {
    let now = Instant::now();
    let mut paths = DirectPaths::new();
    let refused = PathFailure::NewConnections;
    paths.broke(&service("a"), server(1), refused, None, now);
    paths.broke(&service("a"), server(2), refused, None, now);
    let failure = |paths: &DirectPaths| {
        paths
            .broken(&service("a"), server(3))
            .map(|path| path.failure)
    };
    assert_eq!(failure(&paths), Some(PathFailure::NewConnections));
    break_paths(&mut paths, &[2], None, now);
    assert_eq!(failure(&paths), Some(PathFailure::AllConnections));
    assert_eq!(
        paths
            .broken(&service("a"), server(1))
            .map(|path| path.failure),
        Some(PathFailure::AllConnections)
    );
}

// Guards against hundreds of connects at once when a cut ends.
#[test]
fn an_isolated_instance_tests_one_path_at_a_time_and_one_success_ends_the_isolation() {
    let start = Instant::now();
    let mut paths = DirectPaths::new();
    let servers: Vec<u8> = (1..=40).collect();
    break_paths(&mut paths, &servers, None, start);
    let mut tests = 0;
    for step in 0..1_000 {
        let due = paths.due_tests(start + ms(step * 10), |_| Some(server(7)));
        assert!(due.len() <= 1, "{due:?}");
        tests += due.len();
    }
    assert!((6..=12).contains(&tests), "{tests} tests in 10 s");
    assert!(paths.worked(&service("a"), server(7), start + ms(10_000)));
    assert!(paths.isolated().is_empty());
    assert_eq!(paths.broken(&service("a"), server(3)), None);
}

// Guards against a path that stays in use through peers after it works again.
#[test]
fn a_single_broken_path_is_tested_until_it_works() {
    let start = Instant::now();
    let mut paths = DirectPaths::new();
    break_paths(&mut paths, &[1], None, start);
    let mut due = |at: Instant| paths.due_tests(at, |_| None);
    assert_eq!(due(start + ms(200)), []);
    assert_eq!(due(start + ms(300)), [(service("a"), server(1))]);
    assert_eq!(due(start + ms(400)), []);
    assert!(paths.worked(&service("a"), server(1), start + ms(500)));
    assert!(!paths.worked(&service("a"), server(1), start + ms(600)));
}

// Guards against state that grows with servers that are gone.
#[test]
fn removed_servers_leave_no_state() {
    let now = Instant::now();
    let mut paths = DirectPaths::new();
    break_paths(&mut paths, &[1, 2], None, now);
    paths.retain(|known| known == server(2));
    assert_eq!(paths.isolated(), [service("a")]);
    paths.retain(|_| false);
    assert!(paths.isolated().is_empty() && paths.partly_broken().is_empty());
}

fn peer(last: u8, is_local: bool, is_confirmed: bool) -> TunnelPeer {
    TunnelPeer {
        addr: addr(last),
        domain: Arc::from(if is_local { "own" } else { "other" }),
        is_local,
        is_confirmed,
    }
}

// Guards against paths between domains while peers of the own domain reach the servers.
#[rstest]
#[case::own_domain_first(peer(1, true, true), peer(2, false, true))]
#[case::known_reach_first(peer(1, true, true), peer(2, true, false))]
#[case::other_domain_before_unknown_reach(peer(1, false, true), peer(2, true, false))]
fn the_better_peer_is_asked_first(#[case] better: TunnelPeer, #[case] worse: TunnelPeer) {
    let chooser = TunnelChooser::new();
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let chosen = chooser.choose(
            &service("a"),
            vec![worse.clone(), better.clone()],
            2,
            Instant::now(),
            &mut random,
        );
        assert_eq!(chosen, [better.addr, worse.addr]);
    }
}

// Guards against one peer that carries the tunnels of a whole domain.
#[rstest]
#[case::of_three(3, 1)]
#[case::of_a_thousand(1_000, 1)]
#[case::most_cut_off(9, 5)]
fn tunnels_spread_over_the_peers_in_reach(#[case] in_reach: usize, #[case] askers: u64) {
    let peers: Vec<TunnelPeer> = (0..in_reach)
        .map(|index| {
            let index = u16::try_from(index).expect("a small number");
            let [high, low] = index.to_be_bytes();
            TunnelPeer {
                addr: SocketAddr::from(([10, 1, high, low], 80)),
                domain: Arc::from("own"),
                is_local: true,
                is_confirmed: true,
            }
        })
        .collect();
    let now = Instant::now();
    let per_asker = in_reach * 10;
    let mut counts = std::collections::BTreeMap::<SocketAddr, usize>::new();
    for asker in 0..askers {
        let mut random = StdRng::seed_from_u64(asker);
        let mut chooser = TunnelChooser::new();
        for _ in 0..per_asker {
            let first = chooser.choose(&service("a"), peers.clone(), 1, now, &mut random)[0];
            chooser.opened(first);
            *counts.entry(first).or_default() += 1;
        }
    }
    let fair = usize::try_from(askers).expect("a few") * 10;
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(
        most <= fair + fair / 5,
        "{most} tunnels at one peer, {fair} on average"
    );
}

// Guards against asking a peer again at once that just had no connection.
#[test]
fn a_peer_that_failed_is_left_alone_for_a_time() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(1);
    let mut chooser = TunnelChooser::new();
    chooser.avoid(addr(1), ms(300), now);
    let peers = vec![peer(1, true, true), peer(2, false, true)];
    let mut choose = |at| chooser.choose(&service("a"), peers.clone(), 2, at, &mut random);
    assert_eq!(choose(now), [addr(2)]);
    assert_eq!(choose(now + ms(300)), [addr(1), addr(2)]);
}
