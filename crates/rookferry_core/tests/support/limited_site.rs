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
use crate::peer_site::LOSS;
use crate::peer_site::Site;
use crate::peer_site::domain_name;
use crate::peer_site::engine_key;

/// Time from a request's arrival at the server to its response.
const SERVING_MS: u64 = 40;
/// How long an instance waits for the answer to a permit request.
const PATIENCE_MS: u64 = 80;
/// Age from which an instance grants permits.
const GRANTS_AFTER_MS: u64 = 1_000;
/// How long an instance must have known the limit before its requests count against it.
const TOLD_BEFORE_MS: u64 = 500;
/// Domain of the server.
const HOME: usize = 0;

pub const URGENT: Urgency = Urgency {
    account: 1,
    route: 1,
};
pub const PATIENT: Urgency = Urgency {
    account: 1,
    route: 5,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    place: usize,
    urgency: Urgency,
    asked_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's request arrives at an instance, and the next one is scheduled.
    Comes(usize),
    Asked(u64),
    Answered(u64),
    Unanswered(u64),
    Arrives(usize),
    ServerAnswered {
        place: usize,
        sent_ms: u64,
        centi_per_s: Option<u32>,
    },
}

struct Question {
    from: usize,
    to: usize,
    ask: PermitRequest,
    request: Option<Request>,
    answer: Option<PermitAnswer>,
    /// Granters that are still to be tried, the next one last.
    others: Vec<SocketAddr>,
}

#[derive(Default)]
struct Desk {
    book: PermitTracker,
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
    pub patient_share: f64,
    pub first_named_ms: Option<u64>,
    /// Arrivals at the server: the time, and the instance that sent the request.
    pub arrivals: Vec<(u64, usize)>,
    /// When each instance first received the limit from the server.
    pub told_ms: BTreeMap<usize, u64>,
    pub outcomes: BTreeMap<Urgency, Outcomes>,
    desks: Vec<Desk>,
    due: BinaryHeap<Reverse<(u64, u64, Event)>>,
    questions: BTreeMap<u64, Question>,
    number: u64,
    rng: StdRng,
}

impl LimitedSite {
    pub fn start(domains: usize, per_domain: usize, seed: u64) -> Self {
        let site = Site::start(domains, per_domain, seed);
        let count = site.instances.len();
        Self {
            site,
            server: engine_key(HOME),
            limit_per_s: None,
            demand_per_s: vec![0.0; count],
            patient_share: 0.0,
            first_named_ms: None,
            arrivals: Vec::new(),
            told_ms: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            desks: (0..count).map(|_| Desk::default()).collect(),
            due: BinaryHeap::new(),
            questions: BTreeMap::new(),
            number: 0,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// Starts the requests at all instances, at the rate of each.
    pub fn open(&mut self) {
        for place in 0..self.demand_per_s.len() {
            self.next_comes(place);
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
            self.take(event);
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
                    .permit_granters(self.server, &domain_name(HOME).into(), now);
            *votes.entry(self.site.places[&granters[0]]).or_default() += 1;
        }
        let most = votes.into_iter().max_by_key(|(_, votes)| *votes);
        most.expect("an instance").0
    }

    pub fn kill(&mut self, place: usize) {
        self.site.instances[place].is_up = false;
    }

    pub fn start_at(&mut self, place: usize, at_ms: u64) {
        self.desks[place] = Desk::default();
        self.site.start_at(place, at_ms);
    }

    /// Most arrivals within any window that ends at an arrival after a time. Counts only
    /// requests of instances that had received the limit from the server half a second
    /// before the window's end.
    pub fn most_in_span(&self, span_ms: u64, ending_after_ms: u64) -> usize {
        let ends = self.arrivals.iter().enumerate();
        let ends = ends.filter(|(_, (end_ms, _))| *end_ms >= ending_after_ms);
        let counts = ends.map(|(index, (end_ms, _))| {
            let begin = self
                .arrivals
                .partition_point(|(at_ms, _)| at_ms + span_ms <= *end_ms);
            let was_told = |place| {
                let told_ms = self.told_ms.get(place);
                told_ms.is_some_and(|told_ms| told_ms + TOLD_BEFORE_MS <= *end_ms)
            };
            let arrivals = self.arrivals[begin..=index].iter();
            arrivals.filter(|(_, place)| was_told(place)).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Number of arrivals between two times.
    pub fn arrived(&self, from_ms: u64, to_ms: u64) -> usize {
        let arrivals = self.arrivals.iter();
        let within = arrivals.filter(|(at_ms, _)| (from_ms..to_ms).contains(at_ms));
        within.count()
    }

    fn push(&mut self, in_ms: u64, event: Event) {
        self.number += 1;
        let at_ms = self.site.now_ms + in_ms;
        self.due.push(Reverse((at_ms, self.number, event)));
    }

    fn next_comes(&mut self, place: usize) {
        let per_s = self.demand_per_s[place];
        if per_s <= 0.0 {
            return;
        }
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-draw.ln() / per_s);
        let pause_ms = u64::try_from(pause.as_millis()).expect("a time").max(1);
        self.push(pause_ms, Event::Comes(place));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Comes(place) => {
                self.next_comes(place);
                if self.site.instances[place].is_up {
                    self.request(place);
                }
            }
            Event::Asked(number) => self.asked(number),
            Event::Answered(number) => self.answered(number),
            Event::Unanswered(number) => self.unanswered(number),
            Event::Arrives(place) => self.arrives(place),
            Event::ServerAnswered {
                place,
                sent_ms,
                centi_per_s,
            } => self.server_answered(place, sent_ms, centi_per_s),
        }
    }

    fn request(&mut self, place: usize) {
        let is_patient = self.patient_share > 0.0 && self.rng.random_bool(self.patient_share);
        let request = Request {
            place,
            urgency: if is_patient { PATIENT } else { URGENT },
            asked_ms: self.site.now_ms,
        };
        let now = self.site.now();
        if self.site.instances[place].limits.of(self.server).is_none() {
            self.desks[place].book.record_sent(self.server, now);
            return self.send(request);
        }
        let refused = self.desks[place]
            .book
            .refused_until(self.server, request.urgency, now);
        if refused.is_some() {
            return self.refuse(request);
        }
        self.ask(place, Some(request));
    }

    /// Requests a permit, or without a request only reports what was sent.
    fn ask(&mut self, place: usize, request: Option<Request>) {
        let now = self.site.now();
        let instance = &self.site.instances[place];
        let Some(rate) = instance.limits.of(self.server) else {
            return;
        };
        let age = instance.limits.age(self.server, now).expect("an age");
        let home = domain_name(HOME).into();
        let mut others = instance.table.permit_granters(self.server, &home, now);
        others.reverse();
        let ask = PermitRequest {
            number: 0,
            seen: LimitObservation {
                server: self.server,
                rate: Some(rate),
                age_ms: u64::try_from(age.as_millis()).expect("a time"),
            },
            urgency: request.map(|request| request.urgency),
            sent_ms_ago: self.desks[place].book.take_sent(self.server, now),
        };
        self.ask_next(place, ask, request, others);
    }

    fn ask_next(
        &mut self,
        from: usize,
        ask: PermitRequest,
        request: Option<Request>,
        mut others: Vec<SocketAddr>,
    ) {
        let Some(to) = others.pop() else {
            if let Some(request) = request {
                self.note_refused(
                    request,
                    PermitRefusal {
                        ask_again_ms: 100,
                        spread_ms: 1_000,
                    },
                );
            }
            return;
        };
        let to = self.site.places[&to];
        others.truncate(1);
        let question = Question {
            from,
            to,
            ask,
            request,
            answer: None,
            others,
        };
        self.number += 1;
        let number = self.number;
        self.questions.insert(number, question);
        if from == to {
            return self.push(0, Event::Asked(number));
        }
        if !self.is_lost(from, to) {
            self.push(DELAY_MS, Event::Asked(number));
        }
        self.push(PATIENCE_MS, Event::Unanswered(number));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        self.rng.random_bool(LOSS) || self.site.is_cut(from, to) || !self.site.instances[to].is_up
    }

    fn asked(&mut self, number: u64) {
        let Some(question) = self.questions.get(&number) else {
            return;
        };
        let (from, to, ask) = (question.from, question.to, question.ask.clone());
        if !self.site.instances[to].is_up {
            return;
        }
        let answer = self.judge(to, &ask);
        if let Some(question) = self.questions.get_mut(&number) {
            question.answer = Some(answer);
        }
        if from == to {
            return self.push(0, Event::Answered(number));
        }
        if !self.is_lost(to, from) {
            self.push(DELAY_MS, Event::Answered(number));
        }
    }

    fn judge(&mut self, place: usize, ask: &PermitRequest) -> PermitAnswer {
        let now = self.site.now();
        let home = domain_name(HOME).into();
        let instance = &mut self.site.instances[place];
        instance.limits.merge(ask.seen, now);
        let granters = instance.table.permit_granters(self.server, &home, now);
        if granters[0] != instance.addr {
            return PermitAnswer::Elsewhere(Some(granters[0]));
        }
        if self.site.now_ms < instance.started_ms + GRANTS_AFTER_MS {
            return PermitAnswer::Elsewhere(None);
        }
        let Some(rate) = instance.limits.of(self.server) else {
            return PermitAnswer::Granted;
        };
        let share = instance.table.permit_share(&home, now);
        let granter = &mut self.desks[place].granter;
        let granter = granter.get_or_insert_with(|| PermitGranter::new(rate, now));
        granter.set_rate(rate);
        for ago_ms in &ask.sent_ms_ago {
            granter.record_sent(Duration::from_millis(u64::from(*ago_ms)), now);
        }
        let Some(urgency) = ask.urgency else {
            return PermitAnswer::Granted;
        };
        match granter.take(urgency, share, now) {
            Ok(()) => PermitAnswer::Granted,
            Err(refusal) => PermitAnswer::Refused(refusal),
        }
    }

    fn answered(&mut self, number: u64) {
        let Some(question) = self.questions.remove(&number) else {
            return;
        };
        let Some(request) = question.request else {
            return;
        };
        if !self.site.instances[question.from].is_up {
            return;
        }
        match question.answer.expect("an answer") {
            PermitAnswer::Granted => {
                let asked_at = self.site.start + Duration::from_millis(request.asked_ms);
                let permit = Permit::requested_at(self.server, asked_at);
                if permit.allows(self.server, self.site.now()) {
                    self.send(request);
                }
            }
            PermitAnswer::Refused(refusal) => self.note_refused(request, refusal),
            PermitAnswer::Elsewhere(Some(other)) if question.others.len() == 1 => {
                self.ask_next(question.from, question.ask, Some(request), vec![other]);
            }
            PermitAnswer::Elsewhere(_) => {
                self.ask_next(question.from, question.ask, Some(request), Vec::new());
            }
        }
    }

    fn unanswered(&mut self, number: u64) {
        if let Some(question) = self.questions.remove(&number) {
            self.ask_next(
                question.from,
                question.ask,
                question.request,
                question.others,
            );
        }
    }

    fn note_refused(&mut self, request: Request, refusal: PermitRefusal) {
        let chance = self.rng.random_range(0.0..1.0);
        let now = self.site.now();
        self.desks[request.place].book.record_refusal(
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
        if self.site.cut == Some(HOME) && self.site.instances[request.place].domain != HOME {
            return;
        }
        self.push(DELAY_MS, Event::Arrives(request.place));
    }

    fn arrives(&mut self, place: usize) {
        let now_ms = self.site.now_ms;
        self.arrivals.push((now_ms, place));
        if self.limit_per_s.is_some() {
            self.first_named_ms
                .get_or_insert(now_ms + SERVING_MS + DELAY_MS);
        }
        let centi_per_s = self.limit_per_s.map(|per_s| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let centi = (per_s * 100.0).round() as u32;
            centi
        });
        let answered = Event::ServerAnswered {
            place,
            sent_ms: now_ms - DELAY_MS,
            centi_per_s,
        };
        self.push(SERVING_MS + DELAY_MS, answered);
    }

    fn server_answered(&mut self, place: usize, sent_ms: u64, centi_per_s: Option<u32>) {
        let now = self.site.now();
        let sent_at: Instant = self.site.start + Duration::from_millis(sent_ms);
        let instance = &mut self.site.instances[place];
        let rate = centi_per_s.and_then(|centi| RequestRate::from_per_s(f64::from(centi) / 100.0));
        if rate.is_some() {
            self.told_ms.entry(place).or_insert(self.site.now_ms);
        }
        let change = match rate {
            Some(rate) => instance.limits.record_limit(self.server, rate, now),
            None => instance.limits.record_unlimited(self.server, sent_at, now),
        };
        if change.is_some() {
            self.desks[place].book.clear_refusal(self.server);
            self.ask(place, None);
        }
    }
}
