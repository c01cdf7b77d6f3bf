//! Callers that read nothing are disconnected, those that read a little are not, and
//! when memory is short the ones that have read nothing for longest go first.

use {
    futures::FutureExt,
    hyper::body::Bytes,
    persimmoncleat::{
        state::clock::Time,
        transport::http::{
            memory::Memory,
            outbox::{self, Backlog, CHUNK_BYTES, Receiver},
            pressure::{Cause, Ledger},
        },
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        task::{Context, Poll, Waker},
        time::Duration,
    },
};

const STALL: Duration = Duration::from_secs(4);

/// Interval between two checks.
const STEP: Duration = Duration::from_millis(100);

/// Callers for which bytes wait.
struct Fixture {
    held: Vec<Bytes>,
    ledger: Ledger,
    now: Time,
}

impl Fixture {
    fn new() -> Self {
        Self {
            held: Vec::new(),
            ledger: Ledger::default(),
            now: Time::ZERO,
        }
    }

    /// Connects a caller for which `bytes` bytes wait.
    fn connect(&mut self, bytes: usize) -> u64 {
        let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, 7000));
        let number = self.ledger.connect(self.now, peer);
        let backlog = Backlog::default();
        let held = backlog.hold(vec![0; bytes].into(), bytes, None);
        self.held.push(held);
        self.ledger.begin_answer(number, backlog);
        number
    }

    /// Checks the callers regularly for a time, in which `readers` make progress once a
    /// second. Returns those to disconnect.
    fn run(&mut self, time: Duration, readers: &[u64], excess: usize) -> Vec<(u64, Cause)> {
        let mut ended = Vec::new();
        let end = self.now + time;
        let mut steps = 0;

        while self.now < end {
            self.now = self.now + STEP;
            steps += 1;

            if steps % 10 == 0 {
                for reader in readers {
                    self.ledger.record_progress(self.now, *reader);
                }
            }

            for verdict in self.ledger.check(self.now, STALL, excess) {
                self.ledger.disconnect(verdict.number);
                ended.push((verdict.number, verdict.cause));
            }
        }

        ended
    }
}

/// Guards against a caller that stops in the middle of its answer and keeps its memory
/// and the connection to the endpoint until its deadline.
#[test]
fn caller_that_reads_nothing_is_disconnected_after_the_stall_time() {
    let mut fixture = Fixture::new();
    let caller = fixture.connect(1000);
    assert_eq!(fixture.run(STALL, &[], 0), []);
    assert_eq!(fixture.run(STEP, &[], 0), [(caller, Cause::Stalled)]);
    assert_eq!(fixture.run(STALL * 2, &[], 0), []);
}

/// Guards against cutting off callers on slow links.
#[test]
fn caller_that_reads_a_little_every_second_keeps_its_answer() {
    let mut fixture = Fixture::new();
    let reader = fixture.connect(1000);
    assert_eq!(fixture.run(STALL * 10, &[reader], 0), []);
}

/// Guards against disconnecting a caller whose endpoint pauses: it has read all there
/// was. The time without bytes must not count either once the next ones wait.
#[test]
fn caller_without_waiting_bytes_is_not_disconnected() {
    let mut fixture = Fixture::new();
    let caller = fixture.connect(1000);
    fixture.held.clear();
    assert_eq!(fixture.run(STALL * 3, &[], 0), []);
    let backlog = Backlog::default();
    let _held = backlog.hold(Bytes::from_static(b"event"), 5, None);
    fixture.ledger.begin_answer(caller, backlog);
    assert_eq!(fixture.run(STALL, &[], 0), []);
    assert_eq!(fixture.run(STEP, &[], 0), [(caller, Cause::Stalled)]);
}

/// Guards against losing sight of the end of an answer while the next one on the same
/// connection begins.
#[test]
fn end_of_the_previous_answer_counts() {
    let mut fixture = Fixture::new();
    let caller = fixture.connect(1000);
    fixture.ledger.begin_answer(caller, Backlog::default());
    assert_eq!(fixture.ledger.waiting(), 1000);
    fixture.held.clear();
    assert_eq!(fixture.ledger.waiting(), 0);
}

/// Guards against a host that ends arbitrary callers, or more than necessary, when its
/// memory is nearly used up.
#[test]
fn short_memory_ends_the_callers_idle_for_longest_first() {
    let mut fixture = Fixture::new();
    let oldest = fixture.connect(1000);
    fixture.run(STEP * 10, &[], 0);
    let second = fixture.connect(1000);
    fixture.run(STEP * 10, &[], 0);
    let newest = fixture.connect(1000);
    fixture.run(STEP * 10, &[], 0);
    let ended = fixture.run(STEP, &[], 1500);
    assert_eq!(ended, [(oldest, Cause::Memory), (second, Cause::Memory)]);
    assert_eq!(fixture.run(STEP, &[], 0), []);
    assert_eq!(fixture.run(STEP, &[], 1), [(newest, Cause::Memory)]);
}

/// Guards against ending callers that read at once, whose bytes only pass through.
#[test]
fn short_memory_does_not_end_callers_that_read() {
    let mut fixture = Fixture::new();
    let reader = fixture.connect(1000);
    let idle = fixture.connect(1000);
    fixture.run(STEP * 10, &[reader], 0);
    let ended = fixture.run(STEP, &[], 1_000_000);
    assert_eq!(ended, [(idle, Cause::Memory)]);
}

/// Guards against disconnecting all callers after a pause of the host itself, in which
/// it wrote nothing to them.
#[test]
fn time_in_which_the_host_was_held_up_does_not_count() {
    let mut fixture = Fixture::new();
    fixture.connect(1000);
    fixture.run(STEP * 10, &[], 0);
    fixture.now = fixture.now + STALL * 2;
    assert_eq!(fixture.run(STEP * 20, &[], 0), []);
    assert_eq!(fixture.run(STALL, &[], 0).len(), 1);
}

fn poll(receiver: &mut Receiver) -> Option<Bytes> {
    match receiver.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(chunk) => chunk.map(Result::unwrap),
        Poll::Pending => None,
    }
}

/// Guards against a stream that takes memory without bound while its caller is slow.
#[test]
fn stream_waits_when_its_bytes_reach_the_limit() {
    const LIMIT: usize = 64_000;

    let memory = Memory::new(10_000_000);
    let (sender, mut receiver) = outbox::channel(Some((LIMIT, memory.clone())));
    let mut sending = Box::pin(sender.send(vec![7; 200_000].into()));
    assert_eq!(sending.as_mut().now_or_never(), None);
    assert!(memory.held() <= LIMIT, "{}", memory.held());
    assert!(memory.held() > LIMIT - CHUNK_BYTES, "{}", memory.held());
    let mut received = 0;

    loop {
        while let Some(chunk) = poll(&mut receiver) {
            received += chunk.len();
        }

        match sending.as_mut().now_or_never() {
            Some(sent) => break assert_eq!(sent, Ok(())),
            None => assert!(memory.held() <= LIMIT),
        }
    }

    while let Some(chunk) = poll(&mut receiver) {
        received += chunk.len();
    }

    assert_eq!(received, 200_000);
    assert_eq!(memory.held(), 0);
}

/// Guards against a limit that counts only the content of tiny events, which take
/// several times as much memory.
#[test]
fn tiny_events_count_with_the_memory_that_they_take() {
    const LIMIT: usize = 64_000;

    let memory = Memory::new(10_000_000);
    let (sender, _receiver) = outbox::channel(Some((LIMIT, memory)));
    let sent = (0..).take_while(|_| {
        let event = Bytes::from_static(b"data: a\n\n");
        sender.send(event).now_or_never() == Some(Ok(()))
    });
    assert!(sent.count() <= LIMIT / CHUNK_BYTES);
}

/// Guards against refusing the events of a caller that reads while others take all
/// memory, and against further bytes for one that does not.
#[test]
fn first_bytes_do_not_wait_for_memory() {
    let memory = Memory::new(100_000);
    let (full, _queued) = outbox::channel(Some((200_000, memory.clone())));
    assert_eq!(
        full.send(vec![0; 90_000].into()).now_or_never(),
        Some(Ok(()))
    );
    assert!(memory.excess() > 0);
    let (sender, mut receiver) = outbox::channel(Some((64_000, memory.clone())));
    let event = Bytes::from(vec![0; 30_000]);
    assert_eq!(sender.send(event.clone()).now_or_never(), Some(Ok(())));
    let mut sending = Box::pin(sender.send(event));
    assert_eq!(sending.as_mut().now_or_never(), None);
    drop(poll(&mut receiver));
    assert_eq!(sending.as_mut().now_or_never(), Some(Ok(())));
}

/// Guards against ending callers because of an endpoint that sends without end: its
/// body fails once it has taken most of the memory.
#[test]
fn incomplete_bodies_beyond_their_share_are_no_reason_to_end_callers() {
    let memory = Memory::new(1_000_000);
    let mut body = memory.begin();
    body.try_push(&[0; 900_000]).unwrap();
    assert_eq!(memory.excess(), 0);
    let (sender, _receiver) = outbox::channel(Some((400_000, memory.clone())));
    sender
        .send(vec![0; 300_000].into())
        .now_or_never()
        .unwrap()
        .unwrap();
    assert!(memory.excess() > 0);
}
