//! Object store.

use {bytes::Bytes, std::collections::BTreeMap};

/// Objects by path.
#[derive(Debug, Default)]
pub(super) struct Objects {
    objects: BTreeMap<String, Bytes>,
}

impl Objects {
    /// Stores an object.
    pub(super) fn put(&mut self, path: &str, body: Bytes) {
        self.objects.insert(path.to_owned(), body);
    }

    /// Returns an object.
    pub(super) fn get(&self, path: &str) -> Option<Bytes> {
        self.objects.get(path).cloned()
    }
}
