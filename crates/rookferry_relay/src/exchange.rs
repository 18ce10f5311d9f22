//! Exchanges with backend servers: all that reaches one goes through here.

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

/// What an answer says of its server, beside what it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServerNotice {
    /// The backoff that it asks this instance for.
    backoff: Option<Duration>,
    /// Whether it takes no new work any more.
    is_leaving: bool,
    /// What it says of the requests that it takes.
    limit: LimitNotice,
}

/// What an answer says of the requests a second that its server takes of all
/// instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum LimitNotice {
    /// Nothing that reads.
    #[default]
    Unclear,
    /// It names none.
    None,
    Named(RequestRate),
}

/// For whom something is sent to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose<'a> {
    /// A caller, whose request passes servers with these permits.
    CallerRequest(&'a PathPermits),
    /// The instance itself; servers with a limit are told of it, not asked.
    OwnCall,
}

impl Relay {
    /// Sends a request and waits for the answer's head.
    ///
    /// `may_send` is asked when a connection is there, right before the first
    /// byte leaves. What servers said meanwhile holds for it too.
    pub(crate) async fn send(
        &self,
        upstream: Upstream,
        request: Request<Full<Bytes>>,
        purpose: Purpose<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let server = upstream.server;
        let may_send = || {
            self.check_wanted(server, purpose)?;
            may_send().then_some(()).ok_or(UpstreamError::Withdrawn)?;
            self.note_sent(server, purpose);
            Ok(())
        };
        self.check_wanted(server, purpose)?;
        let sent_at = clock::now();
        let mut answer = self.pool.send(upstream, request, may_send).await?;
        let notice = self.read_notice(server, answer.status, &answer.headers);
        answer.backoff = notice.backoff;
        self.take_notice(server, notice);
        self.take_limit(server, notice.limit, purpose, sent_at);
        Ok(answer)
    }

    /// Whether servers take something now, by what they said.
    fn check_wanted(&self, server: ServerKey, purpose: Purpose<'_>) -> Result<(), UpstreamError> {
        if let Some(left) = self.beliefs.backoff_left(server) {
            let addr = server.addr;
            return Err(UpstreamError::BackedOff { addr, left });
        }
        let Purpose::CallerRequest(permits) = purpose else {
            return Ok(());
        };
        let missing = permits.missing(&self.beliefs.limits(), clock::now());
        match missing {
            Some(limited) => Err(UpstreamError::NotPermitted { addr: limited.addr }),
            None => Ok(()),
        }
    }

    /// Something leaves for a server; what has no permit is told to its granter once
    /// there is a limit.
    fn note_sent(&self, server: ServerKey, purpose: Purpose<'_>) {
        match purpose {
            Purpose::OwnCall => self.permits.book().note_sent(server, clock::now()),
            Purpose::CallerRequest(permits) => self.note_passed(permits),
        }
    }

    /// A request passes servers.
    pub(crate) fn note_passed(&self, permits: &PathPermits) {
        let now = clock::now();
        let mut book = self.permits.book();
        for server in permits.unpermitted(now) {
            book.note_sent(server, now);
        }
    }

    /// Sends a call of the relay's own and reads the whole answer.
    pub(crate) async fn call(
        &self,
        upstream: Upstream,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<WholeAnswer, UpstreamError> {
        let addr = upstream.server.addr;
        let whole = async {
            let answer = self
                .send(upstream, request, Purpose::OwnCall, || true)
                .await?;
            answer.collect(addr).await
        };
        let Ok(answer) = tokio::time::timeout(wait, whole).await else {
            let message = format!("nothing within {} ms", wait.as_millis());
            return Err(UpstreamError::Lost { addr, message });
        };
        answer
    }

    /// What an answer says of its server; what doesn't read says nothing.
    fn read_notice(
        &self,
        server: ServerKey,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ServerNotice {
        let mut notice = ServerNotice::default();
        match self.protocol.says_leaving(headers) {
            Ok(is_leaving) => notice.is_leaving = is_leaving,
            Err(error) => self.note_unreadable(server, &error),
        }
        match self.protocol.named_limit(headers) {
            Ok(named) => {
                let rate = named.and_then(RequestRate::bounded);
                notice.limit = rate.map_or(LimitNotice::None, LimitNotice::Named);
            }
            Err(error) => self.note_unreadable(server, &error),
        }
        // Other answers may have it for whoever sent the request.
        if status == StatusCode::SERVICE_UNAVAILABLE {
            match parse_retry_after(headers) {
                Ok(backoff) => notice.backoff = backoff,
                Err(error) => self.note_unreadable(server, &error),
            }
        }
        notice
    }

    /// Takes in what an answer says of its server.
    fn take_notice(&self, server: ServerKey, notice: ServerNotice) {
        if let Some(asked) = notice.backoff {
            self.back_off(server, asked);
        }
        if notice.is_leaving {
            self.server_leaves(server);
        }
    }

    /// Takes in what an answer says of its server's limit. Answers to the instance's
    /// own calls may have none while there is one.
    fn take_limit(
        &self,
        server: ServerKey,
        limit: LimitNotice,
        purpose: Purpose<'_>,
        sent_at: Instant,
    ) {
        let now = clock::now();
        let change = match (limit, purpose) {
            (LimitNotice::Named(rate), _) => self
                .beliefs
                .update_limits(|limits| limits.named(server, rate, now)),
            (LimitNotice::None, Purpose::CallerRequest(_))
                if self.beliefs.limits().of(server).is_some() =>
            {
                self.beliefs
                    .update_limits(|limits| limits.not_named(server, sent_at, now))
            }
            _ => None,
        };
        if let Some(change) = change {
            self.note_limit(server, change, "own");
        }
    }

    /// A server asked this instance for a backoff.
    pub(crate) fn back_off(&self, server: ServerKey, asked: Duration) {
        let kept = self.beliefs.back_off(server, asked);
        counter!("rookferry_server_backoffs_total").increment(1);
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server asked for a backoff";
                "event" => "server_backoff", "server" => %server.addr,
                "asked_ms" => millis(asked), "kept_ms" => millis(kept));
        }
    }

    /// A server said that it leaves. Its entry tells so later, or not at all.
    fn server_leaves(&self, server: ServerKey) {
        if !self.beliefs.note_leaving(server) {
            return;
        }
        let view = self.view.load();
        let entry = view.server(server);
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "health: a server says that it leaves"; "event" => "server_leaving",
                "server" => entry.map(|entry| entry.id.to_string()),
                "addr" => %server.addr, "source" => "own");
        }
        self.note_fleet_change();
        self.versions.send_modify(|changes| *changes += 1);
    }

    fn note_unreadable(&self, server: ServerKey, error: &dyn std::error::Error) {
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "health: what a server says of itself doesn't read";
                "event" => "notice_unreadable", "server" => %server.addr, "cause" => %error);
        }
    }
}
