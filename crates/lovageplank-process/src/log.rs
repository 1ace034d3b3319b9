//! Logging: one line of key=value pairs per event, to standard error or standard output.

use eyre::{Result, WrapErr};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging to standard error. `filter` is a level such as `info`, or directives such as
/// `info,hyper=warn`. Fails if the filter is invalid or logging was already started.
pub fn init(filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter {filter:?}"))?;
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = tracing_subscriber::Layer::with_filter(layer.with_writer(std::io::stderr), filter);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")
}

/// Lines that may wait to be written. Further lines are dropped and counted, so that a blocked
/// output neither blocks the process nor grows its memory. A line in the output says how many are
/// missing, as soon as the queue is empty again.
const QUEUED_LINES_MAX: usize = 4_096;
/// Milliseconds for which dropping an [`Output`] waits to queue a flush, and again for the flush to
/// finish. After that, lines that are still queued may be lost.
const FLUSH_TIMEOUT_MS: u64 = 500;

/// A command to the writer thread.
enum Job {
    /// Writes a line.
    Line(Vec<u8>),
    /// Confirms that all earlier lines were written.
    Flush(flume::Sender<()>),
}

/// Writes log lines in a thread of its own. Dropping it waits for a limited time until the queued
/// lines are written.
#[must_use = "queued lines are lost if the process ends before this is dropped"]
pub struct Output {
    jobs: flume::Sender<Job>,
    left_out: Arc<AtomicU64>,
}

/// Starts logging to standard output. Logging never blocks: if the queue is full, lines are dropped
/// and counted in `lovageplank_log_lines_left_out_total` and in a line `log_lines_left_out`. `filter` is as for [`init`].
pub fn init_stdout(filter: &str) -> Result<Output> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter {filter:?}"))?;
    let output = Output::new(std::io::stdout())?;
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = tracing_subscriber::Layer::with_filter(layer.with_writer(output.writer()), filter);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")?;
    Ok(output)
}

impl Output {
    /// Starts a thread that writes lines to `out`.
    pub fn new(out: impl Write + Send + 'static) -> Result<Output> {
        let (jobs, queue) = flume::bounded(QUEUED_LINES_MAX);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(out, &queue, &counter))
            .wrap_err("start the thread for logs")?;
        Ok(Output { jobs, left_out })
    }

    /// Returns a function that creates a writer for one line. The line is queued when its writer is
    /// dropped.
    pub fn writer(&self) -> impl Fn() -> LineWriter + Send + Sync + 'static {
        let (jobs, left_out) = (self.jobs.clone(), self.left_out.clone());
        move || LineWriter {
            jobs: jobs.clone(),
            left_out: left_out.clone(),
            bytes: Vec::new(),
        }
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        let (done, written) = flume::bounded(1);
        let wait = Duration::from_millis(FLUSH_TIMEOUT_MS);
        // If nothing reads the output, the last lines are lost like any lines beyond the queue.
        if self.jobs.send_timeout(Job::Flush(done), wait).is_ok() {
            let _ = written.recv_timeout(wait);
        }
    }
}

fn write_lines(mut out: impl Write, queue: &flume::Receiver<Job>, left_out: &AtomicU64) {
    let mut write = |line: &[u8]| {
        // Errors are ignored, because a closed output can't be reported anywhere else.
        let _ = out.write_all(line);
        let _ = out.flush();
    };
    while let Ok(job) = queue.recv() {
        let done = match job {
            Job::Line(line) => {
                write(&line);
                None
            }
            Job::Flush(done) => Some(done),
        };
        if queue.is_empty() {
            let lines = left_out.swap(0, Ordering::Relaxed);
            if lines > 0 {
                write(format!("level=warn event=log_lines_left_out lines={lines}\n").as_bytes());
            }
        }
        if let Some(done) = done {
            // An error means that nobody waits any more.
            let _ = done.send(());
        }
    }
}

/// Collects one line and queues it for the writer thread when dropped.
pub struct LineWriter {
    jobs: flume::Sender<Job>,
    left_out: Arc<AtomicU64>,
    bytes: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if !line.is_empty() && self.jobs.try_send(Job::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("lovageplank_log_lines_left_out_total").increment(1);
        }
    }
}
