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

impl Relay {
    /// Checks the own path to a service, one of whose servers refuses connections.
    pub(super) async fn check_own_path(&self, service: &ServiceId, refusing: ServerKey) -> OwnPath {
        let same = self.servers_to_check(refusing, |server| server.service == *service);
        let others = self.servers_to_check(refusing, |server| server.service != *service);
        if same.is_empty() && others.is_empty() {
            return OwnPath::Sound;
        }
        if self.any_accepts(&same[..same.len().min(MAX_SERVERS)]).await {
            return OwnPath::Sound;
        }
        if self
            .any_accepts(&others[..others.len().min(MAX_OTHER_SERVERS)])
            .await
        {
            return OwnPath::Doubtful;
        }
        OwnPath::Unsound
    }

    /// Whether one of some servers accepts a connection, which is kept.
    async fn any_accepts(&self, servers: &[BackendServer]) -> bool {
        for server in servers {
            let connecting = self.links.connector.connect(server.key.addr);
            let connected = tokio::time::timeout(CHECK_TIMEOUT, connecting).await;
            if let Ok(Ok(stream)) = connected {
                self.path_worked(&server.service, server.key);
                self.keep_stream(&server.service, server.key, stream).await;
                return true;
            }
        }
        false
    }

    /// Servers to connect to in place of the refusing one, those that answer first. The
    /// first is in its failure domain, the next in others, as a domain may fail as a whole.
    fn servers_to_check(
        &self,
        refusing: ServerKey,
        is_asked: impl Fn(&BackendServer) -> bool,
    ) -> Vec<BackendServer> {
        let view = self.view.load();
        let Some(table) = &view.servers else {
            return Vec::new();
        };
        let domain = view.server(refusing).map(|entry| entry.domain.clone());
        let health = self.states.health();
        let rank = |server: &BackendServer| {
            let is_near = Some(&server.domain) == domain.as_ref();
            (health.is_unresponsive(server.key), is_near)
        };
        let others = table.all().iter().filter(|server| {
            is_asked(server) && server.key.addr != refusing.addr && !self.states.is_leaving(server)
        });
        let mut others: Vec<BackendServer> = others.cloned().collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(rank);
        let nearest = others
            .iter()
            .position(|server| rank(server) == (false, true));
        if let Some(nearest) = nearest {
            others.swap(0, nearest);
        }
        others
    }
}
