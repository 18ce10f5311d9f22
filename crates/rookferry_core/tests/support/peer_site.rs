//! Simulates a site whose instances exchange heartbeats in virtual time. Datagrams are
//! delayed and sometimes lost, and domains can be cut off.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::Capacity;
use rookferry_core::DepartedServers;
use rookferry_core::Fanout;
use rookferry_core::Heartbeat;
use rookferry_core::ListState;
use rookferry_core::ListVersion;
use rookferry_core::LoadEntry;
use rookferry_core::PeerTable;
use rookferry_core::ProbeRole;
use rookferry_core::Round;
use rookferry_core::ServerKey;
use rookferry_core::ServerLimits;
use rookferry_core::StoreContact;
use rookferry_core::StoreState;
use rookferry_core::StoreVersion;

pub const ROUND_MS: u64 = 150;
pub const DELAY_MS: u64 = 1;
/// Delay of a round that a change causes to be sent early.
pub const EARLY_ROUND_DELAY_MS: u64 = 30;
/// Additional delay before a slow instance handles a datagram.
pub const SLOW_DELAY_MS: u64 = 200;
/// Share of datagrams that are lost.
pub const LOSS_RATE: f64 = 0.01;
pub const SEED_COUNT: usize = 3;
/// Age up to which an instance advertises its own read of the store.
const MAX_OWN_AGE: Duration = Duration::from_millis(1_400);

pub struct Instance {
    pub addr: SocketAddr,
    pub domain: usize,
    pub table: PeerTable,
    pub fanout: Fanout,
    pub incarnation: u64,
    pub started_ms: u64,
    pub round: u32,
    pub domain_window: usize,
    pub is_up: bool,
    /// Its requests in flight at the domain's engine.
    pub requests: u32,
    /// Servers that don't respond to it.
    pub unresponsive: Vec<ServerKey>,
    /// Number of its probes of servers that peers report as unresponsive.
    pub probes: usize,
    pub sent: u64,
    /// Bytes that it sent and that were sent to it, while `counts_bytes` is set.
    pub sent_bytes: usize,
    pub received_bytes: usize,
    /// Server limits that it knows.
    pub limits: ServerLimits,
    /// Leaving servers that it knows.
    pub departed: DepartedServers,
    /// How old its knowledge of the store is.
    pub contact: StoreContact,
    /// Capacity of its machine.
    pub capacity: Capacity,
    /// Whether it has a list of servers.
    pub has_list: bool,
    /// The first peer that advertised a list while it had none, and the time of the
    /// latest such heartbeat.
    pub offered_by: Option<SocketAddr>,
    pub offered_at: Option<Instant>,
}

impl Instance {
    pub fn is_joining(&self, now: Instant) -> bool {
        // The rounds of its first three seconds.
        self.round < 20 && !self.table.has_live_local(now)
    }

    /// Probes a server that a peer reports as unresponsive, if an instance of its rank
    /// without work there does so.
    pub fn probe_if_responsible(&mut self, server: ServerKey, dead: &[ServerKey], now: Instant) {
        let role = ProbeRole {
            has_requests: false,
            plans_layers: false,
            rank: self.table.rank(now),
        };
        if !role.should_probe() || self.unresponsive.contains(&server) {
            return;
        }
        self.probes += 1;
        if dead.contains(&server) {
            self.unresponsive.push(server);
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Tick(usize),
    /// A round that is sent early because of a change.
    EarlyRound(usize),
    Arrival(usize, usize, u64),
}

pub struct Site {
    pub start: Instant,
    pub now_ms: u64,
    pub instances: Vec<Instance>,
    pub index_by_addr: BTreeMap<SocketAddr, usize>,
    pub due: BinaryHeap<std::cmp::Reverse<(u64, Due)>>,
    pub messages: BTreeMap<u64, Heartbeat>,
    pub sent: u64,
    /// A domain that is cut off from the others.
    pub isolated_domain: Option<usize>,
    /// Instances that reach only each other.
    pub partition: BTreeSet<usize>,
    /// Servers that respond to no instance.
    pub dead: Vec<ServerKey>,
    /// Instances that handle datagrams late.
    pub slow: BTreeSet<usize>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Whether the bytes of heartbeats are counted; encoding them is slow.
    pub counts_bytes: bool,
    pub rng: StdRng,
}

pub fn instance_addr(domain: usize, number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, u8::try_from(domain).unwrap(), 0, 1],
        u16::try_from(1_000 + number).unwrap(),
    ))
}

pub fn engine_key(domain: usize) -> ServerKey {
    let addr = SocketAddr::from(([10, u8::try_from(domain).unwrap(), 64, 1], 80));
    ServerKey::new(addr, "engine", None)
}

pub fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

impl Site {
    /// Instances that start within 0.3 s of each other.
    pub fn start(domains: usize, per_domain: usize, seed: u64) -> Self {
        let mut site = Self {
            start: Instant::now(),
            now_ms: 0,
            instances: Vec::new(),
            index_by_addr: BTreeMap::new(),
            due: BinaryHeap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            isolated_domain: None,
            partition: BTreeSet::new(),
            dead: Vec::new(),
            slow: BTreeSet::new(),
            loss: LOSS_RATE,
            counts_bytes: false,
            rng: StdRng::seed_from_u64(seed),
        };
        for index in 0..domains * per_domain {
            let (domain, number) = (index % domains, index / domains);
            let addr = instance_addr(domain, number);
            site.index_by_addr.insert(addr, index);
            site.instances.push(Instance {
                addr,
                domain,
                table: PeerTable::new(addr, domain_name(domain).into()),
                fanout: Fanout::new(),
                incarnation: 0,
                started_ms: 0,
                round: 0,
                domain_window: 0,
                is_up: false,
                requests: 1,
                unresponsive: Vec::new(),
                probes: 0,
                sent: 0,
                sent_bytes: 0,
                received_bytes: 0,
                limits: ServerLimits::new(),
                departed: DepartedServers::new(),
                contact: StoreContact::new(),
                capacity: Capacity::default(),
                has_list: false,
                offered_by: None,
                offered_at: None,
            });
            let at_ms = site.rng.random_range(0..300);
            site.start_at(index, at_ms);
        }
        site
    }

    pub fn start_at(&mut self, index: usize, at_ms: u64) {
        self.due.push(std::cmp::Reverse((at_ms, Due::Tick(index))));
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.started_ms = at_ms;
        instance.round = 0;
        let home = domain_name(instance.domain).into();
        instance.table = PeerTable::new(instance.addr, home).capacity(instance.capacity);
        instance.fanout = Fanout::new();
        instance.limits = ServerLimits::new();
        instance.departed = DepartedServers::new();
        instance.contact = StoreContact::new();
        instance.is_up = true;
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    pub fn run_for(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(std::cmp::Reverse((at_ms, _))) = self.due.peek() {
            if *at_ms > until_ms {
                break;
            }
            let Some(std::cmp::Reverse((at_ms, due))) = self.due.pop() else {
                break;
            };
            self.now_ms = at_ms;
            match due {
                Due::Tick(index) => self.tick(index),
                Due::EarlyRound(index) => self.send_round(index, true),
                Due::Arrival(from, to, message) => self.deliver(from, to, message),
            }
        }
        self.now_ms = until_ms;
    }

    /// Schedules an early round of an instance.
    pub fn schedule_early_round(&mut self, index: usize) {
        let due = Due::EarlyRound(index);
        self.due
            .push(std::cmp::Reverse((self.now_ms + EARLY_ROUND_DELAY_MS, due)));
    }

    pub fn tick(&mut self, index: usize) {
        if !self.instances[index].is_up {
            return;
        }
        self.send_round(index, false);
        self.due.push(std::cmp::Reverse((
            self.now_ms + ROUND_MS,
            Due::Tick(index),
        )));
    }

    fn send_round(&mut self, index: usize, is_early: bool) {
        let now = self.now();
        let seeds: Vec<_> = (0..SEED_COUNT)
            .map(|seed| self.instances[seed].addr)
            .collect();
        let instance = &mut self.instances[index];
        if !instance.is_up {
            return;
        }
        instance.table.expire(now);
        for seed in seeds {
            instance.table.add_address(seed, now);
        }
        instance.round += 1;
        let round = Round {
            number: instance.round,
            has_changes: is_early,
            is_rank_known: self.now_ms >= instance.started_ms + 400,
            is_joining: instance.is_joining(now),
        };
        let targets = instance
            .fanout
            .round(&instance.table, round, now, &mut self.rng);
        let window = usize::try_from(instance.round).unwrap() * 32;
        let beat = heartbeat(instance, window, 32, now);
        instance.table.set_own_loads(&beat.loads);
        if !targets.local_with_loads.is_empty() {
            instance.domain_window += 32;
        }
        let sums_members = instance.table.members(instance.domain_window, 32, now);
        let all = domain_load_entries(instance, now);
        let sums = instance.table.aggregate_loads(all, now);
        let with_sums = targets.local_with_loads.into_iter().map(|to| {
            let domain_loads = Some(instance.table.loads_for_member(to, &sums));
            let beat = Heartbeat {
                domain_loads,
                members: sums_members.clone(),
                ..beat.clone()
            };
            (to, beat)
        });
        let remote_loads = sums.clone().into_domain_loads();
        let with_loads = targets.remote_with_loads.into_iter().map(|to| {
            let domain_loads = Some(remote_loads.clone());
            (
                to,
                Heartbeat {
                    domain_loads,
                    loads: Vec::new(),
                    out: Vec::new(),
                    out_count: 0,
                    ..beat.clone()
                },
            )
        });
        let local = targets.local.into_iter().map(|to| (to, beat.clone()));
        let remote = targets.remote.into_iter().map(|to| {
            let out = Vec::new();
            (
                to,
                Heartbeat {
                    out,
                    out_count: 0,
                    ..beat.clone()
                },
            )
        });
        let outgoing: Vec<_> = local
            .chain(remote)
            .chain(with_sums)
            .chain(with_loads)
            .collect();
        for (to, beat) in outgoing {
            self.send(index, to, beat);
        }
    }

    pub fn send(&mut self, from: usize, to: SocketAddr, beat: Heartbeat) {
        self.instances[from].sent += 1;
        self.sent += 1;
        let Some(to) = self.index_by_addr.get(&to).copied() else {
            return;
        };
        if self.counts_bytes {
            let bytes = postcard::to_stdvec(&beat).expect("bytes").len();
            self.instances[from].sent_bytes += bytes;
            self.instances[to].received_bytes += bytes;
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let message = self.sent;
        self.messages.insert(message, beat);
        let extra_ms = if self.slow.contains(&to) {
            SLOW_DELAY_MS
        } else {
            0
        };
        let at_ms = self.now_ms + DELAY_MS + extra_ms;
        self.due
            .push(std::cmp::Reverse((at_ms, Due::Arrival(from, to, message))));
    }

    pub fn deliver(&mut self, from: usize, to: usize, message: u64) {
        let Some(beat) = self.messages.remove(&message) else {
            return;
        };
        let now = self.now();
        let is_partitioned = self.is_partitioned(from, to);
        let sender = &self.instances[from];
        let (from_addr, from_domain) = (sender.addr, sender.domain);
        let receiver = &mut self.instances[to];
        if !receiver.is_up || is_partitioned {
            return;
        }
        for seen in &beat.limits {
            receiver.limits.merge(*seen, now);
        }
        for seen in &beat.departed {
            receiver.departed.merge(*seen, now);
        }
        if from_domain == receiver.domain
            && let Some(store) = beat.store
            && let Some(at) = now.checked_sub(Duration::from_millis(store.age_ms + DELAY_MS))
        {
            let reader = store.reader.unwrap_or(from_addr);
            if reader != receiver.addr {
                receiver.contact.merge_peer(at, reader);
            }
        }
        if !receiver.has_list && beat.servers.version > ListVersion::default() {
            receiver.offered_by.get_or_insert(from_addr);
            receiver.offered_at = Some(now);
        }
        receiver.table.on_heartbeat(from_addr, &beat, now);
        for server in receiver.table.newly_unresponsive(from_addr, &beat, now) {
            receiver.probe_if_responsible(server, &self.dead, now);
        }
        if beat.is_joining {
            let domain = domain_name(from_domain).into();
            let from = self.rng.random_range(0..1_000);
            let mut members = receiver.table.members(from, 512, now);
            members.push(receiver.table.members_in(&domain, 1_024, now));
            let answer = heartbeat(receiver, 0, 0, now);
            let answer = Heartbeat { members, ..answer };
            self.send(to, from_addr, answer);
        }
    }

    /// Whether no datagram gets from one instance to another.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (from_domain, to_domain) = (self.instances[from].domain, self.instances[to].domain);
        self.isolated_domain.is_some_and(|isolated_domain| {
            (from_domain == isolated_domain) != (to_domain == isolated_domain)
        }) || self.partition.contains(&from) != self.partition.contains(&to)
    }

    pub fn up(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().filter(|instance| instance.is_up)
    }

    /// Requests in flight of the other running instances of an instance's domain.
    pub fn other_requests(&self, instance: &Instance) -> u32 {
        let local = self.up().filter(|other| other.domain == instance.domain);
        local.map(|other| other.requests).sum::<u32>() - instance.requests
    }

    /// Share of the running instances that know the exact number of requests in flight of
    /// the others in their domain.
    pub fn informed_share(&self) -> f64 {
        let now = self.now();
        let is_informed = |instance: &&Instance| {
            let loads = instance.table.loads(now);
            let known = loads
                .get(&engine_key(instance.domain))
                .copied()
                .unwrap_or_default();
            known.requests == self.other_requests(instance)
        };
        self.up().filter(is_informed).count() as f64 / self.up().count() as f64
    }

    /// Running instances that don't know all instances, with the number that each knows.
    pub fn incomplete(&self) -> Vec<(SocketAddr, usize)> {
        let count = self.instances.len();
        let known = self
            .up()
            .map(|instance| (instance.addr, instance.table.instances()));
        known.filter(|(_, known)| *known != count).collect()
    }

    /// Least share of all instances that any running instance knows.
    pub fn least_known_share(&self) -> f64 {
        let known = self.up().map(|instance| instance.table.instances());
        known.min().unwrap_or(0) as f64 / self.instances.len() as f64
    }

    /// Datagrams a second that each instance sends, the highest rate first.
    pub fn sent_per_s(&mut self, seconds: u64) -> Vec<(f64, SocketAddr)> {
        let before: Vec<u64> = self
            .instances
            .iter()
            .map(|instance| instance.sent)
            .collect();
        self.run_for(seconds * 1_000);
        let sent = self.instances.iter().zip(before);
        let mut rates: Vec<_> = sent
            .map(|(instance, before)| {
                let rate = (instance.sent - before) as f64 / seconds as f64;
                (rate, instance.addr)
            })
            .collect();
        rates.sort_by(|left, right| right.0.total_cmp(&left.0));
        rates
    }
}

/// A heartbeat that carries nothing but its sender.
pub fn bare_heartbeat(from: SocketAddr, domain: usize) -> Heartbeat {
    Heartbeat {
        site: "site".into(),
        instance: from.to_string().into(),
        incarnation: 1,
        domain: domain_name(domain).into(),
        capacity: Capacity::default(),
        sent_ms: 0,
        echo: None,
        config: None,
        servers: ListState::default(),
        store: None,
        holder: None,
        loads: Vec::new(),
        domain_loads: None,
        out: Vec::new(),
        out_count: 0,
        closed: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        departed: Vec::new(),
        members: Vec::new(),
        instances: 2,
        is_joining: false,
        unreached: Vec::new(),
        is_leaving: false,
    }
}

pub fn heartbeat(
    instance: &Instance,
    members_from: usize,
    members: usize,
    now: Instant,
) -> Heartbeat {
    let table = &instance.table;
    Heartbeat {
        incarnation: instance.incarnation,
        loads: vec![load_entry(instance.domain, instance.requests)],
        out: instance.unresponsive.clone(),
        out_count: u32::try_from(instance.unresponsive.len()).unwrap(),
        limits: instance
            .limits
            .advertised(32, usize::try_from(instance.round / 2).unwrap(), now),
        departed: instance.departed.advertised(
            24,
            usize::try_from(instance.round / 2).unwrap(),
            now,
        ),
        store: store_state(&instance.contact, now),
        members: table.members(members_from, members, now),
        instances: u32::try_from(table.instances()).unwrap(),
        is_joining: instance.is_joining(now),
        unreached: Vec::new(),
        is_leaving: false,
        capacity: instance.capacity,
        servers: list_state(instance.has_list),
        ..bare_heartbeat(instance.addr, instance.domain)
    }
}

fn list_state(has_list: bool) -> ListState {
    let store = StoreVersion::new(0, u64::from(has_list));
    ListState {
        version: ListVersion::of(store),
        age_ms: None,
    }
}

/// What an instance advertises of the store.
fn store_state(contact: &StoreContact, now: Instant) -> Option<StoreState> {
    let contact = contact.advertised(now, MAX_OWN_AGE)?;
    Some(StoreState {
        age_ms: u64::try_from(contact.age.as_millis()).ok()?,
        reader: contact.reader,
    })
}

pub fn load_entry(domain: usize, requests: u32) -> LoadEntry {
    LoadEntry {
        server: engine_key(domain),
        requests,
        tokens: requests * 100,
        silent_ms: 0,
        report: None,
    }
}

pub fn domain_load_entries(instance: &Instance, now: Instant) -> Vec<LoadEntry> {
    let local = instance.table.local_loads(now);
    let others = local
        .get(&engine_key(instance.domain))
        .copied()
        .unwrap_or_default();
    vec![load_entry(
        instance.domain,
        others.requests + instance.requests,
    )]
}
