//! What was sent, answered and run, with the time since the start.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<std::fs::File>,
    began: Instant,
    /// Inputs that engines fetched for a request although they were made for another one.
    pub foreign: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Self {
        let file = std::fs::File::create(path).expect("the record");
        Self {
            file: Mutex::new(file),
            began: Instant::now(),
            foreign: Mutex::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let time = self.began.elapsed().as_secs_f64();
        drop(writeln!(self.file.lock().unwrap(), "{time:8.3} s  {text}"));
    }

    /// Records an input of a request.
    pub fn input(&self, attempt: &str, handle: &str, owner: &str) {
        let is_foreign = attempt != owner;
        let mark = if is_foreign { "FOREIGN INPUT" } else { "input" };
        self.line(&format!(
            "{mark}: {attempt} gets {handle}, made for {owner}"
        ));
        if is_foreign {
            self.foreign
                .lock()
                .unwrap()
                .push(format!("{attempt} {handle} {owner}"));
        }
    }
}
