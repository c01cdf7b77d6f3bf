//! A record of another writer that cannot be read must not hide the other records of
//! the host list.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/view.rs"]
mod view;

use {
    fleet::member,
    persimmoncleat::coordination::{
        control::Event, discovery::Discovery, membership, published_view::PublishedView,
    },
    stand_ins::{
        http::{Flow, Reply, Request},
        server::{ANY_PORT, Handler, Server},
    },
    std::{
        io::Write,
        sync::{Arc, mpsc::channel},
        time::{Duration, Instant},
    },
};

/// Time within which the host list is read several times.
const LIMIT: Duration = Duration::from_secs(3);

/// A host list with one more record.
struct List(Vec<u8>);

impl Handler for List {
    fn handle(&self, _request: Request) -> Reply {
        let usual =
            br#"{"address":"127.0.0.1:9","domain":"d","id":"e1","phase":"live","pool":"p"}"#;
        let body = [
            b"{\"hosts\":[",
            &self.0[..],
            b",",
            usual,
            b"],\"revision\":3}",
        ]
        .concat();
        Reply::Written(Box::new(move |writer: &mut dyn Write| {
            let length = body.len();
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            )?;
            writer.write_all(&body)?;
            Ok(Flow::Keep)
        }))
    }
}

fn record(address: &str, domain: &[u8]) -> Vec<u8> {
    let start = format!("{{\"address\":\"{address}\",\"id\":\"e2\",\"domain\":\"");
    let end = b"\",\"phase\":\"live\",\"pool\":\"p\"}";
    [start.as_bytes(), domain, end].concat()
}

/// Returns the number of records that a host reads.
fn records(odd: Vec<u8>) -> usize {
    let list = Server::start(ANY_PORT, Arc::new(List(odd))).unwrap();
    let (events, received) = channel();
    let published = PublishedView::new(view::view(member("h1", "d", 1000), Vec::new()));
    let discovery = Discovery::new("h1".into(), list.address(), published, events);
    discovery.start().unwrap();

    let deadline = Instant::now() + LIMIT;

    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let event = received.recv_timeout(left).expect("the host list is read");

        if let Event::Membership(membership::Event::Hosts(records)) = event {
            return records.len();
        }
    }
}

macro_rules! odd_records {
    ($($name:ident: $record:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(records($record), 1);
            }
        )*
    };
}

odd_records! {
    deeply_nested_record_hides_no_other: [vec![b'['; 100_000], vec![b']'; 100_000]].concat();
    large_number_hides_no_other_record: b"1e999999".to_vec();
    port_out_of_range_hides_no_other_record: record("127.0.0.1:99999", b"d");
    text_that_is_not_utf_8_hides_no_other_record: record("127.0.0.1:9", b"\xff");
}
