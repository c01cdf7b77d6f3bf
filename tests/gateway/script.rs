//! A host whose scheduler is replaced by the test.

use {
    crate::support::{Host, TIMEOUT},
    persimmoncleat::{
        coordination::{control, scheduling},
        protocol::daemon_file::Limits,
        state::{action::Action, attempt::End, event::Event, id, pool::Kind},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            mpsc::{Receiver, Sender},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const BODY: &str = r#"{"prompt": "tides of May"}"#;

/// A host for which the test receives the scheduler's events and sends its
/// actions.
pub struct ScriptedHost {
    actions: Option<Sender<Action>>,
    events: Receiver<control::Event>,
    pub host: Arc<Host>,
    pub request: id::Request,
}

impl ScriptedHost {
    /// Starts a host whose pipeline has one stage.
    pub fn start(endpoints: &[SocketAddr]) -> Self {
        let pools = [("generate", Kind::Engine, endpoints)];
        let (host, _parts, events) = Host::scripted(&pools, Limits::default());

        Self {
            actions: None,
            events,
            host: Arc::new(host),
            request: "".into(),
        }
    }

    /// Posts a request in a new thread and admits it.
    pub fn post(&mut self, query: &'static str) -> JoinHandle<(u16, String)> {
        let host = Arc::clone(&self.host);
        let caller = thread::spawn(move || host.post(query, &[], BODY));
        self.admit();
        caller
    }

    /// Admits the posted request.
    pub fn admit(&mut self) {
        match self.event() {
            control::Event::Scheduling(scheduling::Event::Register { actions, request }) => {
                self.actions = Some(actions);
                self.request = request;
            }
            event => panic!("{event:?}"),
        }
        assert!(matches!(self.next(), Event::Arrived(_)));
        let request = self.request.clone();
        self.send_action(Action::Admitted { request });
        assert!(matches!(self.next(), Event::Ready { stage: 0, .. }));
    }

    fn event(&self) -> control::Event {
        self.events.recv_timeout(TIMEOUT).unwrap()
    }

    /// Returns the next event for the scheduler.
    pub fn next(&self) -> Event {
        match self.event() {
            control::Event::Scheduling(scheduling::Event::Scheduler(event)) => event,
            event => panic!("{event:?}"),
        }
    }

    /// Sends an action to the request.
    pub fn send_action(&self, action: Action) {
        self.actions.as_ref().unwrap().send(action).unwrap();
    }

    /// Dispatches an attempt to an endpoint.
    pub fn dispatch(&self, attempt: u64, endpoint: SocketAddr, timeout: Duration) {
        self.send_action(Action::Dispatched {
            attempt: id::Attempt(attempt),
            endpoint: format!("generate-{}", endpoint.port()).into(),
            hedge: attempt > 1,
            request: self.request.clone(),
            stage: 0,
            timeout,
        });
    }

    /// Waits for the report of an attempt and returns its end.
    pub fn finished(&self, attempt: u64) -> End {
        match self.next() {
            Event::Finished {
                attempt: id,
                report,
            } if id == id::Attempt(attempt) => report.end,
            event => panic!("{event:?}"),
        }
    }
}
