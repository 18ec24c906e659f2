//! The log: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue to a writer thread, so that a stalled reader of the output never blocks the
//! networking thread. Lines are rate-limited by target and level; the suppressed ones are counted, and their number is logged
//! when the first line of that target and level comes after the one-second window.

use std::collections::HashMap;
use std::fmt;
use std::io::{self, Write as _};
use std::panic;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::clock::whole_ms;
use crate::resources::{self, PassedShortage};

/// Key of the node's name in a line's diagnostic context.
const NODE_KEY: &str = "node";
const APPENDER: &str = "log";
const WRITER_THREAD: &str = "log-writer";
/// Capacity of the queue to the writer.
const MAX_WAITING_LINES: usize = 4_096;
/// Lines of one target and level in one second.
const MAX_LINES_PER_SECOND: u32 = 300;
const WINDOW: Duration = Duration::from_secs(1);

/// Counters of the log.
#[derive(Debug, Default)]
pub struct LogCounters {
    /// Lines handed to the writer.
    pub queued: AtomicU64,
    /// Lines dropped by the rate limit.
    pub suppressed: AtomicU64,
    /// Lines dropped because the queue was full, or because the standard output took none.
    pub lost: AtomicU64,
    /// Lines that have reached the standard output, or can't.
    pub flushed: AtomicU64,
}

impl LogCounters {
    /// Blocks until all lines so far have reached the standard output, or until the timeout. To be called before the process
    /// ends, since its last lines say why.
    pub fn wait_until_flushed(&self, timeout: Duration) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(2);
        let limit = Instant::now() + timeout;
        let is_behind =
            || self.flushed.load(Ordering::Acquire) < self.queued.load(Ordering::Acquire);
        while is_behind() && Instant::now() < limit {
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// Error from [`start`].
#[derive(Debug)]
pub enum LogError {
    /// The writer thread could not be spawned.
    Thread(io::Error),
    /// `log4rs` rejected the configuration.
    Configuration(log4rs::config::runtime::ConfigErrors),
    /// A logger is already installed.
    AlreadyInstalled(log::SetLoggerError),
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Thread(error) => write!(formatter, "cannot start the log writer thread: {error}"),
            Self::Configuration(error) => write!(formatter, "cannot configure the log: {error}"),
            Self::AlreadyInstalled(error) => write!(formatter, "cannot start the log: {error}"),
        }
    }
}

impl std::error::Error for LogError {}

/// Starts the log of the process; each line has the node's name.
pub fn start(node: &str) -> Result<Arc<LogCounters>, LogError> {
    let counters = Arc::<LogCounters>::default();
    let (sender, shortage) = start_writer(&counters).map_err(LogError::Thread)?;
    let appender = BoundedAppender {
        node: node.to_owned(),
        lines: sender,
        windows: Mutex::default(),
        counters: Arc::clone(&counters),
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(LogError::Configuration)?;
    log4rs::init_config(config).map_err(LogError::AlreadyInstalled)?;
    log_panics();
    log_shortage("thread", shortage);
    Ok(counters)
}

/// Starts the writer thread; returns its queue.
fn start_writer(
    counters: &Arc<LogCounters>,
) -> io::Result<(SyncSender<Vec<u8>>, Option<PassedShortage>)> {
    resources::wait_for(|| {
        let (sender, receiver) = sync_channel(MAX_WAITING_LINES);
        let counters = Arc::clone(counters);
        let builder = std::thread::Builder::new().name(WRITER_THREAD.to_owned());
        builder.spawn(move || write_lines(&receiver, &counters))?;
        Ok(sender)
    })
}

/// Logs that the start waited for what the machine lacked, if it did.
pub fn log_shortage(resource: &str, shortage: Option<PassedShortage>) {
    if let Some(PassedShortage {
        first_error,
        waited,
    }) = shortage
    {
        log::warn!(
            target: "process",
            resource = resource,
            waited_ms = whole_ms(waited),
            detail:% = first_error;
            "start waited for what the machine lacked"
        );
    }
}

/// Has each panic logged, beside its message on the standard error: it may end a task that nothing else misses.
fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log::error!(
            target: "process",
            place = info.location().map(ToString::to_string),
            detail = info.payload_as_str();
            "panicked"
        );
        print(info);
    }));
}

fn write_lines(lines: &Receiver<Vec<u8>>, counters: &LogCounters) {
    let mut unwritten = 0;
    while let Ok(mut text) = lines.recv() {
        let mut count = 1;
        while let Ok(more) = lines.try_recv() {
            text.extend_from_slice(&more);
            count += 1;
        }
        let mut output = std::io::stdout().lock();
        // The process keeps running when its output is closed or full.
        match output.write_all(&text).and_then(|()| output.flush()) {
            Ok(()) if unwritten > 0 => {
                log::warn!(target: "process", lines = unwritten; "log lines could not be written");
                unwritten = 0;
            }
            Ok(()) => {}
            Err(_) => {
                unwritten += count;
                counters.lost.fetch_add(count, Ordering::Relaxed);
            }
        }
        counters.flushed.fetch_add(count, Ordering::AcqRel);
    }
}

/// Lines of one target and level in the current second.
#[derive(Debug)]
struct Window {
    began: Instant,
    admitted: u32,
    suppressed: u64,
}

#[derive(Debug)]
struct BoundedAppender {
    node: String,
    lines: SyncSender<Vec<u8>>,
    windows: Mutex<HashMap<(String, Level), Window>>,
    counters: Arc<LogCounters>,
}

impl BoundedAppender {
    /// Whether the line is within the rate limit, and how many lines were suppressed in the window that has just ended, if one has.
    fn admit(&self, record: &Record<'_>) -> (bool, u64) {
        let now = Instant::now();
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (record.target().to_owned(), record.level());
        let window = windows.entry(key).or_insert(Window {
            began: now,
            admitted: 0,
            suppressed: 0,
        });
        let mut suppressed = 0;
        if now.duration_since(window.began) >= WINDOW {
            suppressed = std::mem::take(&mut window.suppressed);
            window.began = now;
            window.admitted = 0;
        }
        let is_admitted = window.admitted < MAX_LINES_PER_SECOND;
        if is_admitted {
            window.admitted += 1;
        } else {
            window.suppressed += 1;
        }
        (is_admitted, suppressed)
    }

    fn send(&self, record: &Record<'_>) -> anyhow::Result<()> {
        // The encoder writes the diagnostic context of the current thread, which may not have the node's name yet.
        if log_mdc::get(NODE_KEY, |node| node.is_none()) {
            log_mdc::insert(NODE_KEY, self.node.as_str());
        }
        let mut line = Vec::new();
        JsonEncoder::new().encode(&mut SimpleWriter(&mut line), record)?;
        // Counted before the writer can receive the line, so that `flushed` never exceeds `queued`.
        self.counters.queued.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_err() {
            self.counters.queued.fetch_sub(1, Ordering::AcqRel);
            self.counters.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let (is_admitted, suppressed) = self.admit(record);
        if suppressed > 0 {
            self.counters
                .suppressed
                .fetch_add(suppressed, Ordering::Relaxed);
            let text = format_args!("{suppressed} lines of this target and level were suppressed");
            let note = Record::builder()
                .target(record.target())
                .level(record.level())
                .args(text)
                .build();
            self.send(&note)?;
        }
        if is_admitted {
            self.send(record)?;
        }
        Ok(())
    }

    fn flush(&self) {}
}
