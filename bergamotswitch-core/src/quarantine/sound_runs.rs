//! Provides a fixed-size record of the suspects whose runs went well.

use super::CrashSuspect;

/// The number of suspects that are remembered; 48 bytes each.
const SLOTS: usize = 4_096;

/// A `SoundRuns` holds when the latest run of a suspect that went well began to write. A
/// new suspect replaces the one in its slot.
#[derive(Debug)]
pub(super) struct SoundRuns {
    slots: Vec<Option<(CrashSuspect, i64)>>,
}

impl Default for SoundRuns {
    fn default() -> Self {
        SoundRuns {
            slots: vec![None; SLOTS],
        }
    }
}

impl SoundRuns {
    pub(super) fn insert(&mut self, suspect: CrashSuspect, began_ms: i64) {
        self.slots[slot(suspect)] = Some((suspect, began_ms));
    }

    pub(super) fn get(&self, suspect: CrashSuspect) -> Option<i64> {
        let (known, began_ms) = self.slots[slot(suspect)]?;
        (known == suspect).then_some(began_ms)
    }
}

fn slot(suspect: CrashSuspect) -> usize {
    suspect.low_bits() as usize % SLOTS
}
