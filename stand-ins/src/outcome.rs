//! Outcomes of requests as callers see them.

use {crate::client::Response, serde_json::Value, std::io};

/// Outcome of a request, derived from the response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response is complete and contains this output.
    Answered(String),
    /// The request ran and failed.
    Failed,
    /// The response is missing or truncated, or is neither an output nor a
    /// problem.
    Lost,
    /// The response states that the request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome of a response that is not streamed.
    pub fn buffered(response: &io::Result<Response>) -> Self {
        Self::parse(response, |response| {
            let body = response.json();
            let complete = body["complete"] == true;
            body["output"].as_str().filter(|_| complete).map(Into::into)
        })
    }

    /// Returns the outcome of a streamed response. A complete stream has tokens
    /// numbered without gaps and ends with a line that contains their count, or
    /// with a problem instead.
    pub fn streamed(response: &io::Result<Response>) -> Self {
        let last = match response {
            Ok(response) => response.text.lines().last().unwrap_or_default(),
            Err(_) => return Self::Lost,
        };
        let last: Value = serde_json::from_str(last).unwrap_or_default();

        if let Some(refusal) = Self::parse_problem(&last["problem"]) {
            return refusal;
        }

        Self::parse(response, |response| {
            let mut output = String::new();
            let mut lines = response.text.lines();

            for (index, line) in (&mut lines).enumerate() {
                let line: Value = serde_json::from_str(line).ok()?;

                if line["end"] == true {
                    return (line["tokens"] == index && lines.next().is_none()).then_some(output);
                }

                if line["index"] != index {
                    return None;
                }

                output.push_str(line["token"].as_str()?);
            }

            None
        })
    }

    fn parse(
        response: &io::Result<Response>,
        output: impl Fn(&Response) -> Option<String>,
    ) -> Self {
        let Ok(response) = response else {
            return Self::Lost;
        };

        if response.status == 200 {
            return output(response).map_or(Self::Lost, Self::Answered);
        }

        Self::parse_problem(&response.json()).unwrap_or(Self::Lost)
    }

    fn parse_problem(problem: &Value) -> Option<Self> {
        match problem["outcome"].as_str()? {
            "failed" => Some(Self::Failed),
            "not_run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}
