//! Parser of the command line.

use {
    crate::{
        change::Author, config, explain, failure::Failure, fleet, help, operator::Operator, replay,
        timeline,
    },
    bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional},
    persimmoncleat::state::key::{self, KEYS},
    std::{env, fmt::Write, net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// Exit code for an invalid command line.
const USAGE: u8 = 2;

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

/// Default number of changes in a history.
const DEFAULT_HISTORY_LIMIT: usize = 20;

#[derive(Clone, Debug)]
enum Command {
    Apply {
        json: bool,
        dry_run: bool,
        remove: bool,
        author: Author,
        file: PathBuf,
    },
    Backlog {
        json: bool,
    },
    Check {
        json: bool,
        file: PathBuf,
    },
    Drain {
        json: bool,
    },
    Endpoints {
        json: bool,
    },
    Explain {
        json: bool,
        request: String,
    },
    ExplainPath {
        json: bool,
        question: explain::Question,
    },
    Export,
    Get {
        json: bool,
        explain: bool,
        path: String,
    },
    History {
        json: bool,
        limit: usize,
    },
    Replay {
        json: bool,
        trace: PathBuf,
    },
    Set {
        json: bool,
        author: Author,
        path: String,
        key: String,
        value: String,
    },
    Status {
        json: bool,
    },
    Timeline {
        json: bool,
        request: String,
        logs: Vec<PathBuf>,
    },
}

/// The parsed command line.
#[derive(Debug)]
pub struct Options {
    host: Option<SocketAddr>,
    key_file: Option<PathBuf>,
    command: Command,
}

impl Options {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns the failure of the command.
    pub fn run(self) -> Result<(), Failure> {
        let operator = || Operator::new(self.host, self.key_file.as_deref());

        match self.command {
            Command::Apply {
                json,
                dry_run,
                remove,
                author,
                file,
            } => config::apply(&operator()?, &file, author, dry_run, remove, json),
            Command::Backlog { json } => fleet::backlog(&operator()?, json),
            Command::Check { json, file } => config::check(&file, json),
            Command::Drain { json } => fleet::drain(&operator()?, json),
            Command::Endpoints { json } => fleet::endpoints(&operator()?, json),
            Command::Explain { json, request } => fleet::explain(&operator()?, &request, json),
            Command::ExplainPath { json, question } => explain::explain(&question, json),
            Command::Export => config::export(&operator()?),
            Command::Get {
                json,
                explain,
                path,
            } => config::get(&operator()?, &path, explain, json),
            Command::History { json, limit } => config::history(&operator()?, limit, json),
            Command::Replay { json, trace } => replay::replay(&trace, json),
            Command::Set {
                json,
                author,
                path,
                key,
                value,
            } => config::set(&operator()?, (path, key, value), author, json),
            Command::Status { json } => fleet::status(&operator()?, json),
            Command::Timeline {
                json,
                request,
                logs,
            } => timeline::timeline(&request, &logs, json),
        }
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Returns the exit code if the command line is invalid or asks for help.
pub fn parse() -> Result<Options, ExitCode> {
    options()
        .run_inner(Args::current_args())
        .map_err(|failure| match failure {
            // `print_message` omits all but the first paragraph of a footer.
            ParseFailure::Stdout(help, _) => {
                println!("{}", help.monochrome(true).trim_end());
                ExitCode::SUCCESS
            }
            failure => {
                failure.print_message(HELP_WIDTH);
                ExitCode::from(USAGE)
            }
        })
}

fn options() -> OptionParser<Options> {
    let host = long("host")
        .help("Caller address of the host to contact, for example 127.0.0.1:7001")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let key_file = long("key-file")
        .help("File with the operators' key")
        .argument::<PathBuf>("FILE")
        .optional();
    let (config, fleet) = (config(), fleet());
    let command = construct!([config, fleet]);

    construct!(Options {
        host,
        key_file,
        command
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Operates hosts of persimmoncleat")
    .footer(help::MAIN)
}

fn config() -> impl Parser<Command> {
    let (apply, check, export) = (apply(), check(), export());
    let (get, history, set) = (get(), history(), set());

    construct!([apply, check, export, get, history, set])
        .to_options()
        .descr("Reads and changes the settings")
        .command("config")
        .help("Read and change the settings")
}

fn fleet() -> impl Parser<Command> {
    let json = json();
    let backlog = command(
        construct!(Command::Backlog { json }),
        "backlog",
        "Show the queues by stage, team and class",
        help::BACKLOG,
    );
    let json = self::json();
    let drain = command(
        construct!(Command::Drain { json }),
        "drain",
        "Start a planned stop of the host",
        help::DRAIN,
    );
    let json = self::json();
    let endpoints = command(
        construct!(Command::Endpoints { json }),
        "endpoints",
        "Show the endpoints that the host uses",
        help::ENDPOINTS,
    );
    let json = self::json();
    let request = positional::<String>("REQUEST").help("Id of the request");
    let by_request = construct!(Command::Explain { json, request });
    let json = self::json();
    let question = question();
    let by_path = construct!(Command::ExplainPath { json, question });
    let explain = command(
        construct!([by_path, by_request]),
        "explain",
        "Show the events of a request, or where one would go",
        help::EXPLAIN,
    );
    let json = self::json();
    let trace = positional::<PathBuf>("TRACE").help("File with the trace");
    let replay = command(
        construct!(Command::Replay { json, trace }),
        "replay",
        "Replay a recorded trace and check the rules of its state machine",
        help::REPLAY,
    );
    let json = self::json();
    let status = command(
        construct!(Command::Status { json }),
        "status",
        "Show the state of the host and its view of the other hosts",
        help::STATUS,
    );
    let json = self::json();
    let request = positional::<String>("REQUEST").help("Id of the request");
    let logs = positional::<PathBuf>("LOG")
        .help("Log of a host")
        .some("expected at least one LOG");
    let timeline = command(
        construct!(Command::Timeline {
            json,
            request,
            logs
        }),
        "timeline",
        "Merge the log lines of a request from several hosts",
        help::TIMELINE,
    );

    construct!([backlog, drain, endpoints, explain, replay, status, timeline])
}

fn question() -> impl Parser<explain::Question> {
    let metrics = long("metrics")
        .help("Metrics address of a host that serves routes")
        .argument::<SocketAddr>("ADDRESS");
    let name = long("name")
        .help("Value of the request's Host header")
        .argument::<String>("NAME");
    let path = long("path").help("Path").argument::<String>("PATH");
    let team = long("team")
        .help("Team of the caller")
        .argument::<String>("TEAM")
        .optional();
    let parts = long("parts")
        .help("Parts of the prompt with their tokens, for example a:50,b:30")
        .argument::<String>("PARTS")
        .optional();
    construct!(explain::Question {
        metrics,
        name,
        parts,
        path,
        team
    })
}

fn apply() -> impl Parser<Command> {
    let json = json();
    let dry_run = long("dry-run")
        .help("Show the differences without submitting them")
        .switch();
    let remove = long("remove")
        .help("Unset the values that the file lacks")
        .switch();
    let author = author();
    let file = positional::<PathBuf>("FILE").help("File with the whole tree");
    let apply = construct!(Command::Apply {
        json,
        dry_run,
        remove,
        author,
        file
    });
    command(apply, "apply", "Apply a settings file", help::APPLY)
}

fn check() -> impl Parser<Command> {
    let json = json();
    let file = positional::<PathBuf>("FILE").help("File with the whole tree");
    let check = construct!(Command::Check { json, file });
    let footer = format!("{}\n\n{}", help::CHECK, keys());
    command(check, "check", "Check a settings file", &footer)
}

fn export() -> impl Parser<Command> {
    let export = bpaf::pure(Command::Export);
    let summary = "Print the settings in force as a file";
    command(export, "export", summary, help::EXPORT)
}

fn get() -> impl Parser<Command> {
    let json = json();
    let explain = long("explain")
        .help("Show which path sets each value")
        .switch();
    let path = positional::<String>("PATH").help("For example teams/hvarfdal/volume");
    let get = construct!(Command::Get {
        json,
        explain,
        path
    });
    command(get, "get", "Show the values in force on a path", help::GET)
}

fn history() -> impl Parser<Command> {
    let json = json();
    let limit = long("limit")
        .help("Number of changes, 1 to 1000")
        .argument::<usize>("N")
        .fallback(DEFAULT_HISTORY_LIMIT)
        .display_fallback();
    let history = construct!(Command::History { json, limit });
    command(history, "history", "Show the latest changes", help::HISTORY)
}

fn set() -> impl Parser<Command> {
    let json = json();
    let author = author();
    let path = positional::<String>("PATH").help("For example teams/hvarfdal/volume");
    let key = positional::<String>("KEY").help("One of the keys listed below");
    let value = positional::<String>("VALUE").help("Value in the unit of the key");
    let set = construct!(Command::Set {
        json,
        author,
        path,
        key,
        value
    });
    let footer = format!("{}\n\n{}", help::SET, keys());
    command(set, "set", "Set one value", &footer)
}

fn author() -> impl Parser<Author> {
    let name = long("author")
        .help("Author recorded in the history; defaults to the user's name")
        .argument::<String>("NAME")
        .fallback_with(|| env::var("USER").or_else(|_| Ok::<_, String>("operator".into())));
    let operation = long("operation")
        .help("Operation id of an earlier attempt whose outcome is not known")
        .argument::<String>("ID")
        .fallback_with(|| Ok::<_, String>(format!("{:032x}", rand::random::<u128>())));
    construct!(Author { name, operation })
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

fn command(
    parser: impl Parser<Command> + 'static,
    name: &'static str,
    summary: &'static str,
    footer: &str,
) -> Box<dyn Parser<Command>> {
    parser
        .to_options()
        .descr(summary)
        .footer(footer)
        .command(name)
        .help(summary)
        .boxed()
}

/// Describes every key with its values, unit, paths and default.
fn keys() -> String {
    KEYS.iter()
        .fold("Keys:".into(), |mut text, key: &key::Key| {
            let default = match key.default {
                Some(default) => default,
                None if key.name == "pool" => "the stage's name",
                None => "none",
            };
            let _ = write!(
                text,
                "\n  {}: {}; on {}; default {default}",
                key.name,
                key.expected(),
                key.paths()
            );
            text
        })
}
