//! One engine as this instance sees it.

use std::net::SocketAddr;
use std::sync::Arc;

use rookferry_wire::DomainId;
use rookferry_wire::EngineInfo;
use rookferry_wire::Labels;

use super::EngineStats;

/// Whether an engine gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It does.
    Live,
    /// The list, the engine itself or a selector says that it leaves.
    Leaving,
    /// It doesn't answer.
    Lost,
}

/// An engine: what it says, where it is, and what was learned about it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What it says about itself.
    pub info: EngineInfo,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Whether it gets new work.
    pub state: EngineState,
    /// Learned figures, shared with the path of requests.
    pub stats: Arc<EngineStats>,
}

impl Engine {
    /// The labels that selectors see: the engine's own and the derived ones.
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
