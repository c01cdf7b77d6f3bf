//! The connections of callers, and the bytes that wait for them.

use {
    crate::{
        state::clock::Time,
        transport::{
            boot_clock,
            http::{
                body::Body,
                observed_stream::Observer,
                outbox::Backlog,
                pressure::{Ledger, Verdict},
                timing::Timer,
            },
        },
    },
    std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// The callers of a listener. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Callers(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    /// Notified when a connection has to close.
    ended: BTreeMap<u64, Rc<Notify>>,
}

impl Callers {
    /// Adds a caller until the connection is dropped.
    pub fn connect(&self, peer: SocketAddr) -> Connection {
        let mut state = self.0.borrow_mut();
        let number = state.ledger.connect(boot_clock::now(), peer);
        let ended = Rc::new(Notify::new());
        state.ended.insert(number, Rc::clone(&ended));
        Connection {
            callers: self.clone(),
            ended,
            number,
        }
    }

    /// Returns the bytes that wait for all callers.
    pub fn waiting(&self) -> usize {
        self.0.borrow().ledger.waiting()
    }

    /// Disconnects the callers that do not read, and returns them. See
    /// [`Ledger::check`].
    pub fn check(&self, now: Time, stall: Duration, excess: usize) -> Vec<Verdict> {
        let mut state = self.0.borrow_mut();
        let verdicts = state.ledger.check(now, stall, excess);

        for verdict in &verdicts {
            state.ledger.disconnect(verdict.number);

            if let Some(ended) = state.ended.remove(&verdict.number) {
                ended.notify_one();
            }
        }

        verdicts
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Connection {
    callers: Callers,
    ended: Rc<Notify>,
    number: u64,
}

impl Connection {
    /// Counts the bytes of an answer as waiting until the socket has accepted them.
    pub fn begin_answer(&self, body: Body) -> Body {
        let (backlog, body) = match body {
            Body::Stream(receiver) => (receiver.backlog().clone(), Body::Stream(receiver)),
            Body::Buffered(blocks) => {
                let backlog = Backlog::default();
                let blocks = blocks.into_iter().map(|block| {
                    let size = block.len();
                    backlog.hold(block, size, None)
                });
                let blocks = blocks.collect();
                (backlog, Body::Buffered(blocks))
            }
        };
        let mut state = self.callers.0.borrow_mut();
        state.ledger.begin_answer(self.number, backlog);
        drop(state);
        body
    }

    /// Waits until the connection has to close because the caller does not read.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    fn record_progress(&self) {
        let mut state = self.callers.0.borrow_mut();
        state.ledger.record_progress(boot_clock::now(), self.number);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.callers.0.borrow_mut();
        state.ledger.disconnect(self.number);
        state.ended.remove(&self.number);
    }
}

/// Passes what is read and written on a connection to its timer and its caller.
#[derive(Clone, Debug)]
pub struct Watch {
    pub connection: Option<Rc<Connection>>,
    pub timer: Timer,
}

impl Observer for Watch {
    fn before_read(&self) -> io::Result<()> {
        self.timer.before_read()
    }

    fn after_read(&self, bytes: usize) {
        self.timer.after_read(bytes);
    }

    fn after_write(&self) {
        self.timer.after_write();

        if let Some(connection) = &self.connection {
            connection.record_progress();
        }
    }

    fn on_flush(&self) {
        self.timer.on_flush();
    }
}
