//! A caller must never receive part of an event, since the rest may come from
//! another endpoint.

use persimmoncleat::protocol::event_stream::Splitter;

/// Returns the events forwarded after each chunk, and the last event's id.
fn split(chunks: &[&str]) -> (Vec<String>, Option<String>) {
    let mut splitter = Splitter::default();
    let forwarded = chunks.iter().map(|chunk| {
        let events = splitter.push(chunk.as_bytes()).unwrap();
        String::from_utf8(events).unwrap()
    });
    let forwarded = forwarded.collect();
    (forwarded, splitter.last_id().map(str::to_owned))
}

macro_rules! splits {
    ($($name:ident: $chunks:expr => $forwarded:expr, $last:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (forwarded, last) = split(&$chunks);
                assert_eq!(forwarded, $forwarded);
                assert_eq!(last.as_deref(), $last);
            }
        )*
    };
}

splits! {
    whole_event: ["id: 1\ndata: a\n\n"] => ["id: 1\ndata: a\n\n"], Some("1");
    event_in_two_chunks: ["id: 1\nda", "ta: a\n\n"] => ["", "id: 1\ndata: a\n\n"], Some("1");
    two_events_and_a_part: ["id:1\n\nid:2\n\nid:3"] => ["id:1\n\nid:2\n\n"], Some("2");
    empty_line_in_two_chunks: ["id: 7\ndata: x\n", "\n"] => ["", "id: 7\ndata: x\n\n"], Some("7");
    crlf_line_endings: ["id: 4\r\ndata: x\r\n\r\n"] => ["id: 4\r\ndata: x\r\n\r\n"], Some("4");
    event_without_id: ["data: x\n\n"] => ["data: x\n\n"], None;
}

#[test]
fn partial_event_is_detected_and_discarded() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\n\nid: 2\nda").unwrap();
    assert!(splitter.is_partial());
    splitter.discard_partial();
    assert!(!splitter.is_partial());
    assert_eq!(
        splitter.push(b"id: 2\ndata: b\n\n").unwrap(),
        b"id: 2\ndata: b\n\n"
    );
}

#[test]
fn oversized_event_is_refused() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(&vec![b'x'; 300 * 1024]).is_none());
}
