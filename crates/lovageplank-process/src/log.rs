//! Logs: one line of key=value pairs per event, on standard error or standard output.

use eyre::{Result, WrapErr};
use std::io::Write;
use std::time::Duration;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging; `filter` is a level such as `info`, or directives such as `info,hyper=warn`.
pub fn init(filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter {filter:?}"))?;
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = tracing_subscriber::Layer::with_filter(layer.with_writer(std::io::stderr), filter);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")
}

/// Lines that may wait to be written to standard output.
const QUEUED_LINES_MAX: usize = 4_096;
/// Milliseconds that the end of a process waits for its last lines to be written.
const FLUSH_TIMEOUT_MS: u64 = 500;

/// What the thread that writes is told.
enum Job {
    /// Write a line.
    Line(Vec<u8>),
    /// Say when all lines before are written.
    Flush(flume::Sender<()>),
}

/// Logging to standard output; when it is dropped, lines that wait are written first.
#[must_use = "lines that wait are lost when the process ends"]
pub struct Output {
    jobs: flume::Sender<Job>,
}

/// Starts logging to standard output. Whoever logs never waits: lines that find the ring full are
/// left out and counted.
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
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(out, &queue))
            .wrap_err("start the thread for logs")?;
        Ok(Output { jobs })
    }

    /// Makes a writer for each line, which is handed over when that is dropped.
    pub fn writer(&self) -> impl Fn() -> LineWriter + Send + Sync + 'static {
        let jobs = self.jobs.clone();
        move || LineWriter {
            jobs: jobs.clone(),
            bytes: Vec::new(),
        }
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        let (done, written) = flume::bounded(1);
        let wait = Duration::from_millis(FLUSH_TIMEOUT_MS);
        // Without a reader of standard output the last lines are lost, as others are.
        if self.jobs.send_timeout(Job::Flush(done), wait).is_ok() {
            let _ = written.recv_timeout(wait);
        }
    }
}

fn write_lines(mut out: impl Write, queue: &flume::Receiver<Job>) {
    while let Ok(job) = queue.recv() {
        match job {
            Job::Line(line) => {
                // There is nowhere else to say that standard output is closed.
                let _ = out.write_all(&line);
                let _ = out.flush();
            }
            Job::Flush(done) => drop(done.send(())),
        }
    }
}

/// One line on its way to the thread that writes.
pub struct LineWriter {
    jobs: flume::Sender<Job>,
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
            metrics::counter!("lovageplank_log_lines_left_out_total").increment(1);
        }
    }
}
