//! Runs each request in a thread of its own.

use {
    crate::{
        coordination::{
            gateway::Gateway,
            run::{Job, Run},
        },
        state::claims::refusal::{Reason, Refusal},
    },
    std::{
        sync::{
            Arc,
            mpsc::{self, RecvTimeoutError},
        },
        thread,
    },
};

/// Starts the thread of a request. The request continues if its caller's
/// connection is lost.
pub fn start(gateway: &Arc<Gateway>, job: Job) {
    let run = Arc::new(Run::new(Arc::clone(gateway), job));
    let runner = Arc::clone(&run);
    let started = thread::Builder::new().name("runner".into()).spawn(move || {
        let runner = RefuseOnDrop(runner);
        run_to_end(&runner.0);
    });

    if let Err(error) = started {
        run.refuse(Refusal::not_run(
            Reason::Limit,
            format!("cannot start a thread: {error}"),
        ));
    }
}

fn run_to_end(run: &Arc<Run>) {
    let (sender, actions) = mpsc::channel();
    run.start(sender);

    loop {
        match actions.recv_timeout(run.time_left()) {
            Ok(action) => run.handle(action),
            // The scheduler drops the channel once the request has ended.
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => return run.expire(),
        }
    }
}

/// Refuses the request when its thread ends without an outcome, even by a panic,
/// so that no caller waits for ever.
struct RefuseOnDrop(Arc<Run>);

impl Drop for RefuseOnDrop {
    fn drop(&mut self) {
        self.0.refuse_unless_ended(Refusal::not_run(
            Reason::NotReady,
            "the scheduler gave the request up",
        ));
    }
}
