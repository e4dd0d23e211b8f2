//! What was sent, answered and run: written to `record.txt`.

use std::{collections::BTreeMap, fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    /// When requests were sent, by their ids.
    sent: Mutex<BTreeMap<String, Instant>>,
    /// Status of the answers, 0 for none, by the ids of the requests.
    answers: Mutex<BTreeMap<String, u16>>,
    /// Backends that ran requests, by the request's id.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
            sent: Mutex::default(),
            answers: Mutex::default(),
            runs: Mutex::default(),
        })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        // Without the record the result still stands.
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    pub fn run(&self, request: &str, backend: &str, key: usize) {
        self.line(&format!("run {request} key {key} at {backend}"));
        let mut runs = self.runs.lock().unwrap();
        runs.entry(request.to_owned())
            .or_default()
            .push(backend.to_owned());
    }

    pub fn send(&self, request: &str, text: &str) {
        self.line(&format!("send {request} {text}"));
        let mut sent = self.sent.lock().unwrap();
        sent.insert(request.to_owned(), Instant::now());
    }

    pub fn answer(&self, request: &str, status: u16) {
        self.line(&format!("answer {request} {status}"));
        self.answers
            .lock()
            .unwrap()
            .insert(request.to_owned(), status);
    }

    /// Returns the status of the answer to a request; 0 if there is none.
    pub fn status(&self, request: &str) -> u16 {
        self.answers
            .lock()
            .unwrap()
            .get(request)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the requests that were sent after a time and have run at a backend.
    pub fn ran_after(&self, backend: &str, time: Instant) -> Vec<String> {
        let (sent, runs) = (self.sent.lock().unwrap(), self.runs.lock().unwrap());
        let is_late = |id: &String| sent.get(id).is_some_and(|at| *at > time);
        let found = runs.iter();
        let found = found.filter(|(id, at)| at.iter().any(|it| it == backend) && is_late(id));
        found.map(|(id, _)| id.clone()).collect()
    }
}
