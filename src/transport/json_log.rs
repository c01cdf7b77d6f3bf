//! The log: one JSON object a line.

use {
    flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle},
    log::{
        LevelFilter, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::io::{self, Write},
};

/// Starts to log to the standard output.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    // Other crates log connection details that nobody reads below this level.
    let others = level.min(LevelFilter::Warn);

    Logger::try_with_str(format!(
        "{others}, persimmoncleat={level}, persimmoncleatd={level}"
    ))?
    .format(line)
    .log_to_stdout()
    .start()
}

/// Writes a record as one JSON object, without the line's end.
fn line(writer: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
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
