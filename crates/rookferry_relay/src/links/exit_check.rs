//! Checks this instance's own path before a refusal counts as a server's exit.

use std::time::Duration;

use rand::seq::SliceRandom;
use rookferry_core::BackendServer;
use rookferry_core::ServerKey;
use rookferry_wire::ServiceId;

use crate::relay::Relay;

/// Servers of the service, and of other services, that are connected to until one shows
/// that the path works.
const MAX_SERVERS: usize = 3;
const MAX_OTHER_SERVERS: usize = 2;
/// Timeout of such a connect.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// What connects to other servers than the one that refused show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnPath {
    /// Another server of the service accepts connections, so that the refusal is the word
    /// of that server alone. Also if there is no other server to ask.
    Sound,
    /// All those asked refuse, but servers of other services accept connections: the
    /// service's servers have exited, or the path to all of them is cut.
    Doubtful,
    /// No server accepts connections.
    Unsound,
}

/// A server to connect to.
struct Candidate {
    service: ServiceId,
    server: ServerKey,
    is_near: bool,
    is_unresponsive: bool,
}

impl Relay {
    /// Checks the own path to a service, one of whose servers refuses connections.
    pub(super) async fn check_own_path(&self, service: &ServiceId, refusing: ServerKey) -> OwnPath {
        let same = self.candidates(refusing, |server| server.service == *service);
        let has_same = !same.is_empty();
        if self.any_accepts(same.into_iter().take(MAX_SERVERS)).await {
            return OwnPath::Sound;
        }
        let others = self.candidates(refusing, |server| server.service != *service);
        if !has_same && others.is_empty() {
            return OwnPath::Sound;
        }
        let others = others.into_iter().take(MAX_OTHER_SERVERS);
        if self.any_accepts(others).await {
            return OwnPath::Doubtful;
        }
        OwnPath::Unsound
    }

    /// Whether one of some servers accepts a connection, which is kept.
    async fn any_accepts(&self, candidates: impl Iterator<Item = Candidate>) -> bool {
        for Candidate {
            service, server, ..
        } in candidates
        {
            let connecting = self.links.connector.connect(server.addr);
            let connected = tokio::time::timeout(CHECK_TIMEOUT, connecting).await;
            if let Ok(Ok(stream)) = connected {
                self.path_worked(&service, server);
                self.keep_stream(&service, server, stream).await;
                return true;
            }
        }
        false
    }

    /// Servers to connect to in place of the refusing one, those that answer first. The
    /// first is in its failure domain, the next in others, as a domain may fail as a whole.
    fn candidates(
        &self,
        refusing: ServerKey,
        is_asked: impl Fn(&BackendServer) -> bool,
    ) -> Vec<Candidate> {
        let view = self.view.load();
        let Some(table) = &view.servers else {
            return Vec::new();
        };
        let domain = view.server(refusing).map(|entry| &entry.domain);
        let health = self.states.health();
        let asked = table.all().iter().filter(|server| {
            is_asked(server) && server.key.addr != refusing.addr && !self.states.is_leaving(server)
        });
        let candidates = asked.map(|server| Candidate {
            service: server.service.clone(),
            server: server.key,
            is_near: Some(&server.domain) == domain,
            is_unresponsive: health.is_unresponsive(server.key),
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.shuffle(&mut rand::rng());
        candidates.sort_by_key(|candidate| (candidate.is_unresponsive, candidate.is_near));
        let mut places = candidates.iter();
        if let Some(nearest) =
            places.position(|candidate| candidate.is_near && !candidate.is_unresponsive)
        {
            candidates.swap(0, nearest);
        }
        candidates
    }
}
