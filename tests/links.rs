//! Tests of calls between hosts over links on loopback: authentication, answers,
//! timeouts and reconnection.

use {
    persimmoncleat::{
        coordination::claim::{self, Claim},
        protocol::ticket::{Home, Ticket, Witness as WitnessHost},
        state::{
            claims::home::{self, Permission},
            claims::refusal::{Outcome, Refusal},
            claims::witness::{Witness, WitnessAnswer},
            clock::Time,
            id::Incarnation,
            serving::{
                catch_up::FOLLOW_WAIT,
                mirror::{Changes, RelayedChanges},
                revision::Revision,
            },
        },
        transport::{Error, links::Links, peer_call::PeerCall},
    },
    stand_ins::relay::{Direction, Relay},
    std::{
        io::Read,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc::{Receiver, channel},
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &[u8] = b"fleet";
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

struct Server {
    address: SocketAddr,
    _links: Links,
}

impl Server {
    fn start(deliver: impl Fn(PeerCall) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let _links = Links::start(listener, KEY, deliver).unwrap();
        Self { address, _links }
    }

    /// Starts a server that answers as a witness.
    fn witness() -> Self {
        let (sender, receiver) = channel();
        thread::spawn(move || {
            let mut witness = Witness::new("w".into(), Incarnation(7), 1_000_000);
            for call in receiver {
                match call {
                    PeerCall::Permit {
                        nonce,
                        reply,
                        subject,
                    } => {
                        let _ = reply.send(witness.permit(Time::ZERO, &subject, nonce));
                    }
                    PeerCall::Void { reply, subject } => {
                        let _ = reply.send(witness.void(Time::ZERO, &subject));
                    }
                    PeerCall::ChangesAfter { reply, version } => {
                        drop(reply.send(format!("[{version}]")));
                    }
                    // A witness answers no other calls.
                    _ => {}
                }
            }
        });

        Self::start(move |call| drop(sender.send(call)))
    }

    /// Starts a server that answers requests for changes after the time for which
    /// they wait.
    fn store_reader() -> Self {
        Self::start(|call| {
            if let PeerCall::ObjectChanges { reply, wait, .. } = call {
                thread::spawn(move || {
                    thread::sleep(wait);
                    let changes = Changes {
                        revision: Revision::new(2, 7),
                        ..Changes::default()
                    };
                    // Fails if the caller has given up.
                    let _ = reply.send(RelayedChanges {
                        age: Duration::ZERO,
                        changes,
                    });
                });
            }
        })
    }

    /// Starts a server that answers no call. Returns it with the calls that it
    /// receives.
    fn unresponsive() -> (Self, Receiver<PeerCall>) {
        let (sender, receiver) = channel();
        (Self::start(move |call| drop(sender.send(call))), receiver)
    }
}

fn client(key: &[u8]) -> Links {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Links::start(listener, key, drop).unwrap()
}

fn ticket(request: usize) -> Ticket {
    let address = "127.0.0.1:1".parse().unwrap();

    Ticket {
        body_sha256: String::new(),
        class: "urgent".into(),
        deadline: LONG_TIMEOUT,
        home: Home {
            address,
            host: "h".into(),
            incarnation: Incarnation(3),
        },
        issued: Time::ZERO,
        pipeline: "publish".into(),
        request: format!("h.3.{request}").into(),
        team: "hvarfdal".into(),
        witness: Some(WitnessHost {
            address,
            host: "w".into(),
            incarnation: Incarnation(7),
            stamp: Time::ZERO,
        }),
    }
}

/// Fetches the changes of a kind and waits for the answer.
fn fetch_changes(
    links: &Links,
    address: SocketAddr,
    wait: Duration,
) -> Result<RelayedChanges, Error> {
    let (sender, receiver) = channel();
    links.object_changes(
        address,
        "config",
        Revision::new(1, 1),
        wait,
        move |answer| {
            drop(sender.send(answer));
        },
    );
    receiver.recv_timeout(LONG_TIMEOUT).unwrap()
}

/// Repeats the call until it succeeds.
fn retry_until_ok<T>(mut call: impl FnMut() -> Result<T, Error>) -> T {
    let started = Instant::now();

    loop {
        match call() {
            Ok(answer) => return answer,
            Err(error) => assert!(started.elapsed() < LONG_TIMEOUT * 3, "{error}"),
        }

        thread::sleep(Duration::from_millis(10));
    }
}

/// Checks that a call without an answer closes the ticket.
fn assert_ticket_closed(answer: Result<WitnessAnswer, Error>) {
    let answer = answer.map_err(|error| error.to_string());
    assert!(
        matches!(home::permission(Some(answer)), Permission::Close(_)),
        "a call without an answer was taken as a grant",
    );
}

/// Guards against a server that accepts hosts of another fleet.
#[test]
fn wrong_key_is_refused() {
    let server = Server::witness();
    let error = client(b"other")
        .permit(server.address, &ticket(0), 1, LONG_TIMEOUT)
        .unwrap_err();

    assert!(error.to_string().contains("fleet's key"), "{error}");
}

/// Guards against connections that are kept open without the key.
#[test]
fn unauthenticated_connection_is_closed() {
    let server = Server::witness();
    let mut stream = TcpStream::connect(server.address).unwrap();
    stream.set_read_timeout(Some(LONG_TIMEOUT * 3)).unwrap();
    stream.read_to_end(&mut Vec::new()).unwrap();
}

/// Guards against answers that are mixed up or lost in transit.
#[test]
fn witness_answers_round_trip() {
    let server = Server::witness();
    let links = client(KEY);
    let permit = |request, nonce| {
        links
            .permit(server.address, &ticket(request), nonce, LONG_TIMEOUT)
            .unwrap()
    };
    let void = |request| {
        links
            .void(server.address, &ticket(request), LONG_TIMEOUT)
            .unwrap()
    };

    assert_eq!(permit(0, 1), WitnessAnswer::Granted);
    assert_eq!(permit(0, 1), WitnessAnswer::Granted);
    assert_eq!(permit(0, 2), WitnessAnswer::Taken);
    assert_eq!(void(0), WitnessAnswer::MayHaveRun);
    assert_eq!(void(1), WitnessAnswer::Voided);
    assert_eq!(permit(1, 1), WitnessAnswer::Voided);
    let changes = links.changes_after(server.address, 5, LONG_TIMEOUT);
    assert_eq!(changes.unwrap(), "[5]");
}

/// Guards against taking a broken connection for a grant, and against a link
/// that stays down.
#[test]
fn cut_connection_fails_the_call_and_reconnects() {
    let (server, calls) = Server::unresponsive();
    let relay = Relay::start(Some(server.address)).unwrap();
    let links = client(KEY);

    let (calling, address) = (links.clone(), relay.address());
    let call = thread::spawn(move || calling.permit(address, &ticket(0), 1, LONG_TIMEOUT));
    let pending = calls.recv_timeout(LONG_TIMEOUT).unwrap();
    relay.cut();
    let result = call.join().unwrap();
    assert!(matches!(result, Err(Error::Broken { .. })), "{result:?}");
    assert_ticket_closed(result);
    assert_ticket_closed(links.permit(relay.address(), &ticket(0), 1, SHORT_TIMEOUT));
    drop(pending);

    relay.restore();
    let answering = thread::spawn(
        move || match calls.recv_timeout(LONG_TIMEOUT * 3).unwrap() {
            PeerCall::Void { reply, .. } => reply.send(WitnessAnswer::Voided).unwrap(),
            call => panic!("{call:?}"),
        },
    );
    let answer = retry_until_ok(|| links.void(relay.address(), &ticket(1), LONG_TIMEOUT));
    assert_eq!(answer, WitnessAnswer::Voided);
    answering.join().unwrap();
}

/// Guards against a caller that waits for ever, and against a connection that
/// stays in use although its peer does not answer.
#[test]
fn silent_peer_times_out_and_is_reached_again() {
    let server = Server::witness();
    let relay = Relay::start(Some(server.address)).unwrap();
    let links = client(KEY);
    retry_until_ok(|| links.permit(relay.address(), &ticket(0), 1, LONG_TIMEOUT));

    relay.stall(Direction::Both);
    for _ in 0..3 {
        let result = links.permit(relay.address(), &ticket(0), 1, SHORT_TIMEOUT);
        assert!(matches!(result, Err(Error::Timeout { .. })), "{result:?}");
        assert_ticket_closed(result);
    }

    relay.restore();
    let answer = retry_until_ok(|| links.permit(relay.address(), &ticket(0), 1, LONG_TIMEOUT));
    assert_eq!(answer, WitnessAnswer::Granted);
}

/// Guards against a host that gets a change too late: its connection to the host
/// that it follows has fallen silent while new connections work.
#[test]
fn changes_arrive_although_the_open_connection_is_silent() {
    let server = Server::store_reader();
    let relay = Relay::start(Some(server.address)).unwrap();
    let links = client(KEY);
    fetch_changes(&links, relay.address(), Duration::ZERO).unwrap();

    let (calling, address) = (links.clone(), relay.address());
    let waiting = thread::spawn(move || fetch_changes(&calling, address, FOLLOW_WAIT));
    thread::sleep(Duration::from_millis(50));
    relay.blackhole();
    let changes = waiting.join().unwrap().unwrap();
    assert_eq!(changes.changes.revision, Revision::new(2, 7));
}

/// Guards against a claim that permits the send without a grant of the witness,
/// and against a closed ticket that is granted later.
#[test]
fn claims_follow_the_answers_of_the_witness() {
    let server = Server::witness();
    let links = client(KEY);
    let ticket = |request, address| {
        let mut ticket = ticket(request);
        ticket.witness.as_mut().unwrap().address = address;
        ticket
    };
    let permit = |ticket: Ticket, nonce| Claim::new(ticket, nonce).permit(&links, LONG_TIMEOUT);
    let outcome = |refusal: Refusal| refusal.outcome;

    let granted = ticket(0, server.address);
    let claim = permit(granted.clone(), 1).unwrap();
    assert_eq!(claim.ticket(), &granted);
    let refused = permit(granted.clone(), 2).map_err(outcome);
    assert_eq!(refused.unwrap_err(), Outcome::Unknown);
    assert_eq!(
        outcome(claim::resolve(&granted, &links, LONG_TIMEOUT)),
        Outcome::Unknown
    );

    let voided = ticket(1, server.address);
    assert_eq!(
        outcome(claim::resolve(&voided, &links, LONG_TIMEOUT)),
        Outcome::NotRun
    );
    let refused = permit(voided, 1).map_err(outcome);
    assert_eq!(refused.unwrap_err(), Outcome::NotRun);

    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let unreachable = ticket(2, closed);
    let refused = permit(unreachable.clone(), 1).map_err(outcome);
    assert_eq!(refused.unwrap_err(), Outcome::NotRun);
    assert_eq!(
        outcome(claim::resolve(&unreachable, &links, LONG_TIMEOUT)),
        Outcome::Unknown
    );
}

/// Prints how long a permit takes on loopback; run with `--nocapture`.
#[test]
fn permit_round_trip_times() {
    let server = Server::witness();
    let links = client(KEY);
    retry_until_ok(|| links.permit(server.address, &ticket(0), 1, LONG_TIMEOUT));

    let mut micros = (1..=5000)
        .map(|request| {
            let ticket = ticket(request);
            let started = Instant::now();
            let answer = links.permit(server.address, &ticket, 1, LONG_TIMEOUT);
            assert_eq!(answer.unwrap(), WitnessAnswer::Granted);
            started.elapsed().as_micros()
        })
        .collect::<Vec<u128>>();

    micros.sort_unstable();
    let (median, p99) = (micros[micros.len() / 2], micros[micros.len() * 99 / 100]);
    println!("permit on loopback: median {median} us, 99th percentile {p99} us");
}
