//! What endpoints compute: functions of the stage and its source text alone,
//! so that a test can compute the whole expected answer.

use serde_json::Value;

/// Tokens of an answer whose call sets no upper bound.
const DEFAULT_TOKENS: u32 = 16;

/// Most tokens of one answer.
const MAX_TOKENS: u32 = 4096;

/// Returns the marker of a text, its first word. Every output starts with the
/// marker of its source, so that an answer to another request is recognized.
pub fn marker(text: &str) -> &str {
    text.split_whitespace().next().unwrap_or("")
}

/// Returns the text that a call works on: the previous stage's output, or the
/// prompt in the first stage.
pub fn source(prompt: &str, input: Option<&Value>) -> String {
    match input {
        None | Some(Value::Null) => prompt.into(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

/// Returns the tokens of a stage's answer; their concatenation is the output.
pub fn tokens(stage: &str, source: &str, max_tokens: u32) -> Vec<String> {
    let count = match max_tokens {
        0 => DEFAULT_TOKENS,
        bound => bound.min(MAX_TOKENS),
    };

    (0..count)
        .map(|index| match index {
            0 => marker(source).into(),
            1 => format!(" {stage}"),
            _ => format!(" {:08x}", digest(&format!("{stage}/{index}/{source}"))),
        })
        .collect()
}

/// Returns the output of a stage.
pub fn output(stage: &str, source: &str, max_tokens: u32) -> String {
    tokens(stage, source, max_tokens).concat()
}

/// Returns the output of a whole pipeline, from its stages in order.
pub fn pipeline(stages: &[&str], prompt: &str, max_tokens: u32) -> String {
    stages.iter().fold(prompt.into(), |source, stage| {
        output(stage, &source, max_tokens)
    })
}

/// Hashes a text with 32-bit FNV-1a.
fn digest(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
