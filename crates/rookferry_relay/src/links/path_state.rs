//! Records which of this instance's paths to servers are broken, by whose evidence.

use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use rookferry_core::BrokenPath;
use rookferry_core::PathChange;
use rookferry_core::PathFailure;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use rookferry_wire::ServiceId;
use slog::info;
use slog::warn;

use crate::event_log::Weight;
use crate::event_log::millis;
use crate::relay::Relay;
use crate::upstream::Dial;
use crate::upstream::SentRecord;
use crate::upstream::Upstream;

/// How long ago an open connection may have broken to show that open ones don't work.
const RECENT_BREAK: Duration = Duration::from_secs(1);
/// Least time between two checks of a path for requests without an answer.
const PATH_CHECK_PAUSE: Duration = Duration::from_millis(300);

impl Relay {
    /// The broken path to a server; none if it works as far as is known.
    pub(crate) fn broken_path(&self, upstream: &Upstream) -> Option<BrokenPath> {
        let paths = self.links.paths();
        paths.broken(&upstream.service, upstream.server)
    }

    /// Whether the path to a server was found broken since a time, for open connections as
    /// well, so that what was sent before has no answer.
    pub(crate) fn path_broke_since(&self, upstream: &Upstream, time: Instant) -> bool {
        self.broken_path(upstream)
            .is_some_and(|path| path.failure == PathFailure::AllConnections && path.since >= time)
    }

    /// Records that a peer reaches a server while connections from here fail.
    pub(crate) fn path_broke(&self, service: &ServiceId, server: ServerKey, failure: PathFailure) {
        let now = clock::now();
        let answered_at = self.latest(service, |server| self.pool.answered_directly_at(server));
        let broke_at = self.latest(service, |server| self.pool.broke_directly_at(server));
        let has_open_broken = broke_at.is_some_and(|at| {
            now.saturating_duration_since(at) < RECENT_BREAK && Some(at) >= answered_at
        });
        let failure = if has_open_broken {
            PathFailure::AllConnections
        } else {
            failure
        };
        let change = self
            .links
            .paths()
            .broke(service, server, failure, answered_at, now);
        if change == PathChange::Known {
            return;
        }
        counter!("rookferry_paths_broken_total").increment(1);
        if let Some(log) = self.events.line(Weight::Notable) {
            warn!(log, "links: peers reach a server that this instance doesn't";
                "event" => "path_broken", "server" => %server.addr, "service" => &**service,
                "open_work" => failure == PathFailure::NewConnections,
                "isolated" => change == PathChange::Isolated,
                "answered_ms" => answered_at.map(|at| millis(clock::since(at))));
        }
        self.signal_fleet_change();
        if change == PathChange::Broken {
            self.links.has_broken.notify_one();
        }
        if change == PathChange::Isolated {
            self.urgent_changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Records that a server answered through a peer, and not directly since it was asked.
    /// A new connection shows at once whether only the open ones hang.
    pub(crate) fn answered_through_peer(&self, upstream: &Upstream, asked_at: Instant) {
        let answered_at = self.pool.answered_directly_at(upstream.server);
        if answered_at.is_some_and(|at| at >= asked_at) {
            return;
        }
        let (service, server) = (&upstream.service, upstream.server);
        self.path_broke(service, server, PathFailure::AllConnections);
        drop(self.start_direct(service, server));
    }

    /// Records that a connection to a server was opened directly.
    pub(super) fn path_worked(&self, service: &ServiceId, server: ServerKey) {
        if !self.links.paths().worked(service, server, clock::now()) {
            return;
        }
        if let Some(log) = self.events.line(Weight::Notable) {
            info!(log, "links: this instance reaches a server again"; "event" => "path_restored",
                "server" => %server.addr, "service" => &**service);
        }
        self.urgent_changes.send_modify(|changes| *changes += 1);
    }

    /// The latest of some times of a service's servers.
    fn latest(
        &self,
        service: &ServiceId,
        time_of: impl Fn(ServerKey) -> Option<Instant>,
    ) -> Option<Instant> {
        let view = self.view.load();
        let servers = view.servers.as_ref()?.of(service);
        servers.filter_map(|server| time_of(server.key)).max()
    }

    /// Whether a request was sent over a direct connection that has broken since, so that
    /// its answer won't come.
    pub(crate) fn is_cut_off(&self, upstream: &Upstream) -> bool {
        let sent_at = upstream.sent.direct_at();
        sent_at.is_some_and(|at| self.path_broke_since(upstream, at))
    }

    /// Checks the path of a request that was sent over a direct connection and has no
    /// answer; returns whether it is cut off.
    pub(crate) async fn is_answer_cut_off(&self, upstream: &Upstream) -> bool {
        let Some(sent_at) = upstream.sent.direct_at() else {
            return false;
        };
        let answered_at = self.pool.answered_directly_at(upstream.server);
        if answered_at.is_some_and(|at| at >= sent_at) {
            return false;
        }
        let is_unknown = self.broken_path(upstream).is_none();
        if is_unknown
            && self
                .pool
                .begin_path_check(upstream.server, PATH_CHECK_PAUSE)
        {
            // Another record than that of the request that is checked.
            let checked = Upstream {
                dial: Dial::New,
                sent: SentRecord::default(),
                ..upstream.clone()
            };
            // A failure shows as a broken path, or concerns the server.
            if let Ok(connection) = self.connection(&checked).await {
                connection.keep();
            }
        }
        self.is_cut_off(upstream)
    }
}
