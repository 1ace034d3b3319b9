//! Log lines are written in order, logging never blocks, and queued lines are written before the
//! end.

use lovageplank_process::log::Output;
use std::io::Write;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A writer that blocks until it is released.
struct BlockedWriter {
    released: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    is_released: bool,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_released {
            // An error means that the sender was dropped, which releases the writer, too.
            let _ = self.released.recv();
            self.is_released = true;
        }
        self.written
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn blocked_writer() -> (BlockedWriter, mpsc::Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = BlockedWriter {
        released,
        written: written.clone(),
        is_released: false,
    };
    (out, release, written)
}

#[test]
fn queued_lines_are_written_before_drop_returns() {
    let (out, release, written) = blocked_writer();
    let output = Output::new(out).expect("starts");
    let writer = output.writer();
    for line in ["first\n", "second\n"] {
        writer().write_all(line.as_bytes()).expect("never fails");
    }
    release.send(()).expect("it waits");
    drop(output);
    let written = written.lock().expect("not poisoned").clone();
    assert_eq!(written, b"first\nsecond\n");
}

#[test]
fn blocked_output_does_not_block_logging() {
    let (out, release, written) = blocked_writer();
    let output = Output::new(out).expect("starts");
    let writer = output.writer();
    // Far more lines than the queue holds, so a logger that blocked would never finish.
    let (done, ended) = mpsc::channel();
    let logger = std::thread::spawn(move || {
        for number in 0..50_000 {
            writeln!(writer(), "{number}").expect("never fails");
        }
        done.send(()).expect("the test waits");
    });
    let logging_timeout = Duration::from_secs(30);
    ended
        .recv_timeout(logging_timeout)
        .expect("logging doesn't block");
    logger.join().expect("no panic");
    release.send(()).expect("it waits");
    drop(output);
    let written = written.lock().expect("not poisoned").clone();
    let text = String::from_utf8(written).expect("text");
    let (lines, left_out): (Vec<&str>, Vec<&str>) =
        text.lines().partition(|line| !line.contains("left_out"));
    let numbers: Vec<u32> = lines.iter().map(|n| n.parse().expect("a number")).collect();
    assert!(numbers.len() < 50_000, "lines beyond the queue are dropped");
    assert!(numbers.is_sorted(), "written lines keep their order");
    let missing = format!(
        "level=warn event=log_lines_left_out lines={}",
        50_000 - numbers.len()
    );
    assert_eq!(left_out, [missing], "one line counts those left out");
}
