//! Permits to send to servers that state a request limit for all instances together.
//!
//! For each server one instance grants them ([`rookferry_core::PermitGranter`]); the
//! others ask it by a UDP datagram right before they send. A missing answer counts as
//! a refusal, and a permit that expires unused is lost. Requests that are sent without
//! a permit, such as probes and those before the limit was known, are reported to the
//! granter, which counts them against the limit.

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
use rookferry_core::LimitObservation;
use rookferry_core::Permit;
use rookferry_core::PermitAnswer;
use rookferry_core::PermitGranter;
use rookferry_core::PermitRefusal;
use rookferry_core::PermitRequest;
use rookferry_core::PermitTracker;
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

/// Timeout for an answer. Between domains of a site it takes a millisecond or two,
/// and more where the answering instance is short of CPU.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Instances that are asked for one permit: the granter, and a second one if the first
/// doesn't answer or isn't the granter.
const MAX_INSTANCES_ASKED: usize = 2;
/// Age from which an instance grants; by then heartbeats have shown it the other
/// instances that may be the granter.
const MIN_GRANTER_AGE: Duration = Duration::from_secs(1);
/// The refusal where no granter answered.
const NO_GRANTER: PermitRefusal = PermitRefusal {
    ask_again_ms: 150,
    spread_ms: 1_000,
};
/// Most unpermitted sends that are reported in one request; older ones would soon
/// stop counting against the limit.
const MAX_SENT_REPORTED: usize = 256;

/// The servers of a request's path, and the permits for those with a limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathPermits {
    servers: Vec<ServerKey>,
    permits: Vec<Permit>,
}

impl PathPermits {
    /// A server with a limit and without a valid permit, if there is one.
    pub(crate) fn missing_permit(&self, limits: &ServerLimits, now: Instant) -> Option<ServerKey> {
        let allows = |server| self.permits.iter().any(|one| one.allows(server, now));
        let mut limited = self
            .servers
            .iter()
            .filter(|server| limits.of(**server).is_some());
        limited.find(|server| !allows(**server)).copied()
    }

    /// The servers without a valid permit.
    pub(crate) fn unpermitted(&self, now: Instant) -> impl Iterator<Item = ServerKey> {
        let servers = self.servers.iter().copied();
        servers.filter(move |server| !self.permits.iter().any(|one| one.allows(*server, now)))
    }
}

/// State of requesting permits from other instances and of granting them.
#[derive(Debug)]
pub(crate) struct Permits {
    socket: OnceLock<Arc<UdpSocket>>,
    last_number: AtomicU64,
    pending: Mutex<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    granters: Mutex<HashMap<ServerKey, Granter>>,
    tracker: Mutex<PermitTracker>,
}

/// This instance's granter for one server.
#[derive(Debug)]
struct Granter {
    permits: PermitGranter,
    /// Share of the limit that it grants, up to 1.
    share: f64,
}

/// A refused permit.
#[derive(Clone, Copy, Debug)]
struct RefusedPermit {
    /// Address of the refusing instance; none where no granter answered.
    granter: Option<SocketAddr>,
    refusal: PermitRefusal,
}

/// Registration of a request that awaits its answer; removed on drop.
struct PendingRequest<'a> {
    permits: &'a Permits,
    number: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.permits.pending).remove(&self.number);
    }
}

impl Permits {
    /// Creates an empty state. Requests are numbered from `first` on, which should be
    /// random, so that late answers to a former process match none of them.
    pub(crate) fn new(first: u64) -> Self {
        Self {
            socket: OnceLock::new(),
            last_number: AtomicU64::new(first),
            pending: Mutex::default(),
            granters: Mutex::default(),
            tracker: Mutex::default(),
        }
    }

    /// Sets the socket for requests and answers; later calls have no effect.
    pub(crate) fn attach(&self, socket: Arc<UdpSocket>) {
        self.socket.get_or_init(|| socket);
    }

    /// Locks the record of refused permits and unpermitted sends.
    pub(crate) fn tracker(&self) -> MutexGuard<'_, PermitTracker> {
        lock(&self.tracker)
    }

    /// Passes a received answer to the request with its number.
    pub(crate) fn deliver_answer(&self, number: u64, answer: PermitAnswer) {
        if let Some(pending) = lock(&self.pending).remove(&number) {
            // The receiver may have timed out.
            let _ = pending.send(answer);
        }
    }

    /// Drops the granters of servers for which `is_known` is false.
    pub(crate) fn retain(&self, is_known: impl Fn(ServerKey) -> bool) {
        lock(&self.granters).retain(|server, _| is_known(*server));
    }

    /// Asks another instance; none if it doesn't answer in time.
    async fn request_from(
        &self,
        to: SocketAddr,
        permit_request: &PermitRequest,
    ) -> Option<PermitAnswer> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending).insert(permit_request.number, sender);
        let _pending = PendingRequest {
            permits: self,
            number: permit_request.number,
        };
        self.send(to, &PeerDatagram::Ask(permit_request.clone()));
        tokio::time::timeout(ANSWER_TIMEOUT, receiver)
            .await
            .ok()?
            .ok()
    }

    /// Sends a datagram; a failure to send counts as a lost datagram.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &PeerDatagram<()>) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Ok(bytes) = postcard::to_stdvec(datagram) {
            // The send queue may be full or the peer dead; the requester times out.
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

impl Relay {
    /// The permits for a request to pass some servers; none if one of them was refused.
    pub(crate) async fn permits_for(
        &self,
        request: &CallerRequest,
        servers: Vec<ServerKey>,
    ) -> Option<PathPermits> {
        let mut permits = Vec::new();
        for server in &servers {
            if let Some(rate) = self.states.limits().of(*server) {
                permits.push(self.request_permit(request, *server, rate).await?);
            }
        }
        Some(PathPermits { servers, permits })
    }

    /// Requests one permit, unless a recent refusal still holds.
    async fn request_permit(
        &self,
        request: &CallerRequest,
        server: ServerKey,
        rate: RequestRate,
    ) -> Option<Permit> {
        let asked_at = clock::now();
        let refused = self
            .permits
            .tracker()
            .refused_until(server, request.urgency, asked_at);
        if refused.is_some() {
            return None;
        }
        let mut permit_request = self.new_permit_request(server, rate, asked_at);
        permit_request.urgency = Some(request.urgency);
        let outcome = self.request_from_granters(permit_request).await;
        let Err(refused) = outcome else {
            counter!("rookferry_permits_total", "outcome" => "granted").increment(1);
            return Some(Permit::requested_at(server, asked_at));
        };
        counter!("rookferry_permits_total", "outcome" => "refused").increment(1);
        self.record_refused_permit(request, server, rate, refused);
        None
    }

    /// Records and logs a refused permit.
    fn record_refused_permit(
        &self,
        request: &CallerRequest,
        server: ServerKey,
        rate: RequestRate,
        refused: RefusedPermit,
    ) {
        let RefusedPermit { granter, refusal } = refused;
        let chance = rand::random();
        let now = clock::now();
        self.permits
            .tracker()
            .record_refusal(server, request.urgency, refusal, chance, now);
        if let Some(log) = self.events.line(Weight::Routine) {
            let limits = self.states.limits();
            info!(log, "request: permit refused, the server's limit is reached";
                "event" => "permit_refused", "request" => &request.attempt,
                "server" => %server.addr, "limit_per_s" => rate.per_s(),
                "limit_age_ms" => limits.age(server, now).map(millis),
                "granter" => granter.map(|granter| granter.to_string()),
                "ask_again_ms" => refusal.ask_again_ms);
        }
    }

    /// Builds a message that reports unpermitted sends; without an urgency it requests
    /// no permit.
    fn new_permit_request(
        &self,
        server: ServerKey,
        rate: RequestRate,
        now: Instant,
    ) -> PermitRequest {
        let age = self.states.limits().age(server, now);
        let mut sent_ms_ago = self.permits.tracker().take_sent(server, now);
        sent_ms_ago.truncate(MAX_SENT_REPORTED);
        PermitRequest {
            number: self.permits.last_number.fetch_add(1, Ordering::Relaxed),
            seen: LimitObservation {
                server,
                rate: Some(rate),
                age_ms: age.map_or(0, millis),
            },
            urgency: None,
            sent_ms_ago,
        }
    }

    /// Sends a permit request to the granter, which may be this instance.
    async fn request_from_granters(
        &self,
        permit_request: PermitRequest,
    ) -> Result<(), RefusedPermit> {
        let server = permit_request.seen.server;
        let domain = self.granting_domain(server);
        let granters = lock(&self.peers).permit_granters(server, &domain, clock::now());
        let mut granters = granters.into_iter();
        let mut next = granters.next();
        for _ in 0..MAX_INSTANCES_ASKED {
            let Some(granter) = next else {
                break;
            };
            let answer = if granter == self.settings.listen.peers {
                Some(self.answer_permit_request(&permit_request))
            } else {
                self.permits.request_from(granter, &permit_request).await
            };
            match answer {
                Some(PermitAnswer::Granted) => return Ok(()),
                Some(PermitAnswer::Refused(refusal)) => {
                    let granter = Some(granter);
                    return Err(RefusedPermit { granter, refusal });
                }
                Some(PermitAnswer::Elsewhere(other)) => next = other,
                None => next = granters.next(),
            }
        }
        Err(RefusedPermit {
            granter: None,
            refusal: NO_GRANTER,
        })
    }

    /// Answers a permit request of another instance or of this one.
    ///
    /// The limit that it carries is taken over first. `Elsewhere` is returned if
    /// another instance is the granter, or this one started too recently to grant.
    pub(crate) fn answer_permit_request(&self, permit_request: &PermitRequest) -> PermitAnswer {
        let server = permit_request.seen.server;
        let now = clock::now();
        let change = self
            .states
            .update_limits(|limits| limits.merge(permit_request.seen, now));
        if let Some(change) = change {
            self.record_limit_change(server, change, "question");
        }
        let domain = self.granting_domain(server);
        let (first, share) = {
            let peers = lock(&self.peers);
            let first = peers.permit_granters(server, &domain, now).first().copied();
            (first, peers.permit_share(&domain, now))
        };
        if first != Some(self.settings.listen.peers) {
            return PermitAnswer::Elsewhere(first);
        }
        if self.age() < MIN_GRANTER_AGE {
            return PermitAnswer::Elsewhere(None);
        }
        let Some(rate) = self.states.limits().of(server) else {
            return PermitAnswer::Granted;
        };
        self.grant(permit_request, rate, share, now)
    }

    /// Counts the reported sends, and grants a permit if one is requested.
    fn grant(
        &self,
        permit_request: &PermitRequest,
        rate: RequestRate,
        share: f64,
        now: Instant,
    ) -> PermitAnswer {
        let server = permit_request.seen.server;
        let mut granters = lock(&self.permits.granters);
        let known_share = granters.get(&server).map(|granter| granter.share);
        let granter = granters.entry(server).or_insert_with(|| Granter {
            permits: PermitGranter::new(rate, now),
            share,
        });
        granter.share = share;
        granter.permits.set_rate(rate);
        for ago_ms in &permit_request.sent_ms_ago {
            let ago = Duration::from_millis(u64::from(*ago_ms));
            granter.permits.record_sent(ago, now);
        }
        let taken = permit_request
            .urgency
            .map(|urgency| granter.permits.take(urgency, share, now));
        drop(granters);
        if known_share != Some(share)
            && let Some(log) = self.events.line(Weight::Notable)
        {
            info!(log, "health: this instance grants the permits for a server";
                "event" => "permits_granted_here", "server" => %server.addr,
                "limit_per_s" => rate.per_s(), "share" => share, "share_before" => known_share);
        }
        match taken {
            Some(Err(refusal)) => PermitAnswer::Refused(refusal),
            _ => PermitAnswer::Granted,
        }
    }

    /// The failure domain whose instances grant a server's permits: the server's own,
    /// or this instance's for an unlisted server.
    fn granting_domain(&self, server: ServerKey) -> DomainId {
        let view = self.view.load();
        let entry = view.server(server);
        let home = &self.settings.domain;
        entry.map_or(home, |entry| &entry.domain).clone()
    }

    /// Logs and advertises a changed limit; `source` names where it came from.
    pub(crate) fn record_limit_change(&self, server: ServerKey, change: LimitChange, source: &str) {
        self.permits.tracker().clear_refusal(server);
        let rate = match change {
            LimitChange::Named(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server's request limit for all instances has changed";
                "event" => "server_limit", "server" => %server.addr,
                "limit_per_s" => rate.map(RequestRate::per_s), "source" => source,
                "age_ms" => self.states.limits().age(server, clock::now()).map(millis));
        }
        // Peers need the limit soon, also those that the server never answered.
        self.urgent_changes.send_modify(|changes| *changes += 1);
    }

    /// Reports to a server's granter what this instance recently sent without a permit.
    pub(crate) fn report_sent(self: &Arc<Self>, server: ServerKey) {
        let Some(rate) = self.states.limits().of(server) else {
            return;
        };
        let permit_request = self.new_permit_request(server, rate, clock::now());
        if permit_request.sent_ms_ago.is_empty() {
            return;
        }
        let relay = self.clone();
        tokio::spawn(async move {
            // A lost report is not repeated: the sends soon stop counting.
            let _ = relay.request_from_granters(permit_request).await;
        });
    }
}
