//! Bound on the memory that bodies of targets' responses take while they are read.
//!
//! A faulty target may send a body without end. A response counts against the common limit only
//! beyond a size that nearly all responses stay below, so that such targets cannot stop others.

use {bytes::Bytes, http_body_util::BodyExt, hyper::body::Incoming, std::cell::Cell};

/// Size up to which any response may be read: 64 KiB.
const UNCOUNTED_BYTES: usize = 64 << 10;
/// Size of all responses together beyond [`UNCOUNTED_BYTES`] each: 32 MiB, also the size of the
/// largest response that is passed on.
const MAX_COUNTED_BYTES: usize = 32 << 20;

/// Bytes in use beyond [`UNCOUNTED_BYTES`] of each response.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    counted: Cell<usize>,
}

/// Part of the memory that one response uses; given back on drop.
struct Reservation<'a> {
    memory: &'a ResponseMemory,
    counted: usize,
}

impl ResponseMemory {
    /// Reads a complete body; returns `None` if it is truncated or does not fit.
    pub async fn read_body(&self, mut body: Incoming) -> Option<Bytes> {
        let mut reservation = Reservation {
            memory: self,
            counted: 0,
        };
        let (mut chunks, mut size) = (Vec::new(), 0);
        while let Some(frame) = body.frame().await {
            if let Ok(chunk) = frame.ok()?.into_data() {
                size += chunk.len();
                reservation.grow(size)?;
                chunks.push(chunk);
            }
        }
        // Most bodies arrive in one chunk and need no copy.
        match chunks.len() {
            1 => chunks.pop(),
            _ => Some(chunks.concat().into()),
        }
    }
}

impl Reservation<'_> {
    /// Reserves memory for a body of this size; returns `None` if there is not enough.
    fn grow(&mut self, size: usize) -> Option<()> {
        let counted = size.saturating_sub(UNCOUNTED_BYTES);
        let total = self.memory.counted.get() - self.counted + counted;
        if total > MAX_COUNTED_BYTES {
            return None;
        }
        self.memory.counted.set(total);
        self.counted = counted;
        Some(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let counted = self.memory.counted.get() - self.counted;
        self.memory.counted.set(counted);
    }
}
