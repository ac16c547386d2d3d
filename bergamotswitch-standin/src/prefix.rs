//! Provides the prefix cache of an engine: an LRU cache of prompt prefixes that
//! publishes an event for each insertion and eviction.

use std::collections::VecDeque;

use tokio::sync::broadcast;
use tokio::time::Instant;

/// The number of events buffered for a slow subscriber; older ones are lost.
const EVENT_BUFFER: usize = 1024;

/// A `PrefixEvent` is the insertion or eviction of a prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixEvent {
    /// The xxh3 hash of the prefix.
    pub(crate) prefix: u64,
    /// Whether the prefix is cached after the event.
    pub(crate) held: bool,
    /// The time of the event.
    pub(crate) at: Instant,
}

/// A `PrefixCache` is an LRU cache of the prefix blocks of recent prompts.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// The hashes of the cached blocks, least recently used first.
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

    /// Get the number of a prompt's leading blocks that are cached.
    pub(crate) fn cached_blocks(&self, blocks: &[u64]) -> usize {
        let held = |block: &&u64| self.contains(**block);
        blocks.iter().take_while(held).count()
    }

    /// Get whether a block is cached.
    pub(crate) fn contains(&self, block: u64) -> bool {
        self.blocks.contains(&block)
    }

    /// Insert the blocks of a prompt, and evict the least recently used blocks
    /// beyond the capacity. The last block of the prompt is evicted first, since
    /// a block is of no use without those before it.
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

    /// Remove all blocks without publishing events, as a process restart does.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Subscribe to events; earlier events are not delivered.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<PrefixEvent> {
        self.events.subscribe()
    }

    fn publish(&self, prefix: u64, held: bool) {
        let at = Instant::now();
        // Sending fails only if there are no subscribers.
        let _ = self.events.send(PrefixEvent { prefix, held, at });
    }
}
