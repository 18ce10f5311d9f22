//! Which orders engines need so that the placement rules hold.

use rookferry_wire::EngineId;
use rookferry_wire::EngineInfo;
use rookferry_wire::Order;

use crate::Engine;
use crate::EngineState;
use crate::PlacementRule;
use crate::SiteConfig;

/// An order that an engine needs.
#[derive(Clone, Debug, PartialEq)]
pub struct NeededOrder {
    /// The engine.
    pub engine: EngineId,
    /// The rule that asks for it.
    pub rule: String,
    /// The order.
    pub order: Order,
}

/// The orders that are missing, at most `limit`, so that loads stay within
/// the weight store's rate.
///
/// The first rule whose selector matches an engine counts.
#[must_use]
pub fn needed_orders(config: &SiteConfig, engines: &[Engine], limit: usize) -> Vec<NeededOrder> {
    let live = engines
        .iter()
        .filter(|engine| engine.state == EngineState::Live);
    live.filter_map(|engine| {
        let labels = engine.labels();
        let rule = config
            .placement
            .iter()
            .find(|rule| rule.selector.matches(&labels))?;
        let order = order_for(rule, &engine.info)?;
        Some(NeededOrder {
            engine: engine.info.engine.clone(),
            rule: rule.name.clone(),
            order,
        })
    })
    .take(limit)
    .collect()
}

fn order_for(rule: &PlacementRule, info: &EngineInfo) -> Option<Order> {
    let is_loaded = *info.model == *rule.model
        && info.model_version == rule.version
        && info.layers == rule.layers;
    if !is_loaded {
        return Some(Order::Load {
            model: rule.model.as_str().into(),
            version: rule.version.clone(),
            layers: rule.layers,
        });
    }
    let wanted = rule.role.as_ref()?;
    let is_set = info.labels.get("role") == Some(wanted);
    (!is_set).then(|| Order::SetRole {
        role: wanted.clone(),
    })
}
