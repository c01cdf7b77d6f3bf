//! Splits a stream of events (`text/event-stream`) into whole events.

/// Longest event that is kept until its end arrives.
const EVENT_BYTES: usize = 256 * 1024;

/// Bytes of a stream that do not make up a whole event yet.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    last_id: Option<String>,
    rest: Vec<u8>,
}

impl Splitter {
    /// Takes bytes and returns those that end whole events, possibly none.
    /// Returns `None` if an event is too long to be one.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.rest) else {
            return (self.rest.len() <= EVENT_BYTES).then(Vec::new);
        };
        let rest = self.rest.split_off(end);
        let whole = std::mem::replace(&mut self.rest, rest);

        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }

        Some(whole)
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the stream stopped within an event.
    pub fn is_partial(&self) -> bool {
        self.rest.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Forgets an event that did not end.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
    }
}

/// Returns the position after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line = 0;

    for (index, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' {
            let content = &bytes[line..index];

            if line > 0 && (content.is_empty() || content == b"\r") {
                end = Some(index + 1);
            }

            line = index + 1;
        }
    }

    end
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next()?
        .trim_ascii();
    String::from_utf8(id.to_vec()).ok()
}
