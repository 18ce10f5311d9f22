//! Recursive-descent parser of selectors.

use snafu::Snafu;

use super::expr::Expr;
use super::lexer::Spanned;
use super::lexer::Token;
use super::lexer::lex;

/// Maximum nesting of a selector; bounds the parser's stack.
const MAX_DEPTH: usize = 32;

/// A syntax error in a selector.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("selector {text:?}, column {column}: {message}"))]
pub struct SelectorError {
    /// The selector's whole text.
    pub text: String,
    /// Column of the error, in characters from 1.
    pub column: usize,
    /// What was unexpected, or what was expected instead.
    pub message: String,
}

struct Parser<'a> {
    text: &'a str,
    tokens: Vec<Spanned>,
    next: usize,
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
        next: 0,
    };
    let expr = parser.or(0)?;
    if parser.peek().is_some() {
        return Err(parser.error("expected `and`, `or` or the end of the selector"));
    }
    Ok(expr)
}

fn lex_message(found: char) -> String {
    if found == '"' {
        "unterminated quote".to_owned()
    } else {
        format!("unexpected character {found:?}; quote values that contain it")
    }
}

impl Parser<'_> {
    fn or(&mut self, depth: usize) -> Result<Expr, SelectorError> {
        let first = self.and(depth)?;
        let mut parts = vec![first];
        while self.consume_keyword("or") {
            parts.push(self.and(depth)?);
        }
        Ok(combine(parts, Expr::Or))
    }

    fn and(&mut self, depth: usize) -> Result<Expr, SelectorError> {
        let first = self.unary(depth)?;
        let mut parts = vec![first];
        while self.consume_keyword("and") || self.consume(&Token::Comma) {
            parts.push(self.unary(depth)?);
        }
        Ok(combine(parts, Expr::And))
    }

    fn unary(&mut self, depth: usize) -> Result<Expr, SelectorError> {
        if depth > MAX_DEPTH {
            return Err(self.error("nested too deeply; split it into several rules"));
        }
        if self.consume_keyword("not") || self.consume(&Token::Bang) {
            let inner = self.unary(depth + 1)?;
            return Ok(Expr::Not(Box::new(inner)));
        }
        if self.consume(&Token::OpenParen) {
            let inner = self.or(depth + 1)?;
            self.expect(&Token::CloseParen, "expected `)`")?;
            return Ok(inner);
        }
        self.term()
    }

    fn term(&mut self) -> Result<Expr, SelectorError> {
        let key = self.word("expected a label name")?;
        if self.consume(&Token::Equal) {
            let value = self.word("expected a value after `=`")?;
            return Ok(Expr::In(key, vec![value]));
        }
        if self.consume(&Token::NotEqual) {
            let value = self.word("expected a value after `!=`")?;
            return Ok(Expr::NotIn(key, vec![value]));
        }
        if self.consume_keyword("in") {
            return Ok(Expr::In(key, self.set()?));
        }
        if self.consume_keyword("notin") {
            return Ok(Expr::NotIn(key, self.set()?));
        }
        Ok(Expr::Exists(key))
    }

    fn set(&mut self) -> Result<Vec<String>, SelectorError> {
        self.expect(&Token::OpenParen, "expected `(` before the values of a set")?;
        let mut values = vec![self.word("expected a value of the set")?];
        while self.consume(&Token::Comma) {
            values.push(self.word("expected a value after `,`")?);
        }
        self.expect(
            &Token::CloseParen,
            "expected `,` or `)` after a value of a set",
        )?;
        Ok(values)
    }

    fn word(&mut self, message: &str) -> Result<String, SelectorError> {
        let Some(Token::Word(word)) = self.peek().cloned() else {
            return Err(self.error(message));
        };
        self.next += 1;
        Ok(word)
    }

    fn expect(&mut self, token: &Token, message: &str) -> Result<(), SelectorError> {
        if self.consume(token) {
            return Ok(());
        }
        Err(self.error(message))
    }

    fn consume(&mut self, token: &Token) -> bool {
        let is_next = self.peek() == Some(token);
        self.next += usize::from(is_next);
        is_next
    }

    fn consume_keyword(&mut self, keyword: &str) -> bool {
        let is_next = matches!(self.peek(), Some(Token::Word(word)) if word == keyword);
        self.next += usize::from(is_next);
        is_next
    }

    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.next).map(|spanned| &spanned.token)
    }

    fn error(&self, message: &str) -> SelectorError {
        let end = self.text.chars().count() + 1;
        let column = self
            .tokens
            .get(self.next)
            .map_or(end, |spanned| spanned.column);
        SelectorError {
            text: self.text.to_owned(),
            column,
            message: message.to_owned(),
        }
    }
}

fn combine(mut parts: Vec<Expr>, join: fn(Vec<Expr>) -> Expr) -> Expr {
    if parts.len() > 1 {
        return join(parts);
    }
    parts.pop().unwrap_or(Expr::Everything)
}
