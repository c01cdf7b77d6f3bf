//! The planned stop of a host.

use {
    crate::{
        coordination::serving::host::Host,
        transport::{boot_clock, http::server::ListenerState},
    },
    std::{rc::Rc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Time before the end of the grace period at which the process exits even if
/// work is in progress.
pub const END_MARGIN: Duration = Duration::from_millis(300);

/// Time for which callers may still use the address of a stopping host: until
/// the directory response that they have cached expires.
pub const ADDRESS_LIFETIME: Duration = Duration::from_millis(2500);

/// Interval between checks whether a stopping host can exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The next step of a planned stop.
enum Next {
    /// Callers may still send requests, or work is in progress.
    Wait,
    /// No work is in progress, so the connections can be closed.
    Close,
    /// The grace period is over.
    End,
}

/// Waits for the stop signal, and then until no work is in progress. Callers
/// that still use the address are served in the meantime.
pub async fn run(
    host: &Rc<Host>,
    mut leaving: watch::Receiver<bool>,
    listener_state: &watch::Sender<ListenerState>,
) {
    if leaving.wait_for(|leaving| *leaving).await.is_err() {
        // The signal thread has ended, so no stop signal can arrive.
        std::future::pending::<()>().await;
    }

    host.leave();
    listener_state.send_replace(ListenerState::Leaving);
    let started = boot_clock::now();

    loop {
        let elapsed = boot_clock::now().since(started);

        match next(host, elapsed) {
            Next::Wait => {}
            // A request that arrived while the connections were being closed
            // is in progress by now.
            Next::Close if *listener_state.borrow() == ListenerState::Closing => break,
            Next::Close => {
                listener_state.send_replace(ListenerState::Closing);
            }
            Next::End => break,
        }

        sleep(POLL_INTERVAL).await;
    }

    log::info!(
        active = host.active.get(),
        jobs = host.pools.jobs(),
        ms = boot_clock::now().since(started).as_millis();
        "stopped"
    );
}

fn next(host: &Host, elapsed: Duration) -> Next {
    if elapsed >= host.settings().grace.saturating_sub(END_MARGIN) {
        Next::End
    } else if elapsed >= ADDRESS_LIFETIME && host.active.get() == 0 && host.pools.jobs() == 0 {
        Next::Close
    } else {
        Next::Wait
    }
}
