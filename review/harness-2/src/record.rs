//! What was sent, answered and run: written to `record.txt`.

use std::{collections::BTreeMap, fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    /// Backends that ran a request, by its id.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
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

    /// Returns the backends that ran a request.
    #[allow(dead_code)]
    pub fn runs(&self, request: &str) -> Vec<String> {
        self.runs
            .lock()
            .unwrap()
            .get(request)
            .cloned()
            .unwrap_or_default()
    }
}
