//! Lines are written in order, whoever logs never waits, and the last ones are not lost.

use lovageplank_process::log::Output;
use std::io::Write;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Takes bytes only after it was let go.
struct Stuck {
    go: mpsc::Receiver<()>,
    taken: Arc<Mutex<Vec<u8>>>,
    free: bool,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.free {
            // An error means that nobody will let it go, so it is free as well.
            let _ = self.go.recv();
            self.free = true;
        }
        self.taken
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn stuck() -> (Stuck, mpsc::Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (let_go, go) = mpsc::channel();
    let taken = Arc::new(Mutex::new(Vec::new()));
    let out = Stuck {
        go,
        taken: taken.clone(),
        free: false,
    };
    (out, let_go, taken)
}

#[test]
fn the_last_lines_are_written_before_the_end() {
    let (out, let_go, taken) = stuck();
    let output = Output::new(out).expect("starts");
    let writer = output.writer();
    for line in ["first\n", "second\n"] {
        writer().write_all(line.as_bytes()).expect("never fails");
    }
    let_go.send(()).expect("it waits");
    drop(output);
    let taken = taken.lock().expect("not poisoned").clone();
    assert_eq!(taken, b"first\nsecond\n");
}

#[test]
fn a_reader_that_is_stuck_holds_nobody_up() {
    let (out, let_go, taken) = stuck();
    let output = Output::new(out).expect("starts");
    let writer = output.writer();
    // Far more lines than may wait; a logger that waited would never come to the end.
    let (done, ended) = mpsc::channel();
    let logger = std::thread::spawn(move || {
        for number in 0..50_000 {
            writeln!(writer(), "{number}").expect("never fails");
        }
        done.send(()).expect("the test waits");
    });
    let patience = Duration::from_secs(30);
    ended.recv_timeout(patience).expect("nobody is held up");
    logger.join().expect("no panic");
    let_go.send(()).expect("it waits");
    drop(output);
    let taken = taken.lock().expect("not poisoned").clone();
    let text = String::from_utf8(taken).expect("text");
    let numbers: Vec<u32> = text.lines().map(|n| n.parse().expect("a number")).collect();
    assert!(numbers.len() < 50_000, "lines are left out");
    assert!(numbers.is_sorted(), "what is written keeps its order");
}
