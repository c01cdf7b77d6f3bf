//! Logging to the standard output, one JSON object per line.
//!
//! Lines go through a bounded queue to a writer thread, so that a stalled
//! reader of the log never blocks a request. Lines that do not fit into the
//! queue are dropped and counted, and the count is logged once the queue has
//! space again.

use {
    flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter},
    log::{
        LevelFilter, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        io::{self, Write},
        process,
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Capacity of the queue in lines. A busy host logs a few hundred lines a
/// second.
const QUEUE_LINES: usize = 4096;

/// Maximum interval between two checks for dropped lines.
const DROPPED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between attempts to queue a flush while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Starts logging to the standard output.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(specification(level))?
        .log_to_writer(Box::new(QueueWriter::start(io::stdout)))
        .start()
}

/// Changes the log level at run time.
pub fn set_level(logger: &LoggerHandle, level: LevelFilter) {
    if let Err(error) = logger.parse_new_spec(&specification(level)) {
        log::error!("cannot change the log level: {error}");
    }
}

/// Waits for a bounded time until all queued lines are written. Call this before
/// the process ends, which does not wait for the writer thread.
pub fn flush() {
    log::logger().flush();
}

/// Writes the queued lines and ends the process.
pub fn exit(code: i32) -> ! {
    flush();
    process::exit(code)
}

fn specification(level: LevelFilter) -> String {
    // Below this level other crates log connection details that are not needed.
    let others = level.min(LevelFilter::Warn);

    format!(
        "{others}, persimmoncleat={level}, persimmoncleatd={level}, \
        persimmoncleat_platform={level}, platform={level}"
    )
}

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

enum Entry {
    /// Requests a notification once all earlier lines are written.
    Flush(SyncSender<()>),
    Line(Vec<u8>),
}

/// A log writer that sends lines to the writer thread.
struct QueueWriter(SyncSender<Entry>);

impl QueueWriter {
    fn start<W: Write>(output: impl FnOnce() -> W + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let writer = thread::Builder::new().name("log".into());

        if let Err(error) = writer.spawn(move || write_lines(&receiver, output())) {
            eprintln!("error: cannot start the log writer thread: {error}");
        }

        Self(sender)
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        write_record(&mut text, now, record)?;
        text.push(b'\n');

        if let Err(TrySendError::Full(_)) = self.0.try_send(Entry::Line(text)) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }

        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        let started = Instant::now();
        let mut entry = Entry::Flush(done);

        // A stalled reader of the log must not delay the end of the process
        // for longer than the time limit.
        while let Err(TrySendError::Full(unsent)) = self.0.try_send(entry) {
            if started.elapsed() >= FLUSH_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }

            entry = unsent;
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }

        match written.recv_timeout(FLUSH_TIMEOUT.saturating_sub(started.elapsed())) {
            Err(RecvTimeoutError::Timeout) => Err(io::ErrorKind::TimedOut.into()),
            // The writer thread has ended because the output is closed.
            Ok(()) | Err(RecvTimeoutError::Disconnected) => Ok(()),
        }
    }
}

fn write_lines(entries: &Receiver<Entry>, mut output: impl Write) {
    loop {
        let written = match entries.recv_timeout(DROPPED_CHECK_INTERVAL) {
            Ok(Entry::Line(text)) => output.write_all(&text),
            Ok(Entry::Flush(done)) => {
                let flushed = output.flush();
                // Fails only if the flush has timed out and its receiver is
                // gone.
                let _ = done.send(());
                flushed
            }
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Err(RecvTimeoutError::Disconnected) => return,
        };

        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);

        if dropped > 0 {
            log::warn!(lines = dropped; "log lines dropped");
        }

        // The output is closed, and there is no other place to report this.
        if written.is_err() {
            return;
        }
    }
}

/// Writes a record as a JSON object, without a line break.
fn write_record(writer: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), now.format_rfc3339().into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    fields
        .0
        .insert("message".into(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(writer, &fields.0).map_err(io::Error::from)
}

struct Fields(Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_string()) {
            (Some(number), _) => json!(number),
            (None, text) if text == "None" => return Ok(()),
            (None, text) => json!(text),
        };
        self.0.insert(key.as_str().into(), value);
        Ok(())
    }
}
