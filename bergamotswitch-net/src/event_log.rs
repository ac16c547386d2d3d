//! Provides the log of numbered events with key-value pairs.

use std::fmt;
use std::io;

use bergamotswitch_core::incident::{Incident, Level};
use bergamotswitch_core::settings::{LogFormat, LogLevel, LogOutput, LogSettings};
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::line_buffer::{LineBuffer, LineFormat};

/// The `log` target of this system's events.
pub const LOG_TARGET: &str = "bergamotswitch";

/// The key of the event number in a log line.
pub const EVENT_KEY: &str = "event";

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// An `EventLogError` is the reason why the log cannot be started.
pub type EventLogError = FlexiLoggerError;

/// Try to start the log. Events of this system are written from the configured
/// level upwards, those of libraries only from warnings upwards. The log stops
/// when the returned handle is dropped.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle, EventLogError> {
    let level = match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    };
    let spec = LogSpecification::builder()
        .default(LevelFilter::Warn.min(level))
        .module(LOG_TARGET, level)
        .build();
    let logger = Logger::with(spec).use_utc();
    let format: LineFormat = match settings.format {
        LogFormat::Text => text_line,
        LogFormat::Json => flexi_logger::json_format,
    };
    match settings.output {
        LogOutput::Stderr => logger.log_to_stderr().format(format).start(),
        LogOutput::Stdout => {
            let buffer = LineBuffer::to_stdout(format);
            logger.log_to_writer(Box::new(buffer)).start()
        }
    }
}

/// Write a numbered event with its key-value pairs.
pub fn write(incident: Incident, pairs: &[(&str, &dyn fmt::Display)]) {
    let number = incident.number();
    let mut key_values = Vec::with_capacity(pairs.len() + 1);
    key_values.push((EVENT_KEY, Value::from(number)));
    for (key, value) in pairs {
        key_values.push((*key, Value::from_dyn_display(*value)));
    }
    let level = match incident.level() {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::logger().log(
        &Record::builder()
            .level(level)
            .target(LOG_TARGET)
            .module_path(Some(LOG_TARGET))
            .args(format_args!("{}", incident.text()))
            .key_values(&key_values)
            .build(),
    );
}

/// Request that buffered lines be written, without waiting for it.
pub fn request_flush() {
    log::logger().flush();
}

/// Write a record as one line in the text format.
///
/// # Errors
///
/// Returns an error if writing fails or a key-value pair is unreadable.
pub fn text_line(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), io::Error> {
    let time = now.format(TIME_FORMAT);
    write!(writer, "{time} {:5} {}", record.level(), record.args())?;
    let mut pairs = PairWriter {
        writer,
        failure: None,
    };
    let visited = record.key_values().visit(&mut pairs);
    match (pairs.failure, visited) {
        (Some(failure), _) => Err(failure),
        (None, Ok(())) => Ok(()),
        (None, Err(_)) => Err(io::Error::other("failed to read a key-value pair")),
    }
}

struct PairWriter<'w> {
    writer: &'w mut dyn io::Write,
    failure: Option<io::Error>,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        // Text from a caller may contain a line break and forge a log line, so
        // such values are quoted and escaped.
        let plain = !text.is_empty() && text.chars().all(|c| !needs_quotes(c));
        let written = match plain {
            true => write!(self.writer, " {key}={text}"),
            false => write!(self.writer, " {key}={text:?}"),
        };
        if let Err(failure) = written {
            self.failure = Some(failure);
        }
        Ok(())
    }
}

fn needs_quotes(c: char) -> bool {
    c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\')
}
