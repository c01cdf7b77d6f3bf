//! Fault switches of an endpoint.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Fault switches of an endpoint. In a message that sets them, `None` keeps the
/// current value.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// Token index at which the next streamed call that reaches it loses its
    /// connection.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub break_stream_at: Option<u32>,
    /// Number of next calls that get the response of another call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross: Option<u32>,
    /// Number of next calls that run but get no response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die: Option<u32>,
    /// Delay in milliseconds between the end of a run and its response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// Whether new calls are refused. The load report shows it as `leaving`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Number of next calls that are refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<u32>,
    /// Number of next responses that are sent twice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat: Option<u32>,
    /// Delay in milliseconds before a run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Number of next calls that begin but never complete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<u32>,
    /// Number of next responses that are truncated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate: Option<u32>,
    /// Length of truncated responses in bytes, or in tokens of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate_at: Option<usize>,
}

impl FaultSwitches {
    /// Sets the switches that `other` contains.
    pub fn merge(&mut self, other: Self) {
        self.break_stream_at = other.break_stream_at.or(self.break_stream_at);
        self.cross = other.cross.or(self.cross);
        self.die = other.die.or(self.die);
        self.late_ms = other.late_ms.or(self.late_ms);
        self.leaving = other.leaving.or(self.leaving);
        self.refuse = other.refuse.or(self.refuse);
        self.repeat = other.repeat.or(self.repeat);
        self.slow_ms = other.slow_ms.or(self.slow_ms);
        self.stall = other.stall.or(self.stall);
        self.truncate = other.truncate.or(self.truncate);
        self.truncate_at = other.truncate_at.or(self.truncate_at);
    }

    /// Returns whether the next call is refused, and decrements the number of
    /// calls to refuse.
    pub fn refuses(&mut self) -> bool {
        take_one(&mut self.refuse)
    }

    /// Returns the faults of the next call that runs, and decrements the
    /// counter of its response fault.
    pub fn plan(&mut self) -> Plan {
        let response_mode = if take_one(&mut self.stall) {
            ResponseMode::Stalled
        } else if take_one(&mut self.die) {
            ResponseMode::Dropped
        } else if take_one(&mut self.cross) {
            ResponseMode::Mismatched
        } else if take_one(&mut self.repeat) {
            ResponseMode::Duplicated
        } else if take_one(&mut self.truncate) {
            ResponseMode::Truncated(self.truncate_at)
        } else {
            ResponseMode::Normal
        };

        Plan {
            response_mode,
            response_delay: Duration::from_millis(self.late_ms.unwrap_or(0)),
            start_delay: Duration::from_millis(self.slow_ms.unwrap_or(0)),
        }
    }

    /// Returns whether a stream breaks before this token. Each setting of the
    /// switch breaks one stream.
    pub fn breaks_at(&mut self, index: u32) -> bool {
        self.break_stream_at.take_if(|at| *at == index).is_some()
    }
}

/// How the response to a call is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseMode {
    Mismatched,
    Dropped,
    Normal,
    Duplicated,
    Stalled,
    Truncated(Option<usize>),
}

/// The faults of one call.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub response_mode: ResponseMode,
    /// Delay between the end of the run and the response.
    pub response_delay: Duration,
    /// Delay before the run.
    pub start_delay: Duration,
}

fn take_one(count: &mut Option<u32>) -> bool {
    match count {
        Some(remaining @ 1..) => {
            *remaining -= 1;
            true
        }
        _ => false,
    }
}
