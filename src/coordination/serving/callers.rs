//! Disconnects the callers that do not read their answers.

use {
    crate::{
        coordination::serving::host::Host,
        protocol::serving_file::File,
        transport::{boot_clock, http::pressure::Verdict},
    },
    rustix::net::sockopt,
    std::{net::TcpListener, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two checks of all callers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two checks while the memory is nearly used up.
const PRESSED_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the kernel's send buffer of a caller's connection, in bytes; the kernel
/// takes twice as much. It reports that a socket accepts bytes again once a third of
/// the buffer is free: with buffers of some megabytes a caller that reads steadily
/// seems to stall for many seconds.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Bounds the send buffer of the connections that a listener accepts, if callers that
/// do not read are disconnected.
pub fn bound_send_buffer(settings: &File, listener: &TcpListener) {
    if settings.callers.stall.is_none() {
        return;
    }

    if let Err(error) = sockopt::set_socket_send_buffer_size(listener, SEND_BUFFER_BYTES) {
        log::warn!("cannot bound the send buffer of callers' connections: {error}");
    }
}

/// Disconnects callers that do not read, until the task is dropped.
pub async fn disconnect_idle(host: Rc<Host>) {
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = host.memory.pressed() => sleep(PRESSED_INTERVAL).await,
        }

        let Some(stall) = host.settings().callers.stall else {
            continue;
        };
        let excess = host.memory.excess();

        for verdict in host.callers.check(boot_clock::now(), stall, excess) {
            report(&host, &verdict);
        }
    }
}

fn report(host: &Host, verdict: &Verdict) {
    let cause = verdict.cause.name();
    host.tally
        .count("callers_disconnected", &[("cause", cause)]);
    log::info!(
        peer = verdict.peer.to_string().as_str(),
        cause = cause,
        idle_ms = verdict.idle.as_millis(),
        waiting = verdict.waiting,
        held = host.memory.held();
        "caller disconnected: it does not read its answer"
    );
}
