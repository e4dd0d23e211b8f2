//! Stand-in for the store in simulations of the election: one row of each era, conditional writes, restorations.

use {
    cowslip_decide::{
        election::{ClaimDelay, LeaderRow},
        names::StoreVersion,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The store: the rows of each era, with the machine that wrote them.
#[derive(Default)]
pub struct Store {
    pub era: u64,
    pub rows: BTreeMap<u64, StoreRow>,
    /// Number of the latest version; falls when the store is restored.
    pub latest: u64,
}

#[derive(Clone, Copy, Default)]
pub struct StoreRow {
    pub number: u64,
    pub writer: Option<usize>,
    pub lease_start: Option<Duration>,
}

impl Store {
    /// Returns the row of the present era as `reader` reads it.
    pub fn view(&self, reader: usize) -> LeaderRow {
        let row = self.rows.get(&self.era).copied().unwrap_or_default();
        LeaderRow {
            version: match row.number {
                0 => StoreVersion::NONE,
                number => StoreVersion {
                    era: self.era,
                    number,
                },
            },
            is_own: row.writer == Some(reader),
            released: false,
            lease_start: row.lease_start,
        }
    }

    /// Writes the row of an era, as the late write of an earlier era does, too; returns its version.
    pub fn write(
        &mut self,
        era: u64,
        expected: StoreVersion,
        writer: usize,
        lease_start: Duration,
    ) -> Option<StoreVersion> {
        let row = self.rows.entry(era).or_default();
        if row.number != expected.number {
            return None;
        }
        self.latest += 1;
        *row = StoreRow {
            number: self.latest,
            writer: Some(writer),
            lease_start: Some(lease_start),
        };
        Some(StoreVersion {
            era,
            number: self.latest,
        })
    }

    /// Restores a backup that lacks the last versions.
    pub fn restore(&mut self, lost: u64) {
        self.era += 1;
        self.latest = self.latest.saturating_sub(lost);
    }
}

/// Returns the claim delay of an instance with so many preferred instances before it.
pub fn claim_delay(position: u32) -> ClaimDelay {
    ClaimDelay {
        duration: position * Duration::from_millis(150),
        includes_own: position > 1,
    }
}
