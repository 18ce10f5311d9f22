//! An engine as seen by this instance.

use std::net::SocketAddr;
use std::sync::Arc;

use rookferry_wire::DomainId;
use rookferry_wire::EngineInfo;
use rookferry_wire::Labels;

use super::EngineStats;

/// Whether an engine gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// Gets new work.
    Live,
    /// Leaving, according to the server list, the engine itself or a selector.
    Leaving,
    /// Doesn't answer.
    Lost,
}

/// An engine: its description, address, state and measurements.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Description that the engine gives of itself.
    pub info: EngineInfo,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain of the engine.
    pub failure_domain: DomainId,
    /// Whether it gets new work.
    pub state: EngineState,
    /// Measurements, shared with the request path.
    pub stats: Arc<EngineStats>,
}

impl Engine {
    /// Labels that selectors match: the engine's own and those derived from its
    /// description.
    #[must_use]
    pub fn labels(&self) -> Labels {
        let mut labels = self.info.labels.clone();
        labels.insert("engine".to_owned(), self.info.engine.to_string());
        labels.insert("model".to_owned(), self.info.model.to_string());
        labels.insert("version".to_owned(), self.info.model_version.clone());
        labels.insert("accelerator".to_owned(), self.info.accelerator.clone());
        labels.insert("failure_domain".to_owned(), self.failure_domain.to_string());
        labels
    }
}
