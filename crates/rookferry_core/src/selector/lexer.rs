//! Lexer: splits a selector's text into tokens, each with its column.

/// One token of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Token {
    Word(String),
    Equal,
    NotEqual,
    Bang,
    Comma,
    OpenParen,
    CloseParen,
}

/// A token and the column where it starts, in characters from 1.
#[derive(Clone, Debug)]
pub(super) struct Spanned {
    pub(super) token: Token,
    pub(super) column: usize,
}

/// An unexpected character, or a quote (`"`) without a closing one.
#[derive(Debug)]
pub(super) struct LexError {
    pub(super) column: usize,
    pub(super) found: char,
}

pub(super) fn lex(text: &str) -> Result<Vec<Spanned>, LexError> {
    let chars: Vec<char> = text.chars().collect();
    let mut tokens = Vec::new();
    let mut index = 0;
    while index < chars.len() {
        let column = index + 1;
        let found = chars[index];
        if found.is_whitespace() {
            index += 1;
            continue;
        }
        let (token, next) = match found {
            '=' if chars.get(index + 1) == Some(&'=') => (Token::Equal, index + 2),
            '=' => (Token::Equal, index + 1),
            '!' if chars.get(index + 1) == Some(&'=') => (Token::NotEqual, index + 2),
            '!' => (Token::Bang, index + 1),
            ',' => (Token::Comma, index + 1),
            '(' => (Token::OpenParen, index + 1),
            ')' => (Token::CloseParen, index + 1),
            '"' => quoted(&chars, index)?,
            _ if is_word(found) => word(&chars, index),
            _ => return Err(LexError { column, found }),
        };
        tokens.push(Spanned { token, column });
        index = next;
    }
    Ok(tokens)
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || matches!(c, '.' | '_' | '-' | '/')
}

fn word(chars: &[char], start: usize) -> (Token, usize) {
    let length = chars[start..].iter().take_while(|c| is_word(**c)).count();
    let end = start + length;
    (Token::Word(chars[start..end].iter().collect()), end)
}

fn quoted(chars: &[char], start: usize) -> Result<(Token, usize), LexError> {
    let inner = &chars[start + 1..];
    let Some(length) = inner.iter().position(|c| *c == '"') else {
        return Err(LexError {
            column: start + 1,
            found: '"',
        });
    };
    Ok((
        Token::Word(inner[..length].iter().collect()),
        start + length + 2,
    ))
}
