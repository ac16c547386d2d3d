//! Provides the evacuations of failure domains in an update of the operators' items.

use std::collections::BTreeSet;

use bergamotswitch_core::evacuation::{EvacuationChange, EvacuationUpdate};
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::target_list::StorePosition;
use bergamotswitch_platform::evacuation;
use bergamotswitch_platform::store::{StoreChange, StoreItem};

use super::cursor::StoreUpdate;
use crate::event_log;

/// Get the evacuations in an update; `None` if it changes none.
pub(super) fn evacuation_update(update: &StoreUpdate) -> Option<EvacuationUpdate> {
    match update {
        StoreUpdate::Snapshot { items, as_of } => {
            let domains = items.iter().filter_map(|item| domain(&item.key));
            Some(EvacuationUpdate::Snapshot {
                domains: domains.collect::<BTreeSet<DomainName>>(),
                as_of: *as_of,
            })
        }
        StoreUpdate::Partial { items, as_of } => {
            let items = items.iter();
            let changes = items.filter_map(|item| begun(item, as_of.era()));
            to_update(changes.collect(), *as_of)
        }
        StoreUpdate::Changes { changes, as_of } => {
            let changes = changes.iter();
            let changes = changes.filter_map(|change| to_change(change, as_of.era()));
            to_update(changes.collect(), *as_of)
        }
    }
}

fn to_update(
    changes: Vec<(StorePosition, EvacuationChange)>,
    as_of: StorePosition,
) -> Option<EvacuationUpdate> {
    (!changes.is_empty()).then_some(EvacuationUpdate::Changes { changes, as_of })
}

fn begun(item: &StoreItem, era: u64) -> Option<(StorePosition, EvacuationChange)> {
    let position = StorePosition::new(era, item.revision);
    Some((position, EvacuationChange::Begun(domain(&item.key)?)))
}

fn to_change(change: &StoreChange, era: u64) -> Option<(StorePosition, EvacuationChange)> {
    match change {
        StoreChange::Set(item) => begun(item, era),
        StoreChange::Removed { key, revision } => {
            let position = StorePosition::new(era, *revision);
            Some((position, EvacuationChange::Ended(domain(key)?)))
        }
    }
}

fn domain(key: &str) -> Option<DomainName> {
    match evacuation::evacuated_domain(key)? {
        Ok(domain) => Some(domain),
        Err(error) => {
            let details: [(&str, &dyn std::fmt::Display); 2] = [("key", &key), ("cause", &error)];
            event_log::write(Incident::EntryUnreadable, &details);
            None
        }
    }
}
