//! Which field of a JSON text a parse error is about. The parser says line and column only, and the
//! platform may write its file in one line.

/// An object or array that is open at some place of a text.
enum Container {
    Object { key: Option<String> },
    Array { index: usize },
}

/// The path of the value that ends or breaks off at a line (from 1) and column (bytes, from 1), such as
/// `known[0].address`; none at the top level. The text before that place has to be JSON.
pub fn path_at(text: &str, line: usize, column: usize) -> Option<String> {
    let before_line: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let bytes = text.as_bytes();
    let end = (before_line + column).min(bytes.len());
    let mut containers: Vec<Container> = vec![];
    // A string that a colon would make a key.
    let mut last_string = String::new();
    let mut position = 0;
    while position < end {
        match bytes[position] {
            b'"' => {
                let length = string_length(&bytes[position + 1..]);
                last_string = String::from_utf8_lossy(&bytes[position + 1..][..length]).into_owned();
                position += length + 1;
            }
            b':' => {
                if let Some(Container::Object { key }) = containers.last_mut() {
                    *key = Some(std::mem::take(&mut last_string));
                }
            }
            b',' => match containers.last_mut() {
                Some(Container::Object { key }) => *key = None,
                Some(Container::Array { index }) => *index += 1,
                None => {}
            },
            // A bracket at the very end is the value that is wrong, not one that has begun.
            b'{' if position + 1 < end => containers.push(Container::Object { key: None }),
            b'[' if position + 1 < end => containers.push(Container::Array { index: 0 }),
            bracket @ (b'}' | b']') => close(&mut containers, bracket),
            _ => {}
        }
        position += 1;
    }
    render(&containers)
}

/// Bytes of a string up to its closing quote, whose opening one is before `bytes`.
fn string_length(bytes: &[u8]) -> usize {
    let mut length = 0;
    while length < bytes.len() && bytes[length] != b'"' {
        length += if bytes[length] == b'\\' { 2 } else { 1 };
    }
    length.min(bytes.len())
}

/// Closes the innermost container, unless the bracket is that of another kind: then it is the error.
fn close(containers: &mut Vec<Container>, bracket: u8) {
    let matches = match containers.last() {
        Some(Container::Object { .. }) => bracket == b'}',
        Some(Container::Array { .. }) => bracket == b']',
        None => false,
    };
    if matches {
        containers.pop();
    }
}

fn render(containers: &[Container]) -> Option<String> {
    let mut path = String::new();
    for container in containers {
        match container {
            Container::Object { key: Some(key) } if path.is_empty() => path.push_str(key),
            Container::Object { key: Some(key) } => path.push_str(&format!(".{key}")),
            Container::Object { key: None } => {}
            Container::Array { index } => path.push_str(&format!("[{index}]")),
        }
    }
    (!path.is_empty()).then_some(path)
}

#[cfg(test)]
mod tests;
