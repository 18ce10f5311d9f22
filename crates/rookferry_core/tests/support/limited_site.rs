//! Simulates a site in front of one server with a request limit. Requests arrive at
//! random times, and instances request permits from each other by datagrams that are
//! delayed and sometimes lost.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::LimitObservation;
use rookferry_core::Permit;
use rookferry_core::PermitAnswer;
use rookferry_core::PermitGranter;
use rookferry_core::PermitRefusal;
use rookferry_core::PermitRequest;
use rookferry_core::PermitTracker;
use rookferry_core::RequestRate;
use rookferry_core::ServerKey;
use rookferry_core::Urgency;

use crate::peer_site::DELAY_MS;
use crate::peer_site::LOSS_RATE;
use crate::peer_site::Site;
use crate::peer_site::domain_name;
use crate::peer_site::engine_key;

/// Time from a request's arrival at the server to its response.
const SERVICE_TIME_MS: u64 = 40;
/// How long an instance waits for the answer to a permit request.
const PERMIT_TIMEOUT_MS: u64 = 80;
/// Age from which an instance grants permits.
const MIN_GRANTER_AGE_MS: u64 = 1_000;
/// How long an instance must have known the limit before its requests count against it.
const MIN_KNOWN_MS: u64 = 500;
/// Domain of the server.
const HOME_DOMAIN: usize = 0;

pub const URGENT: Urgency = Urgency {
    account: 1,
    route: 1,
};
pub const LESS_URGENT: Urgency = Urgency {
    account: 1,
    route: 5,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    index: usize,
    urgency: Urgency,
    requested_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's request arrives at an instance, and the next one is scheduled.
    RequestDue(usize),
    PermitRequested(u64),
    PermitAnswered(u64),
    PermitTimedOut(u64),
    RequestArrived(usize),
    ServerResponded {
        index: usize,
        sent_ms: u64,
        centi_per_s: Option<u32>,
    },
}

struct PermitExchange {
    from: usize,
    to: usize,
    permit_request: PermitRequest,
    request: Option<Request>,
    answer: Option<PermitAnswer>,
    /// Granters that are still to be tried, the next one last.
    remaining: Vec<SocketAddr>,
}

#[derive(Default)]
struct PermitState {
    tracker: PermitTracker,
    granter: Option<PermitGranter>,
}

/// Outcomes of the requests of one urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub sent: usize,
    pub refused: usize,
}

pub struct LimitedSite {
    pub site: Site,
    pub server: ServerKey,
    /// The server's current limit, in requests a second; none where it names none.
    pub limit_per_s: Option<f64>,
    /// Requests a second that arrive at each instance.
    pub demand_per_s: Vec<f64>,
    /// Share of the requests that are less urgent.
    pub less_urgent_share: f64,
    pub first_named_ms: Option<u64>,
    /// Arrivals at the server: the time, and the instance that sent the request.
    pub arrivals: Vec<(u64, usize)>,
    /// When each instance first received the limit from the server.
    pub informed_ms: BTreeMap<usize, u64>,
    pub outcomes: BTreeMap<Urgency, Outcomes>,
    permit_states: Vec<PermitState>,
    due: BinaryHeap<Reverse<(u64, u64, Event)>>,
    exchanges: BTreeMap<u64, PermitExchange>,
    number: u64,
    rng: StdRng,
}

impl LimitedSite {
    pub fn start(domains: usize, per_domain: usize, seed: u64) -> Self {
        let site = Site::start(domains, per_domain, seed);
        let count = site.instances.len();
        Self {
            site,
            server: engine_key(HOME_DOMAIN),
            limit_per_s: None,
            demand_per_s: vec![0.0; count],
            less_urgent_share: 0.0,
            first_named_ms: None,
            arrivals: Vec::new(),
            informed_ms: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            permit_states: (0..count).map(|_| PermitState::default()).collect(),
            due: BinaryHeap::new(),
            exchanges: BTreeMap::new(),
            number: 0,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// Starts the requests at all instances, at the rate of each.
    pub fn start_requests(&mut self) {
        for index in 0..self.demand_per_s.len() {
            self.schedule_request(index);
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        let until_ms = self.site.now_ms + ms;
        while let Some(Reverse((at_ms, ..))) = self.due.peek() {
            if *at_ms > until_ms {
                break;
            }
            let Some(Reverse((at_ms, _, event))) = self.due.pop() else {
                break;
            };
            self.site.run_for(at_ms - self.site.now_ms);
            self.handle(event);
        }
        self.site.run_for(until_ms - self.site.now_ms);
    }

    /// The granter by the majority of the running instances' tables.
    pub fn granter(&self) -> usize {
        let now = self.site.now();
        let mut votes = BTreeMap::<usize, usize>::new();
        for instance in self.site.up() {
            let granters =
                instance
                    .table
                    .permit_granters(self.server, &domain_name(HOME_DOMAIN).into(), now);
            *votes
                .entry(self.site.index_by_addr[&granters[0]])
                .or_default() += 1;
        }
        let most = votes.into_iter().max_by_key(|(_, votes)| *votes);
        most.expect("an instance").0
    }

    pub fn kill(&mut self, index: usize) {
        self.site.instances[index].is_up = false;
    }

    pub fn start_at(&mut self, index: usize, at_ms: u64) {
        self.permit_states[index] = PermitState::default();
        self.site.start_at(index, at_ms);
    }

    /// Most arrivals within any window that ends at an arrival after a time. Counts only
    /// requests of instances that had received the limit from the server half a second
    /// before the window's end.
    pub fn max_in_window(&self, window_ms: u64, ending_after_ms: u64) -> usize {
        let ends = self.arrivals.iter().enumerate();
        let ends = ends.filter(|(_, (end_ms, _))| *end_ms >= ending_after_ms);
        let counts = ends.map(|(last, (end_ms, _))| {
            let begin = self
                .arrivals
                .partition_point(|(at_ms, _)| at_ms + window_ms <= *end_ms);
            let was_informed = |index| {
                let informed_ms = self.informed_ms.get(index);
                informed_ms.is_some_and(|informed_ms| informed_ms + MIN_KNOWN_MS <= *end_ms)
            };
            let arrivals = self.arrivals[begin..=last].iter();
            arrivals.filter(|(_, index)| was_informed(index)).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Number of arrivals between two times.
    pub fn arrivals_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let arrivals = self.arrivals.iter();
        let within = arrivals.filter(|(at_ms, _)| (from_ms..to_ms).contains(at_ms));
        within.count()
    }

    fn push(&mut self, in_ms: u64, event: Event) {
        self.number += 1;
        let at_ms = self.site.now_ms + in_ms;
        self.due.push(Reverse((at_ms, self.number, event)));
    }

    fn schedule_request(&mut self, index: usize) {
        let per_s = self.demand_per_s[index];
        if per_s <= 0.0 {
            return;
        }
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-draw.ln() / per_s);
        let pause_ms = u64::try_from(pause.as_millis()).expect("a time").max(1);
        self.push(pause_ms, Event::RequestDue(index));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestDue(index) => {
                self.schedule_request(index);
                if self.site.instances[index].is_up {
                    self.on_request(index);
                }
            }
            Event::PermitRequested(number) => self.on_permit_request(number),
            Event::PermitAnswered(number) => self.on_permit_answer(number),
            Event::PermitTimedOut(number) => self.on_permit_timeout(number),
            Event::RequestArrived(index) => self.on_arrival(index),
            Event::ServerResponded {
                index,
                sent_ms,
                centi_per_s,
            } => self.on_server_response(index, sent_ms, centi_per_s),
        }
    }

    fn on_request(&mut self, index: usize) {
        let is_less_urgent =
            self.less_urgent_share > 0.0 && self.rng.random_bool(self.less_urgent_share);
        let request = Request {
            index,
            urgency: if is_less_urgent { LESS_URGENT } else { URGENT },
            requested_ms: self.site.now_ms,
        };
        let now = self.site.now();
        if self.site.instances[index].limits.of(self.server).is_none() {
            self.permit_states[index]
                .tracker
                .record_sent(self.server, now);
            return self.send(request);
        }
        let refused =
            self.permit_states[index]
                .tracker
                .refused_until(self.server, request.urgency, now);
        if refused.is_some() {
            return self.refuse(request);
        }
        self.request_permit(index, Some(request));
    }

    /// Requests a permit, or without a request only reports what was sent.
    fn request_permit(&mut self, index: usize, request: Option<Request>) {
        let now = self.site.now();
        let instance = &self.site.instances[index];
        let Some(rate) = instance.limits.of(self.server) else {
            return;
        };
        let age = instance.limits.age(self.server, now).expect("an age");
        let home = domain_name(HOME_DOMAIN).into();
        let mut remaining = instance.table.permit_granters(self.server, &home, now);
        remaining.reverse();
        let permit_request = PermitRequest {
            number: 0,
            seen: LimitObservation {
                server: self.server,
                rate: Some(rate),
                age_ms: u64::try_from(age.as_millis()).expect("a time"),
            },
            urgency: request.map(|request| request.urgency),
            sent_ms_ago: self.permit_states[index]
                .tracker
                .take_sent(self.server, now),
        };
        self.request_from_next(index, permit_request, request, remaining);
    }

    fn request_from_next(
        &mut self,
        from: usize,
        permit_request: PermitRequest,
        request: Option<Request>,
        mut remaining: Vec<SocketAddr>,
    ) {
        let Some(to) = remaining.pop() else {
            if let Some(request) = request {
                self.on_permit_refused(
                    request,
                    PermitRefusal {
                        ask_again_ms: 100,
                        spread_ms: 1_000,
                    },
                );
            }
            return;
        };
        let to = self.site.index_by_addr[&to];
        remaining.truncate(1);
        let exchange = PermitExchange {
            from,
            to,
            permit_request,
            request,
            answer: None,
            remaining,
        };
        self.number += 1;
        let number = self.number;
        self.exchanges.insert(number, exchange);
        if from == to {
            return self.push(0, Event::PermitRequested(number));
        }
        if !self.is_lost(from, to) {
            self.push(DELAY_MS, Event::PermitRequested(number));
        }
        self.push(PERMIT_TIMEOUT_MS, Event::PermitTimedOut(number));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        self.rng.random_bool(LOSS_RATE)
            || self.site.is_partitioned(from, to)
            || !self.site.instances[to].is_up
    }

    fn on_permit_request(&mut self, number: u64) {
        let Some(exchange) = self.exchanges.get(&number) else {
            return;
        };
        let (from, to, permit_request) =
            (exchange.from, exchange.to, exchange.permit_request.clone());
        if !self.site.instances[to].is_up {
            return;
        }
        let answer = self.answer_permit_request(to, &permit_request);
        if let Some(exchange) = self.exchanges.get_mut(&number) {
            exchange.answer = Some(answer);
        }
        if from == to {
            return self.push(0, Event::PermitAnswered(number));
        }
        if !self.is_lost(to, from) {
            self.push(DELAY_MS, Event::PermitAnswered(number));
        }
    }

    fn answer_permit_request(
        &mut self,
        index: usize,
        permit_request: &PermitRequest,
    ) -> PermitAnswer {
        let now = self.site.now();
        let home = domain_name(HOME_DOMAIN).into();
        let instance = &mut self.site.instances[index];
        instance.limits.merge(permit_request.seen, now);
        let granters = instance.table.permit_granters(self.server, &home, now);
        if granters[0] != instance.addr {
            return PermitAnswer::Elsewhere(Some(granters[0]));
        }
        if self.site.now_ms < instance.started_ms + MIN_GRANTER_AGE_MS {
            return PermitAnswer::Elsewhere(None);
        }
        let Some(rate) = instance.limits.of(self.server) else {
            return PermitAnswer::Granted;
        };
        let share = instance.table.permit_share(&home, now);
        let granter = &mut self.permit_states[index].granter;
        let granter = granter.get_or_insert_with(|| PermitGranter::new(rate, now));
        granter.set_rate(rate);
        for ago_ms in &permit_request.sent_ms_ago {
            granter.record_sent(Duration::from_millis(u64::from(*ago_ms)), now);
        }
        let Some(urgency) = permit_request.urgency else {
            return PermitAnswer::Granted;
        };
        match granter.take(urgency, share, now) {
            Ok(()) => PermitAnswer::Granted,
            Err(refusal) => PermitAnswer::Refused(refusal),
        }
    }

    fn on_permit_answer(&mut self, number: u64) {
        let Some(exchange) = self.exchanges.remove(&number) else {
            return;
        };
        let Some(request) = exchange.request else {
            return;
        };
        if !self.site.instances[exchange.from].is_up {
            return;
        }
        match exchange.answer.expect("an answer") {
            PermitAnswer::Granted => {
                let requested_at = self.site.start + Duration::from_millis(request.requested_ms);
                let permit = Permit::requested_at(self.server, requested_at);
                if permit.allows(self.server, self.site.now()) {
                    self.send(request);
                }
            }
            PermitAnswer::Refused(refusal) => self.on_permit_refused(request, refusal),
            PermitAnswer::Elsewhere(Some(other)) if exchange.remaining.len() == 1 => {
                self.request_from_next(
                    exchange.from,
                    exchange.permit_request,
                    Some(request),
                    vec![other],
                );
            }
            PermitAnswer::Elsewhere(_) => {
                self.request_from_next(
                    exchange.from,
                    exchange.permit_request,
                    Some(request),
                    Vec::new(),
                );
            }
        }
    }

    fn on_permit_timeout(&mut self, number: u64) {
        if let Some(exchange) = self.exchanges.remove(&number) {
            self.request_from_next(
                exchange.from,
                exchange.permit_request,
                exchange.request,
                exchange.remaining,
            );
        }
    }

    fn on_permit_refused(&mut self, request: Request, refusal: PermitRefusal) {
        let chance = self.rng.random_range(0.0..1.0);
        let now = self.site.now();
        self.permit_states[request.index].tracker.record_refusal(
            self.server,
            request.urgency,
            refusal,
            chance,
            now,
        );
        self.refuse(request);
    }

    fn refuse(&mut self, request: Request) {
        self.outcomes.entry(request.urgency).or_default().refused += 1;
    }

    fn send(&mut self, request: Request) {
        self.outcomes.entry(request.urgency).or_default().sent += 1;
        if self.site.isolated_domain == Some(HOME_DOMAIN)
            && self.site.instances[request.index].domain != HOME_DOMAIN
        {
            return;
        }
        self.push(DELAY_MS, Event::RequestArrived(request.index));
    }

    fn on_arrival(&mut self, index: usize) {
        let now_ms = self.site.now_ms;
        self.arrivals.push((now_ms, index));
        if self.limit_per_s.is_some() {
            self.first_named_ms
                .get_or_insert(now_ms + SERVICE_TIME_MS + DELAY_MS);
        }
        let centi_per_s = self.limit_per_s.map(|per_s| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let centi = (per_s * 100.0).round() as u32;
            centi
        });
        let response = Event::ServerResponded {
            index,
            sent_ms: now_ms - DELAY_MS,
            centi_per_s,
        };
        self.push(SERVICE_TIME_MS + DELAY_MS, response);
    }

    fn on_server_response(&mut self, index: usize, sent_ms: u64, centi_per_s: Option<u32>) {
        let now = self.site.now();
        let sent_at: Instant = self.site.start + Duration::from_millis(sent_ms);
        let instance = &mut self.site.instances[index];
        let rate = centi_per_s.and_then(|centi| RequestRate::from_per_s(f64::from(centi) / 100.0));
        if rate.is_some() {
            self.informed_ms.entry(index).or_insert(self.site.now_ms);
        }
        let change = match rate {
            Some(rate) => instance.limits.record_limit(self.server, rate, now),
            None => instance.limits.record_unlimited(self.server, sent_at, now),
        };
        if change.is_some() {
            self.permit_states[index].tracker.clear_refusal(self.server);
            self.request_permit(index, None);
        }
    }
}
