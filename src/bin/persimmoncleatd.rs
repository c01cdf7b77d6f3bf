//! The daemon, which runs on every entry host.

use {
    bpaf::{Parser, construct, long},
    persimmoncleat::{coordination::daemon, protocol::daemon_file::File, transport::json_log},
    std::{path::PathBuf, process::ExitCode},
};

/// Exit code for an invalid command line or settings file.
const USAGE: u8 = 2;

struct Options {
    check: bool,
    config: PathBuf,
}

fn main() -> ExitCode {
    let signals = match daemon::stop_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let options = match options() {
        Ok(options) => options,
        Err(code) => return code,
    };
    let file = match File::read(&options.config) {
        Ok(file) => file,
        Err(faults) => {
            for fault in faults {
                eprintln!("error: {fault}");
            }
            return ExitCode::from(USAGE);
        }
    };

    if options.check {
        return ExitCode::SUCCESS;
    }

    let _logger = match json_log::start(file.level) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("error: cannot start the log: {error}");
            return ExitCode::FAILURE;
        }
    };

    let code = match daemon::run(file, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    };
    json_log::flush();
    code
}

fn options() -> Result<Options, ExitCode> {
    let check = long("check")
        .help("Check the settings file and exit")
        .switch();
    let config = long("config")
        .help("Settings file of this host")
        .argument::<PathBuf>("FILE");

    construct!(Options { check, config })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Serves multi-stage model pipelines between callers and endpoints")
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| {
            failure.print_message(100);
            match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(USAGE),
            }
        })
}
