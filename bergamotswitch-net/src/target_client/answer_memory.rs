//! Provides the bound on the memory for answers that are held back until they are complete.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

/// The bytes of each answer that do not count, so that short answers are passed on whatever
/// the others are.
const FREE_BYTES: usize = 64 << 10;

/// The part of the memory by which it may be exceeded until the longest answer is given up.
const EXCESS_DIVISOR: usize = 2;

/// An `AnswerMemory` is the memory that all answers of a host share while they are held back.
/// Once they exceed it, the longest one is given up.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory(Arc<Mutex<HeldAnswers>>);

#[derive(Debug)]
struct HeldAnswers {
    max_bytes: usize,
    total: usize,
    next_id: u64,
    /// The answers that exceed [`FREE_BYTES`], with what is beyond it.
    sizes: BTreeMap<u64, usize>,
}

impl Default for HeldAnswers {
    fn default() -> Self {
        HeldAnswers {
            max_bytes: usize::MAX,
            total: 0,
            next_id: 0,
            sizes: BTreeMap::new(),
        }
    }
}

impl HeldAnswers {
    fn set_size(&mut self, id: u64, bytes: usize) {
        let before = match bytes {
            0 => self.sizes.remove(&id),
            _ => self.sizes.insert(id, bytes),
        };
        self.total = self.total + bytes - before.unwrap_or(0);
    }

    /// Get whether an answer may be held beside the others.
    fn has_room(&self, id: u64) -> bool {
        if self.total <= self.max_bytes {
            return true;
        }
        let longest = self.sizes.iter().max_by_key(|(id, bytes)| (**bytes, **id));
        let most = self
            .max_bytes
            .saturating_add(self.max_bytes / EXCESS_DIVISOR);
        self.total <= most && longest.is_some_and(|(longest, _)| *longest != id)
    }
}

impl AnswerMemory {
    /// Set the maximum number of bytes.
    pub fn set_max_bytes(&self, bytes: usize) {
        self.lock().max_bytes = bytes;
    }

    /// Get the hold of a new answer, which is empty.
    pub fn hold(&self) -> AnswerHold {
        let mut held = self.lock();
        held.next_id += 1;
        AnswerHold {
            id: held.next_id,
            bytes: 0,
            memory: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HeldAnswers> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An `AnswerHold` is the memory of one answer, which is released with it.
#[derive(Debug)]
pub struct AnswerHold {
    id: u64,
    bytes: usize,
    memory: AnswerMemory,
}

impl AnswerHold {
    /// Set the number of bytes that are held back; get whether that is allowed. Otherwise
    /// the answer has to be given up.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let bytes = bytes.saturating_sub(FREE_BYTES);
        if bytes == self.bytes {
            return true;
        }
        let is_growing = bytes > self.bytes;
        self.bytes = bytes;
        let mut held = self.memory.lock();
        held.set_size(self.id, bytes);
        !is_growing || held.has_room(self.id)
    }

    /// Get a complete answer that holds its memory until nobody reads it any more.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(KeptAnswer { bytes, _hold: self }),
        }
    }
}

impl Drop for AnswerHold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.lock().set_size(self.id, 0);
        }
    }
}

/// A `KeptAnswer` is the bytes of a complete answer with its memory.
struct KeptAnswer {
    bytes: Bytes,
    _hold: AnswerHold,
}

impl AsRef<[u8]> for KeptAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
