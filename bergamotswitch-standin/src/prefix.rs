//! Provides the prefix cache of an engine: bounded, least recently used goes
//! first, every change is announced.

use std::collections::VecDeque;

use tokio::sync::broadcast;
use tokio::time::Instant;

/// The announcements kept for a reader that falls behind; older ones are lost.
const EVENT_BUFFER: usize = 1024;

/// A `PrefixEvent` says that a prefix is now held or no longer held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixEvent {
    /// The xxh3 of the prompt's beginning.
    pub(crate) prefix: u64,
    /// Whether it is held.
    pub(crate) held: bool,
    /// When it happened.
    pub(crate) at: Instant,
}

/// A `PrefixCache` holds the prefix blocks of recent prompts.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Least recently used first.
    blocks: VecDeque<u64>,
    events: broadcast::Sender<PrefixEvent>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            blocks: VecDeque::new(),
            events: broadcast::Sender::new(EVENT_BUFFER),
        }
    }

    /// Get how many of a prompt's blocks are held, from its beginning.
    pub(crate) fn cached_blocks(&self, blocks: &[u64]) -> usize {
        let held = |block: &&u64| self.contains(**block);
        blocks.iter().take_while(held).count()
    }

    /// Get whether a block is held.
    pub(crate) fn contains(&self, block: u64) -> bool {
        self.blocks.contains(&block)
    }

    /// Hold a prompt's blocks, and drop the least recently used beyond the
    /// capacity. The prompt's last block goes first: a beginning is of use
    /// without its end, but not the other way round.
    pub(crate) fn insert(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            let known = self.blocks.iter().position(|held| held == block);
            match known {
                Some(index) => drop(self.blocks.remove(index)),
                None => self.publish(*block, true),
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > self.capacity {
            if let Some(block) = self.blocks.pop_front() {
                self.publish(block, false);
            }
        }
    }

    /// Forget everything without a word, as a restarted process does.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Get the announcements from now on.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<PrefixEvent> {
        self.events.subscribe()
    }

    fn publish(&self, prefix: u64, held: bool) {
        let at = Instant::now();
        // Without readers the announcement is lost, as it should be.
        let _ = self.events.send(PrefixEvent { prefix, held, at });
    }
}
