//! The peers that are asked for connections while many instances are cut off together.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::ServerKey;
use rookferry_core::TunnelChooser;
use rookferry_core::TunnelPeer;
use rookferry_core::TunnelQueue;
use rookferry_wire::ServiceId;
use rstest::rstest;

/// Peers that the relay asks for one connection.
const MAX_PEERS: usize = 8;
const SERVERS: u8 = 12;

/// Instances in domains, of which some reach the servers.
struct Site {
    peers: Vec<TunnelPeer>,
    able: BTreeSet<SocketAddr>,
    dead: BTreeSet<ServerKey>,
    service: ServiceId,
    now: Instant,
    random: StdRng,
}

/// The instance that asks; the first one of the first domain.
struct Requester {
    own: SocketAddr,
    chooser: TunnelChooser,
}

fn instance(domain: usize, number: usize) -> SocketAddr {
    let part = |value: usize| u8::try_from(value).expect("a small number");
    let [high, low] = [part(number / 256), part(number % 256)];
    SocketAddr::from(([10, part(domain), high, low], 80))
}

fn server(number: u8) -> ServerKey {
    ServerKey::new(SocketAddr::from(([10, 200, 0, number], 80)), "server", None)
}

impl Site {
    /// Instances by domain. Heartbeats of other domains arrive from a few instances only.
    fn new(per_domain: &[usize], seed: u64) -> Self {
        let peers = per_domain.iter().enumerate().flat_map(|(domain, count)| {
            (0..*count).map(move |number| TunnelPeer {
                addr: instance(domain, number),
                domain: Arc::from(format!("domain-{domain}")),
                is_local: domain == 0,
                is_confirmed: domain == 0 || number < 2,
            })
        });
        Self {
            peers: peers.collect(),
            able: BTreeSet::new(),
            dead: BTreeSet::new(),
            service: Arc::from("service"),
            now: Instant::now(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn requester(&self) -> Requester {
        Requester {
            own: self.peers[0].addr,
            chooser: TunnelChooser::new(),
        }
    }

    /// Asks for a connection as the relay does, where cut-off peers refuse at once. Returns
    /// how many peers were asked, and the one that opened it.
    fn open(&mut self, requester: &mut Requester) -> (usize, Option<SocketAddr>) {
        let wanted = server(self.random.random_range(0..SERVERS));
        let others = self.peers.iter().filter(|peer| peer.addr != requester.own);
        let others = others.cloned().collect();
        let (service, now) = (self.service.clone(), self.now);
        let chosen = requester
            .chooser
            .choose(&service, others, MAX_PEERS, now, &mut self.random);
        let mut queue = TunnelQueue::new(chosen, requester.own);
        let mut calls: Vec<SocketAddr> = queue.first().collect();
        let mut asked = 0;
        while !calls.is_empty() {
            let peer = calls.remove(0);
            asked += 1;
            if self.able.contains(&peer) && !self.dead.contains(&wanted) {
                requester.chooser.reached(&service, peer, now);
                requester.chooser.opened(peer);
                return (asked, Some(peer));
            }
            requester.chooser.unreached(&service, peer, wanted, now);
            calls.extend(queue.after_failure(calls.len()));
        }
        (asked, None)
    }
}

// Guards against asking only peers that are cut off as well.
#[rstest]
#[case::small(&[9, 3])]
#[case::most_of_the_site(&[10, 10, 1])]
#[case::usual(&[20, 16, 19, 12])]
#[case::large(&[250, 250, 250, 250])]
#[case::many_domains(&[72; 14])]
fn a_domain_that_is_cut_off_finds_the_other_domains_at_once(#[case] per_domain: &[usize]) {
    for seed in 0..20 {
        let mut site = Site::new(per_domain, seed);
        let others = site.peers.iter().filter(|peer| !peer.is_local);
        site.able = others.map(|peer| peer.addr).collect();
        let mut requester = site.requester();
        for number in 0..20 {
            let (asked, opened) = site.open(&mut requester);
            assert!(opened.is_some(), "seed {seed}: connection {number}");
            assert!(asked <= 4, "seed {seed}: {asked} peers asked");
        }
    }
}

// Guards against leaning on one instance while a whole domain is in reach.
#[test]
fn tunnels_of_a_domain_that_is_cut_off_spread_over_the_others() {
    let mut site = Site::new(&[20, 16, 19, 12], 1);
    let others = site.peers.iter().filter(|peer| !peer.is_local);
    site.able = others.map(|peer| peer.addr).collect();
    let mut counts = std::collections::BTreeMap::<SocketAddr, usize>::new();
    for _ in 0..20 {
        let mut requester = site.requester();
        for _ in 0..24 {
            let (_, opened) = site.open(&mut requester);
            *counts.entry(opened.expect("a connection")).or_default() += 1;
        }
    }
    let fair = 20 * 24 / site.able.len();
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 4 * fair, "{most} of {fair} on average");
}

// Guards against asking the same peers again while others reach the servers.
#[rstest]
#[case::one_of_the_second_domain(&[20, 19], 1)]
#[case::one_of_the_site(&[20, 16, 19, 12], 1)]
#[case::few_of_the_site(&[20, 16, 19, 12], 4)]
fn the_few_in_reach_are_found_before_any_peer_is_asked_again(
    #[case] per_domain: &[usize],
    #[case] in_reach: usize,
) {
    for seed in 0..100 {
        let mut site = Site::new(per_domain, seed);
        let reaching = site.peers.iter().rev().take(in_reach);
        site.able = reaching.map(|peer| peer.addr).collect();
        let mut requester = site.requester();
        let most_requests = (site.peers.len() - in_reach).div_ceil(MAX_PEERS);
        let found = (1..=site.peers.len()).find(|_| site.open(&mut requester).1.is_some());
        let found = found.expect("a connection");
        assert!(found <= most_requests, "seed {seed}: request {found}");
        let (asked, again) = site.open(&mut requester);
        assert!(again.is_some() && asked <= 2, "seed {seed}: asked {asked}");
    }
}

// Guards against leaving a peer for servers that are gone for all.
#[test]
fn a_server_that_is_gone_speaks_against_no_peer_that_reaches_others() {
    for seed in 0..50 {
        let mut site = Site::new(&[20, 16, 19, 12], seed);
        let others = site.peers.iter().filter(|peer| !peer.is_local);
        site.able = others.map(|peer| peer.addr).collect();
        site.dead.insert(server(0));
        let mut requester = site.requester();
        for _ in 0..60 {
            let (asked, opened) = site.open(&mut requester);
            assert!(asked <= MAX_PEERS);
            assert!(opened.is_some() || asked > 1);
        }
        site.dead.clear();
        let (asked, opened) = site.open(&mut requester);
        assert!(opened.is_some() && asked <= 4, "seed {seed}: asked {asked}");
    }
}

// Guards against a belief that outlives its cause.
#[test]
fn a_peer_that_was_cut_off_is_asked_first_again_after_a_time() {
    let mut site = Site::new(&[3, 3], 1);
    let mut requester = site.requester();
    let service = site.service.clone();
    for local in 1..3 {
        requester
            .chooser
            .unreached(&service, instance(0, local), server(1), site.now);
    }
    let first = |site: &mut Site, requester: &Requester| {
        let (peers, now) = (site.peers[1..].to_vec(), site.now);
        let random = &mut site.random;
        requester.chooser.choose(&service, peers, 1, now, random)[0]
    };
    let is_local = |peer| [instance(0, 1), instance(0, 2)].contains(&peer);
    assert!(!is_local(first(&mut site, &requester)));
    site.now += Duration::from_secs(3);
    assert!(is_local(first(&mut site, &requester)));
}

// Guards against searching for what another instance has found already.
#[test]
fn a_peer_that_others_refer_to_is_asked_next() {
    let [a, b, c, own] = [1, 2, 3, 9].map(|number| instance(0, number));
    let mut queue = TunnelQueue::new(vec![a, b], own);
    assert_eq!(queue.first().collect::<Vec<_>>(), [a]);
    queue.refer_to(c);
    queue.refer_to(a);
    queue.refer_to(own);
    assert_eq!(queue.after_failure(0).collect::<Vec<_>>(), [c, b]);
    assert_eq!(queue.after_silence().count(), 0);
}
