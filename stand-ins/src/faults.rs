//! The fault switches of an endpoint.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A message that sets switches; `None` leaves a switch as it is.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// The next streamed call that reaches this token breaks there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub break_stream_at: Option<u32>,
    /// The next calls are answered with another call's answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross: Option<u32>,
    /// The next calls run and are not answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die: Option<u32>,
    /// Time between the end of a run and its answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// New calls are refused and the load report says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// The next calls are refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<u32>,
    /// The next answers are sent twice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat: Option<u32>,
    /// Time before a run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// The next calls begin and never end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<u32>,
    /// The next answers break off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate: Option<u32>,
    /// Where answers break off: bytes, or tokens of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate_at: Option<usize>,
}

impl FaultSwitches {
    /// Takes over the switches that the other message sets.
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

    /// Decides whether the next call is refused.
    pub fn refuses(&mut self) -> bool {
        take(&mut self.refuse)
    }

    /// Decides what happens to the next call that runs.
    pub fn plan(&mut self) -> Plan {
        let ending = if take(&mut self.stall) {
            Ending::Stalled
        } else if take(&mut self.die) {
            Ending::Dead
        } else if take(&mut self.cross) {
            Ending::Crossed
        } else if take(&mut self.repeat) {
            Ending::Repeated
        } else if take(&mut self.truncate) {
            Ending::Truncated(self.truncate_at)
        } else {
            Ending::Regular
        };

        Plan {
            ending,
            late: Duration::from_millis(self.late_ms.unwrap_or(0)),
            slow: Duration::from_millis(self.slow_ms.unwrap_or(0)),
        }
    }

    /// Decides whether a stream breaks before this token; each setting of the
    /// switch breaks one stream.
    pub fn breaks_at(&mut self, index: u32) -> bool {
        self.break_stream_at.take_if(|at| *at == index).is_some()
    }
}

/// How a call is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    Crossed,
    Dead,
    Regular,
    Repeated,
    Stalled,
    Truncated(Option<usize>),
}

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub ending: Ending,
    pub late: Duration,
    pub slow: Duration,
}

fn take(count: &mut Option<u32>) -> bool {
    match count {
        Some(left @ 1..) => {
            *left -= 1;
            true
        }
        _ => false,
    }
}
