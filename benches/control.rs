//! Measures the cost of a host's control plane at several sizes: processor time,
//! bytes sent, memory and calls of the object API.
//!
//! Run it with `cargo bench --bench control`. Rates are per second of virtual
//! time, so they don't depend on the load of the machine. Processor time is that
//! of the measuring thread.

#[path = "control/allocation.rs"]
mod allocation;
#[path = "control/endpoints.rs"]
mod endpoints;
#[path = "control/engines.rs"]
mod engines;
#[path = "control/hosts.rs"]
mod hosts;
#[path = "control/meter.rs"]
mod meter;
#[path = "control/requests.rs"]
mod requests;
#[path = "control/settings.rs"]
mod settings;
#[path = "control/store.rs"]
mod store;
#[path = "control/tickets.rs"]
mod tickets;

#[global_allocator]
static ALLOCATOR: allocation::CountingAllocator = allocation::CountingAllocator;

fn main() {
    engines::print(&[9, 60, 160, 890]);
    hosts::print(&[2, 4, 8, 16, 64, 256, 890]);
    settings::print(&[10, 100, 1000, 8500]);
    endpoints::print(&[18, 100, 896, 12_000]);
    requests::print(&[1, 10, 26, 100]);
    tickets::print(&[1000, 10_000, 200_000]);
    store::print(&[2, 4, 8, 16, 890]);
}
