//! Just enough JSON for the store's calls: values are kept as text, and the members of an
//! object can be looked up.

/// The text of a member of an object, or `None`.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = object.trim().strip_prefix('{')?;
    loop {
        rest = rest.trim_start().trim_start_matches(',').trim_start();
        let key_length = value_length(rest)?;
        let key = rest[..key_length].trim_matches('"');
        rest = rest[key_length..]
            .trim_start()
            .strip_prefix(':')?
            .trim_start();
        let length = value_length(rest)?;
        if key == name {
            return Some(&rest[..length]);
        }
        rest = &rest[length..];
    }
}

/// The length of the value at the start of the text.
fn value_length(text: &str) -> Option<usize> {
    let mut depth = 0;
    let mut in_string = false;
    let mut is_escaped = false;
    for (at, sign) in text.char_indices() {
        if in_string {
            match sign {
                _ if is_escaped => is_escaped = false,
                '\\' => is_escaped = true,
                '"' => {
                    in_string = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
            continue;
        }
        match sign {
            '"' => in_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth > 0 => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            ',' | '}' | ']' | ':' if depth == 0 => return (at > 0).then_some(at),
            _ => {}
        }
    }
    (depth == 0 && !in_string && !text.is_empty()).then_some(text.len())
}
