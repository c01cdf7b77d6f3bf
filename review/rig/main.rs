//! The stand-ins and cases of the review. `rig N FOLDER` runs case N and writes
//! FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cases;
mod host;
mod http;
mod json;
mod relay;
mod store;
mod workers;

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Writes a line to record.txt, with the seconds since the start.
pub fn record(line: &str) {
    if let Some((file, started)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {line}", started.elapsed().as_secs_f64());
    }
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(file) = File::create(PathBuf::from(folder).join("record.txt")) else {
        eprintln!("cannot write record.txt");
        std::process::exit(2);
    };
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        std::process::exit(2);
    }
    let result = std::panic::catch_unwind(|| cases::run(&case, &scratch, trouble));
    let keep = std::env::var_os("KEEP").is_some();
    if !keep {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let code = match result {
        Ok(Ok(broken)) if broken.is_empty() => {
            record("RESULT: the rule held");
            println!("the rule held");
            0
        }
        Ok(Ok(broken)) => {
            const SHOWN: usize = 5;
            for (number, line) in broken.iter().enumerate() {
                record(&format!("BROKEN: {line}"));
                if number < SHOWN {
                    println!("broken: {line}");
                }
            }
            println!("broken {} times, see record.txt", broken.len());
            1
        }
        Ok(Err(message)) => {
            record(&format!("RESULT: could not run: {message}"));
            println!("could not run: {message}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
