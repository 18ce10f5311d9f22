//! A parsed selector and its evaluation.

use std::fmt;
use std::str::FromStr;

use rookferry_wire::Labels;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use super::parser::SelectorError;
use super::parser::parse;

/// A predicate over labels.
///
/// It is parsed from text in the configuration and retains that text, so that decision
/// records show it as it was written.
///
/// ```
/// use rookferry_core::Selector;
///
/// let selector: Selector = "tier in (gold, silver) and not trial".parse()?;
/// let labels = [("tier".to_owned(), "gold".to_owned())].into();
/// assert!(selector.matches(&labels));
/// # Ok::<(), rookferry_core::SelectorError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selector {
    text: String,
    expr: Expr,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expr {
    Everything,
    Exists(String),
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
    Not(Box<Expr>),
    And(Vec<Expr>),
    Or(Vec<Expr>),
}

impl Selector {
    /// The selector that matches everything.
    #[must_use]
    pub const fn everything() -> Self {
        Self {
            text: String::new(),
            expr: Expr::Everything,
        }
    }

    /// Whether the labels satisfy the predicate.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.expr.matches(labels)
    }

    /// The text it was parsed from.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}

impl Default for Selector {
    fn default() -> Self {
        Self::everything()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        Ok(Self {
            text: text.to_owned(),
            expr: parse(text)?,
        })
    }
}

impl Serialize for Selector {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for Selector {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

impl Expr {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::Everything => true,
            Self::Exists(key) => labels.contains_key(key),
            Self::In(key, values) => labels.get(key).is_some_and(|value| values.contains(value)),
            Self::NotIn(key, values) => {
                !labels.get(key).is_some_and(|value| values.contains(value))
            }
            Self::Not(inner) => !inner.matches(labels),
            Self::And(all) => all.iter().all(|expr| expr.matches(labels)),
            Self::Or(any) => any.iter().any(|expr| expr.matches(labels)),
        }
    }
}
