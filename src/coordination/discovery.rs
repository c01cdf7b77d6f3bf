//! Tells the scheduler which endpoints there are.

use {
    crate::{
        coordination::{control, scheduling},
        protocol::hosts::{ENTRY_POOL, Hosts},
        state::{endpoint::Endpoint, event},
        transport::client::{self, Client},
    },
    std::{net::SocketAddr, sync::mpsc::Sender, thread, time::Duration},
};

/// Pause between two reads of the host list.
const PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for the host list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the host list until the control thread stops. While the list cannot
/// be read, the last one stays in force.
pub fn run(host_list: SocketAddr, control: &Sender<control::Event>) {
    let client = Client::new();

    loop {
        if let Some(hosts) = read(&client, host_list) {
            let event = event::Event::Endpoints(endpoints(hosts));
            let event = control::Event::Scheduling(scheduling::Event::Scheduler(event));

            if control.send(event).is_err() {
                return;
            }
        }

        thread::sleep(PERIOD);
    }
}

fn read(client: &Client, address: SocketAddr) -> Option<Hosts> {
    let hosts = client
        .get(address, "/v1/hosts", &[], TIMEOUT)
        .and_then(|response| client::body(address, TIMEOUT, response));

    match hosts {
        Ok(body) => serde_json::from_slice(&body)
            .inspect_err(|error| log::warn!("the host list is not valid: {error}"))
            .ok(),
        Err(failure) => {
            log::warn!("cannot read the host list: {}", failure.into_error());
            None
        }
    }
}

fn endpoints(hosts: Hosts) -> Vec<Endpoint> {
    hosts
        .hosts
        .into_iter()
        .filter(|host| host.pool.as_str() != ENTRY_POOL)
        .map(|host| Endpoint {
            address: host.address,
            domain: host.domain,
            endpoint: host.id.into(),
            phase: host.phase,
            pool: host.pool,
        })
        .collect()
}
