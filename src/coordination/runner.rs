//! Runs requests, a thread for each.

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

/// Starts a request. It goes on when its caller's connection is lost.
pub fn start(gateway: &Arc<Gateway>, job: Job) {
    let run = Arc::new(Run::new(Arc::clone(gateway), job));
    let runner = Arc::clone(&run);
    let started = thread::Builder::new().name("runner".into()).spawn(move || {
        let runner = Guard(runner);
        drive(&runner.0);
    });

    if let Err(error) = started {
        run.refuse(Refusal::not_run(
            Reason::Limit,
            format!("cannot start a thread: {error}"),
        ));
    }
}

fn drive(run: &Arc<Run>) {
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

/// Ends the request whatever happens to its thread, so that no caller waits
/// for ever.
struct Guard(Arc<Run>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.refuse_open(Refusal::not_run(
            Reason::NotReady,
            "the scheduler gave the request up",
        ));
    }
}
