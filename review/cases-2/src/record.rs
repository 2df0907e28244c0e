//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One line of the record.
#[derive(Debug, Clone)]
pub struct Line {
    /// Time since the start of the case, in ms.
    pub at_ms: u64,
    pub what: String,
    pub detail: String,
}

impl Line {
    /// Value of `name=` in the detail.
    pub fn value(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .detail
            .split(' ')
            .filter_map(|word| word.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line with the present time, which is returned.
    pub fn note(&self, what: &str, detail: &str) -> u64 {
        let mut lines = self.lines.lock().unwrap();
        let at_ms = self.now_ms();
        lines.push(Line {
            at_ms,
            what: what.to_owned(),
            detail: detail.to_owned(),
        });
        at_ms
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap().clone()
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) {
        let mut file = File::create(path).expect("the record can be written");
        for line in self.lines() {
            writeln!(
                file,
                "{:>8} ms  {:<18} {}",
                line.at_ms, line.what, line.detail
            )
            .expect("a line");
        }
    }
}
