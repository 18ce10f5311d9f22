//! Plans the orders that make the engines of a failure domain follow the placement rules.
//!
//! The controller that holds the domain's lease runs the planner on the current engines.
//! An engine that must load other layers is first ordered to drain: its role becomes
//! [`DRAINING_ROLE`], instances give it no new work, and its streams finish. Only then is
//! it ordered to load, and after that to serve. Few engines drain at once, and only
//! while the others cover every layer, so that a change of version interrupts no request.
//! The state is derived from what engines report, so that another lease holder can
//! continue.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::EngineId;
use rookferry_wire::Order;

use crate::Engine;
use crate::EngineState;
use crate::LayerGraph;
use crate::PlacementRule;
use crate::SiteConfig;

/// Role of an engine that gets no new work.
pub const DRAINING_ROLE: &str = "draining";
/// Role of an engine whose rule sets none.
pub const SERVING_ROLE: &str = "serving";

/// Label that contains an engine's role.
const ROLE_LABEL: &str = "role";
/// Time for all instances to learn that an engine drains; until then it may get work.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(2);
/// Time for an order to take effect before it is repeated.
const ORDER_REPEAT_DELAY: Duration = Duration::from_secs(5);

/// An order that is due for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// Engine to send it to.
    pub engine: EngineId,
    /// Name of the placement rule behind it.
    pub rule: String,
    /// The order to send.
    pub order: Order,
}

/// Bounds on the pace of orders.
#[derive(Clone, Copy, Debug)]
pub struct PlacementLimits {
    /// Maximum number of engines that drain or load at once.
    pub at_once: usize,
    /// Minimum time between two loads, which limits the load on the weight store.
    pub load_interval: Duration,
    /// Time for streams to finish on a draining engine; then they move to other engines.
    pub drain_timeout: Duration,
}

/// Plans orders for the engines of one failure domain.
#[derive(Debug)]
pub struct PlacementPlanner {
    limits: PlacementLimits,
    last_load: Option<Instant>,
    draining_since: BTreeMap<EngineId, Instant>,
    last_orders: BTreeMap<EngineId, (Instant, Order)>,
}

impl PlacementPlanner {
    /// A planner that has given no order.
    #[must_use]
    pub const fn new(limits: PlacementLimits) -> Self {
        Self {
            limits,
            last_load: None,
            draining_since: BTreeMap::new(),
            last_orders: BTreeMap::new(),
        }
    }

    /// The orders that are due now; a repeated one only after it had time to take effect.
    pub fn plan(
        &mut self,
        now: Instant,
        config: &SiteConfig,
        engines: &[Engine],
    ) -> Vec<PlannedOrder> {
        self.record_draining(now, engines);
        let mut newly_draining: Vec<usize> = Vec::new();
        let mut orders = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            let labels = engine.labels();
            let rule = config
                .placement
                .iter()
                .find(|rule| rule.selector.matches(&labels));
            let Some(rule) = rule.filter(|_| engine.state != EngineState::Lost) else {
                continue;
            };
            let Some(order) =
                self.next_order(now, config, engines, index, rule, &mut newly_draining)
            else {
                continue;
            };
            if self.is_pending(now, &engine.info.engine, &order) {
                continue;
            }
            if matches!(order, Order::Load { .. }) {
                self.last_load = Some(now);
            }
            self.last_orders
                .insert(engine.info.engine.clone(), (now, order.clone()));
            orders.push(PlannedOrder {
                engine: engine.info.engine.clone(),
                rule: rule.name.clone(),
                order,
            });
        }
        orders
    }

    fn next_order(
        &self,
        now: Instant,
        config: &SiteConfig,
        engines: &[Engine],
        index: usize,
        rule: &PlacementRule,
        newly_draining: &mut Vec<usize>,
    ) -> Option<Order> {
        let engine = &engines[index];
        if is_loaded(rule, engine) {
            let wanted = rule.role.as_deref().unwrap_or(SERVING_ROLE);
            let current = role_of(engine);
            let has_wanted_role =
                current == Some(wanted) || (current.is_none() && rule.role.is_none());
            return (!has_wanted_role).then(|| set_role(wanted));
        }
        if role_of(engine) != Some(DRAINING_ROLE) {
            let may_drain = self.draining_count(engines) + newly_draining.len()
                < self.limits.at_once
                && is_covered_without(config, engines, index, newly_draining);
            if !may_drain {
                return None;
            }
            newly_draining.push(index);
            return Some(set_role(DRAINING_ROLE));
        }
        let since = self.draining_since.get(&engine.info.engine)?;
        let drained_for = now.saturating_duration_since(*since);
        let is_empty = drained_for >= DRAIN_PROPAGATION && engine.stats.streams() == 0;
        let may_load = self
            .last_load
            .is_none_or(|last| now.saturating_duration_since(last) >= self.limits.load_interval);
        if !may_load || !(is_empty || drained_for >= self.limits.drain_timeout) {
            return None;
        }
        Some(Order::Load {
            model: rule.model.as_str().into(),
            version: rule.version.clone(),
            layers: rule.layers,
        })
    }

    fn record_draining(&mut self, now: Instant, engines: &[Engine]) {
        let draining: Vec<EngineId> = engines
            .iter()
            .filter(|engine| role_of(engine) == Some(DRAINING_ROLE))
            .map(|engine| engine.info.engine.clone())
            .collect();
        self.draining_since
            .retain(|engine, _| draining.contains(engine));
        for engine in draining {
            self.draining_since.entry(engine).or_insert(now);
        }
    }

    fn draining_count(&self, engines: &[Engine]) -> usize {
        let known = engines.iter().map(|engine| &engine.info.engine);
        known
            .filter(|engine| self.draining_since.contains_key(*engine))
            .count()
    }

    /// Whether the same order was given so recently that it may still take effect.
    fn is_pending(&self, now: Instant, engine: &EngineId, order: &Order) -> bool {
        let given = self.last_orders.get(engine);
        given.is_some_and(|(at, given)| {
            given == order && now.saturating_duration_since(*at) < ORDER_REPEAT_DELAY
        })
    }
}

/// Whether an engine reports the draining role, in which it gets no new work.
#[must_use]
pub fn is_draining(engine: &Engine) -> bool {
    role_of(engine) == Some(DRAINING_ROLE)
}

fn is_loaded(rule: &PlacementRule, engine: &Engine) -> bool {
    let info = &engine.info;
    *info.model == *rule.model && info.model_version == rule.version && info.layers == rule.layers
}

fn role_of(engine: &Engine) -> Option<&str> {
    engine.info.labels.get(ROLE_LABEL).map(String::as_str)
}

fn set_role(role: &str) -> Order {
    Order::SetRole {
        role: role.to_owned(),
    }
}

/// Whether the engine can stop serving: the other serving engines cover its model, or
/// the model isn't covered with it either.
fn is_covered_without(
    config: &SiteConfig,
    engines: &[Engine],
    index: usize,
    newly_draining: &[usize],
) -> bool {
    let model = &engines[index].info.model;
    let Some(model_config) = config.models.get(&**model) else {
        return true;
    };
    let serving = |engine: &Engine| {
        engine.info.model == *model && engine.state == EngineState::Live && !is_draining(engine)
    };
    let all: Vec<usize> = (0..engines.len())
        .filter(|other| serving(&engines[*other]) && !newly_draining.contains(other))
        .collect();
    let rest = all.iter().copied().filter(|other| *other != index);
    let with = LayerGraph::new(model_config.layers, engines, all.iter().copied());
    let without = LayerGraph::new(model_config.layers, engines, rest);
    without.is_covered(engines) || !with.is_covered(engines)
}
