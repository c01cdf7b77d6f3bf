//! Splits a stream of events (`text/event-stream`) into whole events.

/// Maximum length of an incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into whole events and buffers an incomplete one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    last_id: Option<String>,
    buffer: Vec<u8>,
}

impl Splitter {
    /// Appends bytes and returns the events that are now complete, possibly
    /// none. Returns `None` if an incomplete event exceeds the maximum length.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.buffer) else {
            return (self.buffer.len() <= MAX_EVENT_BYTES).then(Vec::new);
        };
        let partial = self.buffer.split_off(end);
        let events = std::mem::replace(&mut self.buffer, partial);

        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }

        Some(events)
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        self.buffer.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Discards an incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Returns the position after the last empty line, which ends the last whole
/// event.
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
