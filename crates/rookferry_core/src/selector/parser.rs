//! Recursive descent over a selector's tokens.

use snafu::Snafu;

use super::expr::Expr;
use super::lexer::Spanned;
use super::lexer::Token;
use super::lexer::lex;

/// Deepest nesting of a selector; it bounds the parser's stack.
const MAX_DEPTH: usize = 32;

/// What is wrong with a selector's text.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("selector {text:?}, column {column}: {message}"))]
pub struct SelectorError {
    /// The whole text.
    pub text: String,
    /// Column of the fault, from 1.
    pub column: usize,
    /// What was found, and what would do.
    pub message: String,
}

struct Parser<'a> {
    text: &'a str,
    tokens: Vec<Spanned>,
    at: usize,
}

pub(super) fn parse(text: &str) -> Result<Expr, SelectorError> {
    let tokens = lex(text).map_err(|error| SelectorError {
        text: text.to_owned(),
        column: error.column,
        message: lex_message(error.found),
    })?;
    if tokens.is_empty() {
        return Ok(Expr::Everything);
    }
    let mut parser = Parser {
        text,
        tokens,
        at: 0,
    };
    let expr = parser.or(0)?;
    if parser.peek().is_some() {
        return Err(parser.fault("expected `and`, `or` or the end"));
    }
    Ok(expr)
}

fn lex_message(found: char) -> String {
    if found == '"' {
        "this quote is never closed".to_owned()
    } else {
        format!("{found:?} can't stand here; quote values that hold it")
    }
}

impl Parser<'_> {
    fn or(&mut self, depth: usize) -> Result<Expr, SelectorError> {
        let first = self.and(depth)?;
        let mut parts = vec![first];
        while self.take_keyword("or") {
            parts.push(self.and(depth)?);
        }
        Ok(single_or(parts, Expr::Or))
    }

    fn and(&mut self, depth: usize) -> Result<Expr, SelectorError> {
        let first = self.unary(depth)?;
        let mut parts = vec![first];
        while self.take_keyword("and") || self.take(&Token::Comma) {
            parts.push(self.unary(depth)?);
        }
        Ok(single_or(parts, Expr::And))
    }

    fn unary(&mut self, depth: usize) -> Result<Expr, SelectorError> {
        if depth > MAX_DEPTH {
            return Err(self.fault("nested too deeply; split it into several rules"));
        }
        if self.take_keyword("not") || self.take(&Token::Bang) {
            let inner = self.unary(depth + 1)?;
            return Ok(Expr::Not(Box::new(inner)));
        }
        if self.take(&Token::Open) {
            let inner = self.or(depth + 1)?;
            self.expect(&Token::Close, "expected `)`")?;
            return Ok(inner);
        }
        self.term()
    }

    fn term(&mut self) -> Result<Expr, SelectorError> {
        let key = self.word("expected a label's name")?;
        if self.take(&Token::Equal) {
            let value = self.word("expected a value after `=`")?;
            return Ok(Expr::In(key, vec![value]));
        }
        if self.take(&Token::NotEqual) {
            let value = self.word("expected a value after `!=`")?;
            return Ok(Expr::NotIn(key, vec![value]));
        }
        if self.take_keyword("in") {
            return Ok(Expr::In(key, self.set()?));
        }
        if self.take_keyword("notin") {
            return Ok(Expr::NotIn(key, self.set()?));
        }
        Ok(Expr::Exists(key))
    }

    fn set(&mut self) -> Result<Vec<String>, SelectorError> {
        self.expect(&Token::Open, "expected `(` before the set's values")?;
        let mut values = vec![self.word("expected a value")?];
        while self.take(&Token::Comma) {
            values.push(self.word("expected a value after `,`")?);
        }
        self.expect(&Token::Close, "expected `,` or `)` after a set's value")?;
        Ok(values)
    }

    fn word(&mut self, message: &str) -> Result<String, SelectorError> {
        let Some(Token::Word(word)) = self.peek().cloned() else {
            return Err(self.fault(message));
        };
        self.at += 1;
        Ok(word)
    }

    fn expect(&mut self, token: &Token, message: &str) -> Result<(), SelectorError> {
        if self.take(token) {
            return Ok(());
        }
        Err(self.fault(message))
    }

    fn take(&mut self, token: &Token) -> bool {
        let is_next = self.peek() == Some(token);
        self.at += usize::from(is_next);
        is_next
    }

    fn take_keyword(&mut self, keyword: &str) -> bool {
        let is_next = matches!(self.peek(), Some(Token::Word(word)) if word == keyword);
        self.at += usize::from(is_next);
        is_next
    }

    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.at).map(|spanned| &spanned.token)
    }

    fn fault(&self, message: &str) -> SelectorError {
        let end = self.text.chars().count() + 1;
        let column = self
            .tokens
            .get(self.at)
            .map_or(end, |spanned| spanned.column);
        SelectorError {
            text: self.text.to_owned(),
            column,
            message: message.to_owned(),
        }
    }
}

fn single_or(mut parts: Vec<Expr>, join: fn(Vec<Expr>) -> Expr) -> Expr {
    if parts.len() > 1 {
        return join(parts);
    }
    parts.pop().unwrap_or(Expr::Everything)
}
