//! Guards against lines that are lost when the process ends right after they
//! were logged.

use {
    log::LevelFilter,
    persimmoncleat::transport::json_log,
    std::{io::Read, os::fd::AsFd, thread, time::Duration},
};

/// Fewer than the queue holds, but more than a pipe holds.
const LINES: usize = 4000;

#[test]
fn flush_waits_until_a_slow_reader_has_the_queued_lines() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    // Restored at the end, because the test runner prints its result to stdout.
    let original = std::io::stdout().as_fd().try_clone_to_owned().unwrap();
    rustix::stdio::dup2_stdout(writer.as_fd()).unwrap();
    drop(writer);
    let _logger = json_log::start(LevelFilter::Info).unwrap();

    for number in 0..LINES {
        log::info!(target: "persimmoncleat", number = number; "line");
    }

    log::info!(target: "persimmoncleat", "last");
    let reading = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        let mut text = String::new();
        reader.read_to_string(&mut text).unwrap();
        text
    });
    json_log::flush();
    // Closes the pipe's last writer, as the end of the process would.
    rustix::stdio::dup2_stdout(original.as_fd()).unwrap();
    assert!(reading.join().unwrap().contains("\"last\""));
}
