//! Permits to send to servers that named a limit for all instances together.
//!
//! One instance grants them ([`rookferry_core::PermitGranter`]); the others ask it
//! by a datagram right before they send. An answer that doesn't come in time, or
//! a permit that isn't used, is a request that isn't sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use rookferry_core::LimitChange;
use rookferry_core::LimitSeen;
use rookferry_core::Permit;
use rookferry_core::PermitAnswer;
use rookferry_core::PermitAsk;
use rookferry_core::PermitBook;
use rookferry_core::PermitGranter;
use rookferry_core::PermitRefusal;
use rookferry_core::RequestRate;
use rookferry_core::ServerKey;
use rookferry_core::ServerLimits;
use rookferry_net::clock;
use rookferry_wire::DomainId;
use slog::info;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::mutex::lock;
use crate::peers::PeerDatagram;
use crate::relay::Relay;
use crate::request::CallerRequest;

/// How long the answer to a question may take; between domains of a site it takes
/// a millisecond or two, and more where the one that answers is short of processor.
const PATIENCE: Duration = Duration::from_millis(80);
/// Instances that are asked for one permit: the granter, and another where that one
/// is silent or says that it isn't.
const MAX_ASKED: usize = 2;
/// The age from which an instance grants: it knows by then who else does.
const GRANTS_AFTER: Duration = Duration::from_secs(1);
/// What is taken for a refusal where nobody grants.
const NOBODY_GRANTS: PermitRefusal = PermitRefusal {
    ask_again_ms: 150,
    spread_ms: 1_000,
};
/// Most of what was sent that one question tells; the rest is older than it would
/// count for long.
const MAX_SENT_TOLD: usize = 256;

/// The servers that a request passes, and the permits for those with a limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathPermits {
    servers: Vec<ServerKey>,
    permits: Vec<Permit>,
}

impl PathPermits {
    /// A server with a limit that there is no good permit for.
    pub(crate) fn missing(&self, limits: &ServerLimits, now: Instant) -> Option<ServerKey> {
        let allows = |server| self.permits.iter().any(|one| one.allows(server, now));
        let mut limited = self
            .servers
            .iter()
            .filter(|server| limits.of(**server).is_some());
        limited.find(|server| !allows(**server)).copied()
    }

    /// The servers without a permit.
    pub(crate) fn unpermitted(&self, now: Instant) -> impl Iterator<Item = ServerKey> {
        let servers = self.servers.iter().copied();
        servers.filter(move |server| !self.permits.iter().any(|one| one.allows(*server, now)))
    }
}

/// Asks for permits, and grants them.
#[derive(Debug)]
pub(crate) struct Permits {
    socket: OnceLock<Arc<UdpSocket>>,
    last_number: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    granters: Mutex<HashMap<ServerKey, Granter>>,
    book: Mutex<PermitBook>,
}

/// What this instance grants for one server.
#[derive(Debug)]
struct Granter {
    permits: PermitGranter,
    /// The part of the limit that it grants.
    share: f64,
}

/// A permit that was refused.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// By whom; nobody where none was found that grants.
    granter: Option<SocketAddr>,
    refusal: PermitRefusal,
}

/// A question that waits for its answer, until it is dropped.
struct Waiting<'a> {
    permits: &'a Permits,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.permits.waiting).remove(&self.number);
    }
}

impl Permits {
    /// Nothing asked and nothing granted. Questions are numbered from `first` on, so
    /// that late answers to a former process answer none.
    pub(crate) fn new(first: u64) -> Self {
        Self {
            socket: OnceLock::new(),
            last_number: AtomicU64::new(first),
            waiting: Mutex::default(),
            granters: Mutex::default(),
            book: Mutex::default(),
        }
    }

    /// Asks and answers through a socket from now on.
    pub(crate) fn attach(&self, socket: Arc<UdpSocket>) {
        self.socket.get_or_init(|| socket);
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, PermitBook> {
        lock(&self.book)
    }

    /// An answer came.
    pub(crate) fn answered(&self, number: u64, answer: PermitAnswer) {
        if let Some(waiting) = lock(&self.waiting).remove(&number) {
            // The question may have been given up.
            let _ = waiting.send(answer);
        }
    }

    /// Forgets servers that `is_known` doesn't know.
    pub(crate) fn retain(&self, is_known: impl Fn(ServerKey) -> bool) {
        lock(&self.granters).retain(|server, _| is_known(*server));
    }

    /// Asks another instance; nothing if it doesn't answer in time.
    async fn ask(&self, to: SocketAddr, ask: &PermitAsk) -> Option<PermitAnswer> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(ask.number, sender);
        let _waiting = Waiting {
            permits: self,
            number: ask.number,
        };
        self.send(to, &PeerDatagram::Ask(ask.clone()));
        tokio::time::timeout(PATIENCE, receiver).await.ok()?.ok()
    }

    pub(crate) fn send(&self, to: SocketAddr, datagram: &PeerDatagram<()>) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Ok(bytes) = postcard::to_stdvec(datagram) {
            // A full queue or a dead member; whoever asks goes on without.
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

impl Relay {
    /// The permits for a request to pass some servers, or none if one of them takes no
    /// more now.
    pub(crate) async fn permits_for(
        &self,
        request: &CallerRequest,
        servers: Vec<ServerKey>,
    ) -> Option<PathPermits> {
        let mut permits = Vec::new();
        for server in &servers {
            if let Some(rate) = self.states.limits().of(*server) {
                permits.push(self.permit(request, *server, rate).await?);
            }
        }
        Some(PathPermits { servers, permits })
    }

    async fn permit(
        &self,
        request: &CallerRequest,
        server: ServerKey,
        rate: RequestRate,
    ) -> Option<Permit> {
        let asked_at = clock::now();
        let refused = self
            .permits
            .book()
            .refused_until(server, request.urgency, asked_at);
        if refused.is_some() {
            return None;
        }
        let mut ask = self.question(server, rate, asked_at);
        ask.urgency = Some(request.urgency);
        let outcome = self.ask_granters(ask).await;
        let Err(refused) = outcome else {
            counter!("rookferry_permits_total", "outcome" => "granted").increment(1);
            return Some(Permit::asked_at(server, asked_at));
        };
        counter!("rookferry_permits_total", "outcome" => "refused").increment(1);
        self.note_refused(request, server, rate, refused);
        None
    }

    fn note_refused(
        &self,
        request: &CallerRequest,
        server: ServerKey,
        rate: RequestRate,
        refused: Refused,
    ) {
        let Refused { granter, refusal } = refused;
        let chance = rand::random();
        let now = clock::now();
        self.permits
            .book()
            .note_refused(server, request.urgency, refusal, chance, now);
        if let Some(log) = self.events.line(Weight::Routine) {
            let limits = self.states.limits();
            info!(log, "request: a server with a limit takes no more now";
                "event" => "permit_refused", "request" => &request.attempt,
                "server" => %server.addr, "limit_per_s" => rate.per_s(),
                "limit_age_ms" => limits.age(server, now).map(millis),
                "granter" => granter.map(|granter| granter.to_string()),
                "ask_again_ms" => refusal.ask_again_ms);
        }
    }

    /// A question that only tells what was sent.
    fn question(&self, server: ServerKey, rate: RequestRate, now: Instant) -> PermitAsk {
        let age = self.states.limits().age(server, now);
        let mut sent_ms_ago = self.permits.book().take_sent(server, now);
        sent_ms_ago.truncate(MAX_SENT_TOLD);
        PermitAsk {
            number: self.permits.last_number.fetch_add(1, Ordering::Relaxed),
            seen: LimitSeen {
                server,
                rate: Some(rate),
                age_ms: age.map_or(0, millis),
            },
            urgency: None,
            sent_ms_ago,
        }
    }

    /// Asks the instance that grants.
    async fn ask_granters(&self, ask: PermitAsk) -> Result<(), Refused> {
        let server = ask.seen.server;
        let domain = self.domain_of(server);
        let granters = lock(&self.peers).permit_granters(server, &domain, clock::now());
        let mut granters = granters.into_iter();
        let mut next = granters.next();
        for _ in 0..MAX_ASKED {
            let Some(granter) = next else {
                break;
            };
            let answer = if granter == self.settings.listen.peers {
                Some(self.answer_ask(&ask))
            } else {
                self.permits.ask(granter, &ask).await
            };
            match answer {
                Some(PermitAnswer::Granted) => return Ok(()),
                Some(PermitAnswer::Refused(refusal)) => {
                    let granter = Some(granter);
                    return Err(Refused { granter, refusal });
                }
                Some(PermitAnswer::Elsewhere(other)) => next = other,
                None => next = granters.next(),
            }
        }
        Err(Refused {
            granter: None,
            refusal: NOBODY_GRANTS,
        })
    }

    /// Another instance's question, or this one's own.
    pub(crate) fn answer_ask(&self, ask: &PermitAsk) -> PermitAnswer {
        let server = ask.seen.server;
        let now = clock::now();
        let change = self
            .states
            .update_limits(|limits| limits.hear(ask.seen, now));
        if let Some(change) = change {
            self.note_limit(server, change, "question");
        }
        let domain = self.domain_of(server);
        let (first, share) = {
            let peers = lock(&self.peers);
            let first = peers.permit_granters(server, &domain, now).first().copied();
            (first, peers.permit_share(&domain, now))
        };
        if first != Some(self.settings.listen.peers) {
            return PermitAnswer::Elsewhere(first);
        }
        if self.age() < GRANTS_AFTER {
            return PermitAnswer::Elsewhere(None);
        }
        let Some(rate) = self.states.limits().of(server) else {
            return PermitAnswer::Granted;
        };
        self.grant(ask, rate, share, now)
    }

    fn grant(&self, ask: &PermitAsk, rate: RequestRate, share: f64, now: Instant) -> PermitAnswer {
        let server = ask.seen.server;
        let mut granters = lock(&self.permits.granters);
        let known_share = granters.get(&server).map(|granter| granter.share);
        let granter = granters.entry(server).or_insert_with(|| Granter {
            permits: PermitGranter::new(rate, now),
            share,
        });
        granter.share = share;
        granter.permits.set_rate(rate);
        for ago_ms in &ask.sent_ms_ago {
            let ago = Duration::from_millis(u64::from(*ago_ms));
            granter.permits.note_sent(ago, now);
        }
        let taken = ask
            .urgency
            .map(|urgency| granter.permits.take(urgency, share, now));
        drop(granters);
        if known_share != Some(share)
            && let Some(log) = self.events.line(Weight::Notable)
        {
            info!(log, "health: this instance grants the permits of a server";
                "event" => "permits_granted_here", "server" => %server.addr,
                "limit_per_s" => rate.per_s(), "share" => share, "share_before" => known_share);
        }
        match taken {
            Some(Err(refusal)) => PermitAnswer::Refused(refusal),
            _ => PermitAnswer::Granted,
        }
    }

    /// The failure domain whose instances grant a server's permits.
    fn domain_of(&self, server: ServerKey) -> DomainId {
        let view = self.view.load();
        let entry = view.server(server);
        let home = &self.settings.domain;
        entry.map_or(home, |entry| &entry.domain).clone()
    }

    /// A server's limit changed, by its own word or another instance's.
    pub(crate) fn note_limit(&self, server: ServerKey, change: LimitChange, source: &str) {
        self.permits.book().forget(server);
        let rate = match change {
            LimitChange::Named(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server's limit for all instances has changed";
                "event" => "server_limit", "server" => %server.addr,
                "limit_per_s" => rate.map(RequestRate::per_s), "source" => source,
                "age_ms" => self.states.limits().age(server, clock::now()).map(millis));
        }
        // Others are to know soon, also those that were never told by the server.
        self.urgent_changes.send_modify(|changes| *changes += 1);
    }

    /// Tells the granter of a server what this instance sent it lately, before the
    /// limit was known.
    pub(crate) fn tell_sent(self: &Arc<Self>, server: ServerKey) {
        let Some(rate) = self.states.limits().of(server) else {
            return;
        };
        let ask = self.question(server, rate, clock::now());
        if ask.sent_ms_ago.is_empty() {
            return;
        }
        let relay = self.clone();
        tokio::spawn(async move {
            // Without an answer it isn't known who counts it, and it is over soon.
            let _ = relay.ask_granters(ask).await;
        });
    }
}
