//! Tests broken paths until they work again, and records late connects.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rookferry_core::ServerKey;
use rookferry_net::clock;
use rookferry_wire::ServiceId;

use super::OpenedStream;
use super::ServerStream;
use super::Way;
use super::dial::LateConnect;
use super::dial::failure_of;
use crate::relay::Relay;
use crate::upstream::Dial;

/// How often due tests are looked for.
const SCAN_INTERVAL: Duration = Duration::from_millis(150);

/// Runs until the process exits.
pub(crate) async fn monitor_paths(relay: Arc<Relay>) {
    let Some(mut late) = relay.links.take_late_receiver() else {
        return;
    };
    loop {
        tokio::select! {
            Some(connect) = late.recv() => relay.record_late_connect(connect).await,
            () = tokio::time::sleep(SCAN_INTERVAL) => relay.start_due_tests(),
            () = relay.links.has_broken.notified() => relay.check_other_paths(),
        }
    }
}

impl Relay {
    async fn record_late_connect(&self, connect: LateConnect) {
        let LateConnect {
            service,
            server,
            is_reached_by_peer,
            outcome,
        } = connect;
        match outcome {
            Ok(stream) => {
                self.path_worked(&service, server);
                self.keep_stream(&service, server, stream).await;
            }
            Err(error) if is_reached_by_peer => {
                self.path_broke(&service, server, failure_of(&error));
            }
            Err(_) => {}
        }
    }

    /// Checks one other path to each service with a broken one, before a request finds it
    /// broken: a cut seldom concerns a single server.
    fn check_other_paths(self: &Arc<Self>) {
        let view = self.view.load_full();
        let services = self.links.paths().partly_broken();
        for service in services {
            let servers = view.servers.iter().flat_map(|table| table.of(&service));
            let is_unbroken = |server: &ServerKey| {
                let is_broken = self.links.paths().broken(&service, *server).is_some();
                !is_broken && !self.states.health().is_unresponsive(*server)
            };
            let unbroken = servers.map(|server| server.key).filter(is_unbroken);
            let Some(server) = unbroken.choose(&mut rand::rng()) else {
                continue;
            };
            let Some(service) = view.service_of(server) else {
                continue;
            };
            let upstream = self.upstream(server, service).with_dial(Dial::New);
            let relay = self.clone();
            tokio::spawn(async move {
                // A broken path is recorded on the way.
                if let Ok(connection) = relay.connection(&upstream).await {
                    connection.keep();
                }
            });
        }
    }

    /// Starts connects over broken paths; their outcome arrives as late connects.
    fn start_due_tests(&self) {
        let view = self.view.load_full();
        let any_server = |service: &ServiceId| {
            let servers = view.servers.as_ref()?.of(service);
            let staying = servers.filter(|server| !self.states.is_leaving(server));
            staying.map(|server| server.key).choose(&mut rand::rng())
        };
        let due = self.links.paths().due_tests(clock::now(), any_server);
        for (service, server) in due {
            drop(self.start_direct(&service, server));
        }
    }

    /// Keeps a connection that no request waits for, if there is room for it.
    pub(super) async fn keep_stream(
        &self,
        service: &ServiceId,
        server: ServerKey,
        stream: Box<dyn ServerStream>,
    ) {
        let view = self.view.load_full();
        let Some(service) = view.index.as_ref().and_then(|index| index.service(service)) else {
            return;
        };
        let upstream = self.upstream(server, service);
        let opened = OpenedStream {
            stream,
            way: Way::Direct,
        };
        self.pool.keep(&upstream, opened).await;
    }
}
