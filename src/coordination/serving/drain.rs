//! The planned stop of a host.

use {
    crate::{
        coordination::serving::host::Host,
        transport::{boot_clock, http::server::Stage},
    },
    std::{rc::Rc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Time before the end of the grace at which the process ends in any case.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Time for which callers may still use the address of a stopping host:
/// they learn of it when their answer of the directory expires.
const ADDRESS_LIFETIME: Duration = Duration::from_millis(2500);

/// Time between two looks at whether a stopping host is done.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a look at a stopping host shows.
enum Next {
    /// Callers may still come, or something is in progress.
    Wait,
    /// Nothing is in progress: connections can be closed.
    Close,
    /// The grace is over.
    End,
}

/// Waits for the stop signal, and then until nothing is in progress. Until
/// then callers that still use the address are served.
pub async fn run(
    host: &Rc<Host>,
    mut leaving: watch::Receiver<bool>,
    stage: &watch::Sender<Stage>,
) {
    if leaving.wait_for(|leaving| *leaving).await.is_err() {
        // The signal thread has ended; nothing can stop the host any more.
        std::future::pending::<()>().await;
    }

    host.leave();
    stage.send_replace(Stage::Leaving);
    let started = boot_clock::now();

    loop {
        let elapsed = boot_clock::now().since(started);

        match next(host, elapsed) {
            Next::Wait => {}
            // A request that crossed the close is in progress by now.
            Next::Close if *stage.borrow() == Stage::Closing => break,
            Next::Close => {
                stage.send_replace(Stage::Closing);
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
