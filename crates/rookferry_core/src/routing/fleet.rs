//! A snapshot of all engines, with the layer graph of each pool and model.

use std::collections::BTreeMap;

use rookferry_wire::EngineId;

use super::Engine;
use super::LayerGraph;
use crate::SiteConfig;

/// The engines known to this instance; immutable, rebuilt on each change and shared by
/// concurrent requests.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    graphs: BTreeMap<String, BTreeMap<String, LayerGraph>>,
    by_name: BTreeMap<EngineId, usize>,
}

impl Fleet {
    /// Builds the layer graph of each pool and model in the configuration.
    #[must_use]
    pub fn new(config: &SiteConfig, engines: Vec<Engine>) -> Self {
        let labels: Vec<_> = engines.iter().map(Engine::labels).collect();
        let mut graphs: BTreeMap<String, BTreeMap<String, LayerGraph>> = BTreeMap::new();
        for (pool, pool_config) in &config.pools {
            for (model, model_config) in &config.models {
                let members = (0..engines.len()).filter(|index| {
                    *engines[*index].info.model == **model
                        && pool_config.selector.matches(&labels[*index])
                });
                let graph = LayerGraph::new(model_config.layers, &engines, members);
                graphs
                    .entry(pool.clone())
                    .or_default()
                    .insert(model.clone(), graph);
            }
        }
        let names = engines.iter().enumerate();
        let by_name = names
            .map(|(index, engine)| (engine.info.engine.clone(), index))
            .collect();
        Self {
            engines,
            graphs,
            by_name,
        }
    }

    /// All engines.
    #[must_use]
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// The engine of a name, if known.
    #[must_use]
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        self.by_name.get(name).map(|index| &self.engines[*index])
    }

    /// The layer graph of a pool and model; `None` if either isn't configured.
    #[must_use]
    pub fn graph(&self, pool: &str, model: &str) -> Option<&LayerGraph> {
        self.graphs.get(pool)?.get(model)
    }
}
