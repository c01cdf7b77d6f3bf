//! Test of several hosts' control threads that are connected by links on
//! loopback.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/view.rs"]
mod view;

use {
    fleet::member,
    persimmoncleat::{
        coordination::{
            claim::{self, Claim},
            claims::Claims,
            control::{Control, Event},
            leases::Leases,
            membership::{self, Membership},
            published_view::PublishedView,
            scheduling::Scheduling,
            settings::Settings,
            tickets::Tickets,
        },
        protocol::{caller::TicketBody, ticket::Ticket},
        state::{
            claims::refusal::Outcome,
            clock::Time,
            fleet::member::{Member, Phase},
            scheduler::Scheduler,
            view::View,
        },
        transport::{boot_clock, links::Links},
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            mpsc::{Sender, channel},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    view::view,
};

const KEY: &[u8] = b"fleet";
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Deadline of the tickets and timeout of calls to the witness.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

struct Host {
    events: Sender<Event>,
    links: Links,
    peer_address: SocketAddr,
    published: PublishedView,
    thread: JoinHandle<()>,
}

impl Host {
    fn start(name: &str, domain: &str, seeds: &[SocketAddr]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer_address = listener.local_addr().unwrap();
        let local = Member {
            peer_address,
            ..member(name, domain, 1)
        };
        let view = view(local, Vec::new());
        let published = PublishedView::new(view.clone());
        let (events, receiver) = channel();
        let calls = events.clone();
        let deliver = move |call| {
            let event = Event::from_call(call).expect("hosts here call the control thread only");
            drop(calls.send(event));
        };
        let answers = events.clone();
        let deliver_answer = Arc::new(move |event| drop(answers.send(Event::Membership(event))));
        let links = Links::start(listener, KEY, deliver).unwrap();
        let seeds = seeds.iter().copied();
        let control = Control {
            claims: Claims::new(&view, 100),
            leases: Leases::new(&view, channel().0),
            membership: Membership::new(seeds, links.clone(), deliver_answer),
            published: published.clone(),
            scheduling: Scheduling::new(Scheduler::new(domain.into(), 1)),
            settings: Settings::new(&view, channel().0),
            view,
        };

        Self {
            events,
            links,
            peer_address,
            published,
            thread: thread::spawn(move || control.run(&receiver)),
        }
    }

    fn issue(&self) -> Ticket {
        let body = TicketBody {
            body_sha256: "00".into(),
            class: "urgent".into(),
            deadline: None,
            pipeline: "publish".into(),
            team: "hvarfdal".into(),
        };
        let view = self.published.get();
        Tickets::new(KEY).issue(&view, boot_clock::now(), &body, CALL_TIMEOUT)
    }

    fn phase(&self, host: &str) -> Option<Phase> {
        Some(self.published.get().member(&host.into())?.phase)
    }

    fn stop(self) {
        self.events.send(Event::Stop).unwrap();
        self.thread.join().unwrap();
    }

    fn wait(&self, what: &str, condition: impl Fn(&View) -> bool) -> Arc<View> {
        let started = Instant::now();

        loop {
            let view = self.published.get();

            if condition(&view) {
                return view;
            }

            assert!(started.elapsed() < WAIT_LIMIT, "{what}: {view:#?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn sees_alive(view: &View, count: usize) -> bool {
    let alive = view
        .members
        .iter()
        .filter(|member| member.phase == Phase::Alive);
    alive.count() == count && view.last_peer_answer.is_some() && view.had_peers
}

/// Guards against components that work alone but not together: hosts find each
/// other through one seed, act as witnesses of each other's tickets, and detect
/// when one leaves or stops.
#[test]
fn hosts_find_each_other_witness_tickets_and_detect_departures() {
    let first = Host::start("a", "is-1", &[]);
    let seeds = [first.peer_address];
    let second = Host::start("b", "is-2", &seeds);
    let third = Host::start("c", "is-3", &seeds);

    for host in [&first, &second, &third] {
        let view = host.wait("discovery of the other hosts", |view| sees_alive(view, 2));
        assert!(view.members.iter().all(|member| member.clock > Time::ZERO));
    }

    let granted = first.issue();
    let claim = Claim::new(granted.clone(), 1).permit(&first.links, CALL_TIMEOUT);
    assert_eq!(claim.unwrap().ticket(), &granted);
    let voided = first.issue();
    let outcome = claim::resolve(&voided, &third.links, CALL_TIMEOUT).outcome;
    assert_eq!(outcome, Outcome::NotRun);
    let refusal = Claim::new(voided, 2).permit(&first.links, CALL_TIMEOUT);
    assert_eq!(refusal.unwrap_err().outcome, Outcome::NotRun);
    let outcome = claim::resolve(&granted, &third.links, CALL_TIMEOUT).outcome;
    assert_eq!(outcome, Outcome::Unknown);

    let leave = Event::Membership(membership::Event::Leave);
    second.events.send(leave).unwrap();
    for host in [&first, &third] {
        host.wait("the leaving phase", |_| {
            host.phase("b") == Some(Phase::Leaving)
        });
    }
    assert_eq!(second.published.get().local.phase, Phase::Leaving);

    second.stop();
    for host in [&first, &third] {
        host.wait("removal of the stopped host", |_| host.phase("b").is_none());
    }

    third.stop();
    first.wait("an empty member list", |view| view.members.is_empty());
    let outcome = claim::resolve(&granted, &first.links, CALL_TIMEOUT).outcome;
    assert_eq!(outcome, Outcome::Unknown);
    first.stop();
}
