//! Plays seeds until one breaks a promise.

use {
    bpaf::{Parser, construct, long},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        flag,
    },
    soak::{
        plan::Shape,
        report,
        run::{Setup, play},
    },
    std::{
        env,
        path::PathBuf,
        process::ExitCode,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

struct Options {
    binary: Option<PathBuf>,
    callers: u64,
    hosts: usize,
    runs: u64,
    seconds: u64,
    seed: Option<u64>,
    workers: usize,
}

fn main() -> ExitCode {
    let options = options();
    let interrupted = Arc::new(AtomicBool::new(false));

    for signal in [SIGINT, SIGTERM] {
        if let Err(error) = flag::register(signal, Arc::clone(&interrupted)) {
            eprintln!("error: cannot wait for signals: {error}");
            return ExitCode::FAILURE;
        }
    }

    let binary = options.binary.clone().or_else(neighbour);
    let Some(binary) = binary.filter(|binary| binary.is_file()) else {
        eprintln!("error: build the hosts first: cargo build --release -p platform");
        return ExitCode::FAILURE;
    };
    let first = options.seed.unwrap_or_else(|| rand::random::<u32>().into());

    for seed in first..first + options.runs {
        let folder = match tempfile::tempdir() {
            Ok(folder) => folder,
            Err(error) => {
                eprintln!("error: cannot make a folder: {error}");
                return ExitCode::FAILURE;
            }
        };
        let setup = Setup {
            binary: binary.clone(),
            callers: options.callers,
            folder: folder.path().to_owned(),
            shape: Shape {
                hosts: options.hosts,
                length: Duration::from_secs(options.seconds),
                seed,
                workers: options.workers,
            },
        };
        let outcome = play(&setup, &interrupted);
        print!("{}", report::text(&setup.shape, &outcome, folder.path()));

        if outcome.violation.is_some() {
            // The logs stay for whoever looks for the cause.
            let _ = folder.keep();
            return ExitCode::FAILURE;
        }

        if interrupted.load(Ordering::SeqCst) {
            println!("interrupted");
            return ExitCode::FAILURE;
        }
    }

    ExitCode::SUCCESS
}

/// Returns where the hosts' program is built, beside this one.
fn neighbour() -> Option<PathBuf> {
    let own = env::current_exe().ok()?;
    Some(own.parent()?.join("persimmoncleat-platform"))
}

fn options() -> Options {
    let binary = long("binary")
        .help("Program of the hosts")
        .argument::<PathBuf>("FILE")
        .optional();
    let callers = long("callers")
        .help("Callers at a time")
        .argument::<u64>("N")
        .fallback(10)
        .display_fallback();
    let hosts = long("hosts")
        .help("Hosts")
        .argument::<usize>("N")
        .fallback(4)
        .display_fallback();
    let runs = long("runs")
        .help("Seeds to play, one after the other")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let seconds = long("seconds")
        .help("Time in which faults begin")
        .argument::<u64>("N")
        .fallback(20)
        .display_fallback();
    let seed = long("seed")
        .help("First seed; without it a new one")
        .argument::<u64>("N")
        .optional();
    let workers = long("workers")
        .help("Workers of all services together")
        .argument::<usize>("N")
        .fallback(12)
        .display_fallback();

    construct!(Options {
        binary,
        callers,
        hosts,
        runs,
        seconds,
        seed,
        workers,
    })
    .to_options()
    .descr("Runs hosts as processes under random faults and checks the promises")
    .run()
}
