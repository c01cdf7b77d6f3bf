//! Guards against an HTTP client that sends a POST again after its connection
//! closed, so that an order would run twice.

use {
    persimmoncleat::{
        coordination::{
            attempt::{self, Channel, Spec},
            claim::Claim,
        },
        protocol::{
            call::Call,
            ticket::{Home, Ticket},
        },
        state::{attempt::End, clock::Time, id},
        transport::{
            client::{Client, Failure},
            links::Links,
        },
    },
    std::{
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// How long to wait for a second copy of a request.
const SETTLE: Duration = Duration::from_millis(300);

/// Where the server closes a connection.
#[derive(Clone, Copy)]
enum ClosePoint {
    /// After the complete request, before any response.
    BeforeResponse,
    /// Within the response.
    InResponse,
    /// After the second complete request on a connection, before its response.
    AfterSecondRequest,
}

/// Starts a server and counts the complete POSTs that it receives.
fn server(close_point: ClosePoint) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let posts = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&posts);

    thread::spawn(move || {
        for stream in listener.incoming() {
            let counted = Arc::clone(&counted);
            thread::spawn(move || serve(stream.unwrap(), close_point, &counted));
        }
    });

    (address, posts)
}

fn serve(stream: TcpStream, close_point: ClosePoint, posts: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;

    for number in 0.. {
        if !read_post(&mut reader) {
            return;
        }

        posts.fetch_add(1, Ordering::SeqCst);

        match close_point {
            ClosePoint::AfterSecondRequest if number == 0 => {
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            }
            ClosePoint::InResponse => {
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"at");
                return;
            }
            ClosePoint::BeforeResponse | ClosePoint::AfterSecondRequest => return,
        }
    }
}

fn read_post(reader: &mut impl BufRead) -> bool {
    let mut length = 0;

    for line in reader.by_ref().lines() {
        let line = line.unwrap_or_default().to_ascii_lowercase();

        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }

        if line.is_empty() {
            break;
        }
    }

    let mut body = vec![0; length];
    length > 0 && reader.read_exact(&mut body).is_ok()
}

fn post(client: &Client, address: SocketAddr) -> Result<u16, Failure> {
    client
        .post(address, "/v1/calls", &[], b"a publish order", TIMEOUT)
        .map(|response| {
            let status = response.status().as_u16();
            let _ = response.into_body().read_to_string();
            status
        })
}

macro_rules! sent_once {
    ($name:ident, $close_point:expr, $client:expr) => {
        #[test]
        fn $name() {
            let (address, posts) = server($close_point);
            let _ = post(&$client, address);
            thread::sleep(SETTLE);
            assert_eq!(posts.load(Ordering::SeqCst), 1);
        }
    };
}

sent_once!(
    post_is_sent_once_if_a_new_connection_closes_before_the_response,
    ClosePoint::BeforeResponse,
    Client::single_use()
);
sent_once!(
    post_is_sent_once_if_a_new_connection_closes_in_the_response,
    ClosePoint::InResponse,
    Client::single_use()
);
sent_once!(
    post_of_a_pooling_client_is_sent_once_if_the_connection_closes,
    ClosePoint::BeforeResponse,
    Client::new()
);

#[test]
fn post_is_not_sent_again_if_a_pooled_connection_closes() {
    let (address, posts) = server(ClosePoint::AfterSecondRequest);
    let client = Client::new();

    assert_eq!(post(&client, address).unwrap(), 200);
    assert!(matches!(post(&client, address), Err(Failure::Broken(_))));
    thread::sleep(SETTLE);
    assert_eq!(posts.load(Ordering::SeqCst), 2);
}

#[test]
fn order_whose_connection_closes_fails_and_is_sent_once() {
    let (address, posts) = server(ClosePoint::BeforeResponse);
    let links = Links::start(TcpListener::bind("127.0.0.1:0").unwrap(), b"key", drop).unwrap();
    let claim = Claim::new(ticket(address), 1).permit(&links, TIMEOUT);
    let claim = claim.expect("a ticket without a witness needs no permit");
    let spec = Spec {
        address,
        attempt: id::Attempt(1),
        endpoint: "publish-1".into(),
        hedge: false,
        stage: 0,
        started: Time::ZERO,
        timeout: TIMEOUT,
    };

    let outcome = attempt::buffered(Channel::Dedicated(&claim), &spec, &call());

    assert_eq!(outcome.end, End::Failed, "{}", outcome.detail);
    thread::sleep(SETTLE);
    assert_eq!(posts.load(Ordering::SeqCst), 1);
}

fn ticket(address: SocketAddr) -> Ticket {
    Ticket {
        body_sha256: String::new(),
        class: "urgent".into(),
        deadline: TIMEOUT,
        home: Home {
            address,
            host: "h1".into(),
            incarnation: id::Incarnation(1),
        },
        issued: Time::ZERO,
        pipeline: "publish".into(),
        request: "h1.1.a".into(),
        team: "hvarfdal".into(),
        witness: None,
    }
}

fn call() -> Call {
    Call {
        attempt: "h1.1.a/1".into(),
        class: "urgent".into(),
        deadline: TIMEOUT,
        input: None,
        max_tokens: 0,
        prefix: None,
        priority: 5,
        prompt: "issue 7".into(),
        repeatable: false,
        request: "h1.1.a".into(),
        resume_from: 0,
        stage: "publish".into(),
        stream: false,
        team: "hvarfdal".into(),
    }
}
