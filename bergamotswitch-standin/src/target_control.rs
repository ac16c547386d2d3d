//! Provides the control of a running target stand-in: its fault switches and
//! its ledger of runs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::Value;

use crate::ledger::RunLedger;
use crate::listener::ListenerControl;
use crate::switches::{TargetSwitches, merge};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A `TargetControl` is the interface by which a test controls one target: its
/// fault switches, its ledger and its connections.
#[derive(Debug)]
pub struct TargetControl {
    switches: Mutex<TargetSwitches>,
    ledger: Mutex<RunLedger>,
    listener: Arc<ListenerControl>,
}

impl TargetControl {
    pub(crate) fn new(listener: Arc<ListenerControl>) -> Arc<Self> {
        Arc::new(TargetControl {
            switches: Mutex::default(),
            ledger: Mutex::new(RunLedger::new()),
            listener,
        })
    }

    /// Get a copy of the current switches.
    pub fn switches(&self) -> TargetSwitches {
        lock(&self.switches).clone()
    }

    /// Change the switches with immediate effect.
    pub fn set(&self, change: impl FnOnce(&mut TargetSwitches)) {
        let mut switches = self.switches();
        change(&mut switches);
        self.apply(switches);
    }

    /// Set the switches that are named in the JSON object `changes`.
    ///
    /// # Errors
    ///
    /// Returns an error if `changes` names an unknown switch or has a value of a
    /// wrong type; no switch is changed then.
    pub(crate) fn set_json(&self, changes: &Value) -> Result<(), serde_json::Error> {
        let switches = merge(&self.switches(), changes)?;
        self.apply(switches);
        if changes.get("silent").is_some() {
            // Setting the same mode again also applies to the connections that were
            // opened since.
            self.listener.set_silence(self.switches().silent);
        }
        Ok(())
    }

    fn apply(&self, switches: TargetSwitches) {
        let before = std::mem::replace(&mut *lock(&self.switches), switches.clone());
        if before.silent != switches.silent {
            self.listener.set_silence(switches.silent);
        }
        if before.reject != switches.reject {
            self.listener.set_listening(!switches.reject);
        }
        if before.drop != switches.drop && switches.drop == Some(0) {
            self.listener.close_all();
        }
    }

    /// Close all open connections.
    pub fn close_connections(&self) {
        self.listener.close_all();
    }

    /// Get a copy of the ledger.
    pub fn ledger(&self) -> RunLedger {
        lock(&self.ledger).clone()
    }

    /// Get the number of runs with a request id.
    pub fn run_count(&self, request_id: &str) -> usize {
        self.ledger_mut().runs_of(request_id).len()
    }

    pub(crate) fn ledger_mut(&self) -> MutexGuard<'_, RunLedger> {
        lock(&self.ledger)
    }
}
