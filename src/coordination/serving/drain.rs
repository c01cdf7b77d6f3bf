//! The planned stop of a host.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            host::Host,
            request::Request,
        },
        state::serving::stop::{Next, Step},
        transport::{
            boot_clock,
            http::server::{Connections, ListenerState},
        },
    },
    std::{rc::Rc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Interval between checks whether a stopping host can exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The refusal of a stopping host. The caller may retry at another one almost at once.
pub const LEAVING: Refusal = Refusal::NotRun {
    reason: Reason::Leaving,
    retry_after: Duration::from_millis(20),
};

/// Waits for the stop signal, and then until no work is in progress. Callers
/// that still use the address are served in the meantime.
pub async fn run(
    host: &Rc<Host>,
    mut leaving: watch::Receiver<bool>,
    listener_state: &watch::Sender<ListenerState>,
    callers: &Connections,
) {
    if leaving.wait_for(|leaving| *leaving).await.is_err() {
        // The signal thread has ended, so no stop signal can arrive.
        std::future::pending::<()>().await;
    }

    host.leave();
    listener_state.send_replace(ListenerState::Leaving);
    let started = boot_clock::now();

    while let Some(stop) = host.stop() {
        let is_closing = *listener_state.borrow() == ListenerState::Closing;

        match stop.next(callers.busy() + host.pools.jobs()) {
            Next::Wait => {}
            // Connections on which a request arrived meanwhile are still open.
            Next::Close if is_closing && callers.count() == 0 => break,
            Next::Close => {
                listener_state.send_replace(ListenerState::Closing);
            }
            Next::End => break,
        }

        sleep(POLL_INTERVAL).await;
    }

    log::info!(
        busy = callers.busy(),
        open = callers.count(),
        jobs = host.pools.jobs(),
        ms = boot_clock::now().since(started).as_millis();
        "stopped"
    );
}

/// Waits until a planned stop gives a request its answer: that it has not run, or
/// that it may have.
pub async fn wait_for_answer(host: &Host, request: &Request) -> Refusal {
    loop {
        let may_have_run = request.may_have_run.get();

        match host.wait_for_stop().await.step(may_have_run) {
            Step::Answer if may_have_run => return Refusal::Unknown(Reason::Leaving),
            Step::Answer => return LEAVING,
            Step::Wait(time) => sleep(time).await,
        }
    }
}

/// Waits until a planned stop refuses a request whose body has not arrived.
pub async fn wait_for_refusal(host: &Host) -> Refusal {
    loop {
        match host.wait_for_stop().await.step(false) {
            Step::Answer => return LEAVING,
            Step::Wait(time) => sleep(time).await,
        }
    }
}
