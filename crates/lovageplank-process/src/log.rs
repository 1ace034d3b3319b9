//! Logs: one line of key=value pairs per event, on standard error.

use eyre::{Result, WrapErr};
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
const LINES: usize = 4_096;

/// Starts logging to standard output. Whoever logs never waits: lines that find the ring full are
/// left out and counted.
pub fn init_stdout(filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter {filter:?}"))?;
    let (lines, waiting) = flume::bounded::<Vec<u8>>(LINES);
    std::thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_lines(&waiting))
        .wrap_err("start the thread for logs")?;
    let writer = move || Line {
        lines: lines.clone(),
        bytes: Vec::new(),
    };
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = tracing_subscriber::Layer::with_filter(layer.with_writer(writer), filter);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")
}

fn write_lines(waiting: &flume::Receiver<Vec<u8>>) {
    use std::io::Write;
    let mut out = std::io::stdout();
    while let Ok(line) = waiting.recv() {
        // There is nowhere else to say that standard output is closed.
        let _ = out.write_all(&line);
        let _ = out.flush();
    }
}

/// One line on its way to the thread that writes.
struct Line {
    lines: flume::Sender<Vec<u8>>,
    bytes: Vec<u8>,
}

impl std::io::Write for Line {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if !line.is_empty() && self.lines.try_send(line).is_err() {
            metrics::counter!("lovageplank_log_lines_left_out_total").increment(1);
        }
    }
}
