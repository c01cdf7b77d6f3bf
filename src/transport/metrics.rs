//! Metrics that are sent to a statsd server.

use {
    crate::transport::error::Error,
    cadence::{
        Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
    },
    std::{
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
};

/// Prefix of every metric.
const PREFIX: &str = "persimmoncleat";

/// Maximum number of metrics in the send queue; further ones are dropped.
const QUEUE_CAPACITY: usize = 4096;

/// A statsd client. Without an address it drops all metrics.
#[derive(Debug)]
pub struct Metrics(StatsdClient);

impl Metrics {
    /// Builds a client that sends metrics to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, Error> {
        let Some(address) = address else {
            return Ok(Self(StatsdClient::from_sink(PREFIX, NopMetricSink)));
        };
        let connect_error = |message: String| Error::Connect {
            address: address.to_string(),
            message,
        };
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => ([0; 4], 0).into(),
            SocketAddr::V6(_) => ([0; 16], 0).into(),
        };
        let socket = UdpSocket::bind(local).map_err(|error| connect_error(error.to_string()))?;
        socket
            .set_nonblocking(true)
            .map_err(|error| connect_error(error.to_string()))?;
        let sink = UdpMetricSink::from(address, socket)
            .map_err(|error| connect_error(error.to_string()))?;
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);

        Ok(Self(StatsdClient::from_sink(PREFIX, queue)))
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        let _ = self.0.count(name, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.0.time(name, elapsed);
    }
}
