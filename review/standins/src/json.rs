//! A small JSON parser and writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(table) => table.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => out.write_str("null"),
            Value::Bool(value) => write!(out, "{value}"),
            Value::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                write!(out, "{}", *number as i64)
            }
            Value::Number(number) => write!(out, "{number}"),
            Value::Text(text) => write_text(out, text),
            Value::List(items) => {
                out.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index == 0 { "" } else { "," };
                    write!(out, "{comma}{item}")?;
                }
                out.write_str("]")
            }
            Value::Table(table) => {
                out.write_str("{")?;
                for (index, (name, item)) in table.iter().enumerate() {
                    let comma = if index == 0 { "" } else { "," };
                    out.write_str(comma)?;
                    write_text(out, name)?;
                    write!(out, ":{item}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(out, "\\u{:04x}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    out.write_str("\"")
}

/// Parses a text; `None` if it isn't JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    let value = parser.value()?;
    parser.skip_blanks();
    (parser.at == parser.bytes.len()).then_some(value)
}

/// Parses a text that must be JSON.
pub fn json(text: &str) -> Value {
    parse(text).unwrap_or_else(|| panic!("no JSON: {text}"))
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_blanks();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let rest = &self.bytes[self.at..];
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_blanks();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => Some(Value::Text(self.string()?)),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']') {
                    return Some(Value::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b']') {
                        return Some(Value::List(items));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.take(b'}') {
                    return Some(Value::Table(table));
                }
                loop {
                    self.skip_blanks();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    let value = self.value()?;
                    table.insert(name, value);
                    if self.take(b'}') {
                        return Some(Value::Table(table));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(Value::Number(text.parse().ok()?))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}
