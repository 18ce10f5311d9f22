//! All HTTP exchanges with backend servers: callers' requests and the relay's own
//! calls.
//!
//! Before sending, backoffs and permits are checked. Each answer is read for what the
//! server states about itself: a backoff, a request limit, or that it is leaving.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use metrics::counter;
use rookferry_core::RequestRate;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use rookferry_net::parse_retry_after;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::permits::PathPermits;
use crate::relay::Relay;
use crate::upstream::Upstream;
use crate::upstream::UpstreamAnswer;
use crate::upstream::UpstreamError;
use crate::upstream::WholeAnswer;

/// What an answer's head states about its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServerNotice {
    /// The backoff that the server asks this instance for.
    backoff: Option<Duration>,
    /// Whether the server is leaving and takes no new work.
    is_leaving: bool,
    /// The server's request limit.
    limit: LimitNotice,
}

/// An answer's statement of the requests per second that its server takes from all
/// instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum LimitNotice {
    /// The header is invalid.
    #[default]
    Invalid,
    /// No limit is stated.
    None,
    Named(RequestRate),
}

/// Why something is sent to a server, which decides whether it needs permits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose<'a> {
    /// A caller's request, with the permits of its path.
    CallerRequest(&'a PathPermits),
    /// A call of the relay's own; it needs no permit, and is reported to the granter.
    OwnCall,
}

impl Relay {
    /// Sends a request, waits for the answer's head and applies its notices.
    ///
    /// `may_send` is called with a connection at hand, right before the first byte is
    /// sent. Backoffs and permits are checked again at that point.
    pub(crate) async fn send(
        &self,
        upstream: &Upstream,
        request: Request<Full<Bytes>>,
        purpose: Purpose<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let server = upstream.server;
        let may_send = || {
            self.check_sendable(server, purpose)?;
            may_send().then_some(()).ok_or(UpstreamError::Withdrawn)?;
            self.record_sent(server, purpose);
            Ok(())
        };
        self.check_sendable(server, purpose)?;
        let sent_at = clock::now();
        let mut answer = self.send_over_link(upstream, request, may_send).await?;
        let notice = self.read_notice(server, answer.status, &answer.headers);
        answer.backoff = notice.backoff;
        self.apply_notice(server, notice);
        self.apply_limit(server, notice.limit, purpose, sent_at);
        Ok(answer)
    }

    /// Fails if a backoff holds for the server or a permit is missing.
    fn check_sendable(&self, server: ServerKey, purpose: Purpose<'_>) -> Result<(), UpstreamError> {
        if let Some(left) = self.states.backoff_left(server) {
            let addr = server.addr;
            return Err(UpstreamError::BackedOff { addr, left });
        }
        let Purpose::CallerRequest(permits) = purpose else {
            return Ok(());
        };
        let missing = permits.missing_permit(&self.states.limits(), clock::now());
        match missing {
            Some(limited) => Err(UpstreamError::NotPermitted { addr: limited.addr }),
            None => Ok(()),
        }
    }

    /// Records a send without a permit, which is reported to the granter once the
    /// server has a limit.
    fn record_sent(&self, server: ServerKey, purpose: Purpose<'_>) {
        match purpose {
            Purpose::OwnCall => self.permits.tracker().record_sent(server, clock::now()),
            Purpose::CallerRequest(permits) => self.record_unpermitted(permits),
        }
    }

    /// Records that a request passes the servers of its path without a valid permit.
    pub(crate) fn record_unpermitted(&self, permits: &PathPermits) {
        let now = clock::now();
        let mut tracker = self.permits.tracker();
        for server in permits.unpermitted(now) {
            tracker.record_sent(server, now);
        }
    }

    /// Sends a call of the relay's own and reads the whole answer within `wait`.
    pub(crate) async fn call(
        &self,
        upstream: &Upstream,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<WholeAnswer, UpstreamError> {
        let addr = upstream.server.addr;
        let whole = async {
            let answer = self
                .send(upstream, request, Purpose::OwnCall, || true)
                .await?;
            answer.collect_internal(addr).await
        };
        let Ok(answer) = tokio::time::timeout(wait, whole).await else {
            let message = format!("timed out after {} ms", wait.as_millis());
            return Err(UpstreamError::Lost { addr, message });
        };
        answer
    }

    /// Reads an answer's notices; invalid ones are logged and ignored.
    fn read_notice(
        &self,
        server: ServerKey,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ServerNotice {
        let mut notice = ServerNotice::default();
        match self.protocol.reports_leaving(headers) {
            Ok(is_leaving) => notice.is_leaving = is_leaving,
            Err(error) => self.log_invalid_notice(server, &error),
        }
        match self.protocol.reported_limit(headers) {
            Ok(named) => {
                let rate = named.and_then(RequestRate::from_per_s);
                notice.limit = rate.map_or(LimitNotice::None, LimitNotice::Named);
            }
            Err(error) => self.log_invalid_notice(server, &error),
        }
        // With other statuses `Retry-After` may be meant for the caller.
        if status == StatusCode::SERVICE_UNAVAILABLE {
            match parse_retry_after(headers) {
                Ok(backoff) => notice.backoff = backoff,
                Err(error) => self.log_invalid_notice(server, &error),
            }
        }
        notice
    }

    /// Applies a notice's backoff and departure.
    fn apply_notice(&self, server: ServerKey, notice: ServerNotice) {
        if let Some(asked) = notice.backoff {
            self.back_off(server, asked);
        }
        if notice.is_leaving {
            self.record_leaving(server);
        }
    }

    /// Applies a notice's limit. Answers to the relay's own calls may omit a limit
    /// that is in force.
    fn apply_limit(
        &self,
        server: ServerKey,
        limit: LimitNotice,
        purpose: Purpose<'_>,
        sent_at: Instant,
    ) {
        let now = clock::now();
        let change = match (limit, purpose) {
            (LimitNotice::Named(rate), _) => self
                .states
                .update_limits(|limits| limits.record_limit(server, rate, now)),
            (LimitNotice::None, Purpose::CallerRequest(_))
                if self.states.limits().of(server).is_some() =>
            {
                self.states
                    .update_limits(|limits| limits.record_unlimited(server, sent_at, now))
            }
            _ => None,
        };
        if let Some(change) = change {
            self.record_limit_change(server, change, "own");
        }
    }

    /// Starts a backoff that a server asked this instance for.
    pub(crate) fn back_off(&self, server: ServerKey, asked: Duration) {
        let applied = self.states.back_off(server, asked);
        counter!("rookferry_server_backoffs_total").increment(1);
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server asked for a backoff";
                "event" => "server_backoff", "server" => %server.addr,
                "asked_ms" => millis(asked), "kept_ms" => millis(applied));
        }
    }

    /// Records that a server stated it is leaving. Its directory entry shows that
    /// later or never.
    fn record_leaving(&self, server: ServerKey) {
        if !self.states.record_leaving(server) {
            return;
        }
        let view = self.view.load();
        let entry = view.server(server);
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server reports that it is leaving"; "event" => "server_leaving",
                "server" => entry.map(|entry| entry.id.to_string()),
                "addr" => %server.addr, "source" => "own");
        }
        self.signal_fleet_change();
        self.urgent_changes.send_modify(|changes| *changes += 1);
    }

    /// Logs a header about the server that can't be parsed.
    fn log_invalid_notice(&self, server: ServerKey, error: &dyn std::error::Error) {
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "health: a server's notice header is invalid";
                "event" => "notice_unreadable", "server" => %server.addr, "cause" => %error);
        }
    }
}
