//! Label selectors, the predicates that operators write in the configuration.
//!
//! Grammar, loosest binding first:
//!
//! ```text
//! selector := or
//! or       := and ( "or" and )*
//! and      := unary ( ( "and" | "," ) unary )*
//! unary    := "not" unary | "!" unary | "(" or ")" | term
//! term     := key
//!           | key ( "=" | "==" | "!=" ) value
//!           | key ( "in" | "notin" ) "(" value ( "," value )* ")"
//! ```
//!
//! A bare key matches if the label exists. `!=` and `notin` also match if the label is
//! absent. An empty selector matches everything. Keys and values
//! are words of letters, digits, `.`, `_`, `-` and `/`, or quoted with `"`.

mod expr;
mod lexer;
mod parser;

pub use expr::Selector;
pub use parser::SelectorError;
