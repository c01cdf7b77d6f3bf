//! Command-line tool of the operators.

mod change;
mod config;
mod diff;
mod explain;
mod failure;
mod fleet;
mod help;
mod operator;
mod options;
mod replay;
mod table;
mod timeline;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = match options::parse() {
        Ok(options) => options,
        Err(code) => return code,
    };

    match options.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if !failure.text.is_empty() {
                eprintln!("{}", failure.text.trim_end());
            }
            ExitCode::from(failure.code)
        }
    }
}
