//! Guards against a stalled reader of the log that blocks the program, and
//! against dropped lines that are not counted.

use {
    log::LevelFilter,
    persimmoncleat::transport::json_log,
    std::{
        io::Read,
        os::fd::AsFd,
        time::{Duration, Instant},
    },
};

#[test]
fn stalled_reader_does_not_block_logging() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    // Restored at the end, because the test runner prints its result to stdout.
    let original = std::io::stdout().as_fd().try_clone_to_owned().unwrap();
    rustix::stdio::dup2_stdout(writer.as_fd()).unwrap();
    drop(writer);
    let logger = json_log::start(LevelFilter::Info).unwrap();
    let started = Instant::now();

    for number in 0..20_000 {
        log::info!(target: "persimmoncleat", number = number; "line");
    }

    assert!(started.elapsed() < Duration::from_secs(10));
    let reading = std::thread::spawn(move || {
        let mut text = String::new();
        let mut bytes = [0; 65536];

        while !text.contains("log lines dropped") {
            let count = reader.read(&mut bytes).unwrap();
            text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }

        text
    });
    let text = reading.join().unwrap();
    rustix::stdio::dup2_stdout(original.as_fd()).unwrap();
    drop(logger);
    let first: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!(first["message"], "line");
    assert_eq!(first["number"], 0);
}
