//! A caller that fetches the entry points from a host and sends one request to
//! the first of them.
//!
//! `caller HOST TEAM KEY_FILE PIPELINE PROMPT [--once] [--stream] [--tokens N]`
//! prints the answer and exits 0, or prints the refusal and exits 1. With
//! `--once` the request is not repeatable and runs under a ticket, at the host
//! that the ticket's answer names.

use {
    bpaf::{OptionParser, Parser, construct, long, positional},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        error::Error,
        fs,
        io::{self, BufRead, BufReader, Read},
        path::PathBuf,
        process::ExitCode,
    },
    ureq::{Agent, http::Request},
};

#[derive(Clone, Debug)]
struct Options {
    once: bool,
    stream: bool,
    tokens: u32,
    host: String,
    team: String,
    key_file: PathBuf,
    pipeline: String,
    prompt: String,
}

struct Caller {
    agent: Agent,
    key: String,
    options: Options,
}

impl Caller {
    fn new(options: Options) -> io::Result<Self> {
        Ok(Self {
            agent: Agent::config_builder()
                .http_status_as_error(false)
                .build()
                .into(),
            key: fs::read_to_string(&options.key_file)?.trim().into(),
            options,
        })
    }

    fn run(&self) -> Result<ExitCode, Box<dyn Error>> {
        let body = json!({ "prompt": self.options.prompt, "max_tokens": self.options.tokens });
        let body = body.to_string();

        if self.options.once {
            let ticket = self.ticket(&body)?;
            let address = string(&ticket["address"]);
            return self.request(&address, &body, Some(&string(&ticket["ticket"])));
        }

        let first = self.entrypoint()?;
        self.request(&first, &body, None)
    }

    /// Returns the first entry point that the host lists.
    fn entrypoint(&self) -> Result<String, Box<dyn Error>> {
        let Options { host, team, .. } = &self.options;
        let url = format!("http://{host}/v1/entrypoints?caller={team}");
        let answer: Value =
            serde_json::from_reader(self.agent.get(url).call()?.body_mut().as_reader())?;
        Ok(string(&answer["entrypoints"][0]["address"]))
    }

    /// Requests a ticket for a body from the host.
    fn ticket(&self, body: &str) -> Result<Value, Box<dyn Error>> {
        let digest: String = Sha256::digest(body)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let claims = json!({
            "body_sha256": digest,
            "class": "urgent",
            "pipeline": self.options.pipeline,
            "team": self.options.team,
        });
        let mut answer = self
            .agent
            .post(format!("http://{}/v1/tickets", self.options.host))
            .header("Authorization", format!("Bearer {}", self.key))
            .send(claims.to_string())?;
        Ok(serde_json::from_reader(answer.body_mut().as_reader())?)
    }

    fn request(
        &self,
        address: &str,
        body: &str,
        ticket: Option<&str>,
    ) -> Result<ExitCode, Box<dyn Error>> {
        let Options {
            pipeline, stream, ..
        } = &self.options;
        let url = format!("http://{address}/v1/pipelines/{pipeline}/requests?stream={stream}");
        let mut request = Request::post(url)
            .header("Authorization", format!("Bearer {}", self.key))
            .header("Persimmon-Class", "urgent")
            .header("Persimmon-Repeatable", ticket.is_none().to_string())
            .header("Persimmon-Team", &self.options.team);

        if let Some(ticket) = ticket {
            request = request.header("Persimmon-Ticket", ticket);
        }

        let mut answer = self.agent.run(request.body(body.to_string())?)?;
        let success = answer.status().is_success();
        print_lines(answer.body_mut().as_reader())?;
        Ok(if success {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

/// Prints every line of a response as it arrives.
fn print_lines(reader: impl Read) -> io::Result<()> {
    for line in BufReader::new(reader).lines() {
        println!("{}", line?);
    }

    Ok(())
}

fn string(value: &Value) -> String {
    value.as_str().unwrap_or_default().into()
}

fn options() -> OptionParser<Options> {
    let once = long("once")
        .help("Run at most once, under a ticket")
        .switch();
    let stream = long("stream").help("Print tokens as they arrive").switch();
    let tokens = long("tokens")
        .help("Maximum number of tokens of the answer")
        .argument("N")
        .fallback(16);
    let host = positional("HOST").help("Caller address of any host");
    let team = positional("TEAM");
    let key_file = positional("KEY_FILE").help("File with the team's key");
    let pipeline = positional("PIPELINE");
    let prompt = positional("PROMPT");
    construct!(Options {
        once,
        stream,
        tokens,
        host,
        team,
        key_file,
        pipeline,
        prompt
    })
    .to_options()
    .descr("Sends one request to a pipeline")
}

fn main() -> ExitCode {
    match Caller::new(options().run())
        .map_err(Into::into)
        .and_then(|caller| caller.run())
    {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
