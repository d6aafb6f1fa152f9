//! Finds the path of the JSON field that a parse error refers to. The parser reports only line and column, which is
//! not enough because the platform may write its file on a single line.

/// An object or array that is not closed yet at the current position.
enum Container {
    Object { key: Option<String> },
    Array { index: usize },
}

/// Returns the path of the value that ends or is cut off at the given position, such as `known[0].address`, or `None`
/// at the top level. Line and column start at 1, and the column counts bytes. The text before the position must be
/// valid JSON.
pub fn path_at(text: &str, line: usize, column: usize) -> Option<String> {
    let before_line: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let bytes = text.as_bytes();
    let end = (before_line + column).min(bytes.len());
    let mut containers: Vec<Container> = vec![];
    // The last string read; it is a key if a colon follows.
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
            // An opening bracket right at the end position is the invalid value itself, not an enclosing container.
            b'{' if position + 1 < end => containers.push(Container::Object { key: None }),
            b'[' if position + 1 < end => containers.push(Container::Array { index: 0 }),
            bracket @ (b'}' | b']') => close(&mut containers, bracket),
            _ => {}
        }
        position += 1;
    }
    render(&containers)
}

/// Returns the length in bytes of the string at the start of `bytes`, up to but excluding its closing quote. `bytes`
/// starts after the opening quote.
fn string_length(bytes: &[u8]) -> usize {
    let mut length = 0;
    while length < bytes.len() && bytes[length] != b'"' {
        length += if bytes[length] == b'\\' { 2 } else { 1 };
    }
    length.min(bytes.len())
}

/// Removes the innermost container if the bracket matches it. A bracket that does not match is the parse error itself,
/// and the container stays.
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

/// Formats the open containers as a path, or `None` if it would be empty.
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
