//! Runs seeds until one of them violates a guarantee.

use {
    bpaf::{Parser, construct, long},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        flag,
    },
    soak::{
        plan::Parameters,
        report,
        run::{Setup, run_seed},
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
            eprintln!("error: cannot register a signal handler: {error}");
            return ExitCode::FAILURE;
        }
    }

    let binary = options.binary.clone().or_else(adjacent_binary);
    let Some(binary) = binary.filter(|binary| binary.is_file()) else {
        eprintln!(
            "error: the program of the hosts does not exist; \
             build it with `cargo build --release -p platform`"
        );
        return ExitCode::FAILURE;
    };
    let first = options.seed.unwrap_or_else(|| rand::random::<u32>().into());

    for seed in first..first + options.runs {
        let folder = match tempfile::tempdir() {
            Ok(folder) => folder,
            Err(error) => {
                eprintln!("error: cannot create a temporary folder: {error}");
                return ExitCode::FAILURE;
            }
        };
        let setup = Setup {
            binary: binary.clone(),
            callers: options.callers,
            folder: folder.path().to_owned(),
            parameters: Parameters {
                hosts: options.hosts,
                length: Duration::from_secs(options.seconds),
                restores: true,
                seed,
                workers: options.workers,
            },
        };
        let outcome = run_seed(&setup, &interrupted);
        print!(
            "{}",
            report::text(&setup.parameters, &outcome, folder.path())
        );

        if outcome.violation.is_some() {
            // Keep the hosts' logs for debugging.
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

/// Returns the path of the hosts' program in the folder of this executable.
fn adjacent_binary() -> Option<PathBuf> {
    let own = env::current_exe().ok()?;
    Some(own.parent()?.join("persimmoncleat-platform"))
}

fn options() -> Options {
    let binary = long("binary")
        .help("Path of the hosts' program")
        .argument::<PathBuf>("FILE")
        .optional();
    let callers = long("callers")
        .help("Number of concurrent callers")
        .argument::<u64>("N")
        .fallback(10)
        .display_fallback();
    let hosts = long("hosts")
        .help("Number of hosts")
        .argument::<usize>("N")
        .fallback(4)
        .display_fallback();
    let runs = long("runs")
        .help("Number of consecutive seeds to run")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let seconds = long("seconds")
        .help("Seconds during which faults may begin")
        .argument::<u64>("N")
        .fallback(20)
        .display_fallback();
    let seed = long("seed")
        .help("First seed; random if omitted")
        .argument::<u64>("N")
        .optional();
    let workers = long("workers")
        .help("Number of workers, over all services")
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
    .descr("Runs hosts as processes under random faults and checks the guarantees")
    .run()
}
