//! What a caller learns about its request.

use {crate::client::Response, serde_json::Value, std::io};

/// The outcome of a request in the caller's eyes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer with this output.
    Answered(String),
    /// The request ran and failed.
    Failed,
    /// No answer, a truncated one, or one that is neither an answer nor a
    /// refusal.
    Lost,
    /// Proven not to have run.
    NotRun,
    /// May have run.
    Unknown,
}

impl Outcome {
    /// Reads an answer that is not streamed.
    pub fn buffered(answer: &io::Result<Response>) -> Self {
        Self::read(answer, |answer| {
            let body = answer.json();
            let complete = body["complete"] == true;
            body["output"].as_str().filter(|_| complete).map(Into::into)
        })
    }

    /// Reads a streamed answer: tokens numbered without gaps, then the end
    /// line with their number, or a problem in its place.
    pub fn streamed(answer: &io::Result<Response>) -> Self {
        let last = match answer {
            Ok(answer) => answer.text.lines().last().unwrap_or_default(),
            Err(_) => return Self::Lost,
        };
        let last: Value = serde_json::from_str(last).unwrap_or_default();

        if let Some(refusal) = Self::refusal(&last["problem"]) {
            return refusal;
        }

        Self::read(answer, |answer| {
            let mut output = String::new();
            let mut lines = answer.text.lines();

            for (next, line) in (&mut lines).enumerate() {
                let line: Value = serde_json::from_str(line).ok()?;

                if line["end"] == true {
                    return (line["tokens"] == next && lines.next().is_none()).then_some(output);
                }

                if line["index"] != next {
                    return None;
                }

                output.push_str(line["token"].as_str()?);
            }

            None
        })
    }

    fn read(answer: &io::Result<Response>, output: impl Fn(&Response) -> Option<String>) -> Self {
        let Ok(answer) = answer else {
            return Self::Lost;
        };

        if answer.status == 200 {
            return output(answer).map_or(Self::Lost, Self::Answered);
        }

        Self::refusal(&answer.json()).unwrap_or(Self::Lost)
    }

    fn refusal(problem: &Value) -> Option<Self> {
        match problem["outcome"].as_str()? {
            "failed" => Some(Self::Failed),
            "not_run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}
