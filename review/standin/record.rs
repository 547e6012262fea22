//! What was sent, answered and run, in the order in which the test saw it.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a writable folder");
        Self {
            file: Mutex::new(BufWriter::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let mut file = self.file.lock().expect("no panic");
        let seconds = self.started.elapsed().as_secs_f64();
        drop(writeln!(file, "{seconds:9.3} {text}"));
        drop(file.flush());
    }
}
