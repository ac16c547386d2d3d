//! Provides the names and options of the fleet's hosts, and the usage of an attempt.

use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::host::{EntryHost, HostName, Standing};
use bergamotswitch_core::membership::MembershipOptions;
use bergamotswitch_core::node::{NodeOptions, RosterSetup};
use bergamotswitch_core::permit::Usage;
use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::pool_owner::{ColdTolerance, OwnerOptions, QuotaTolerance};
use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::revision::{
    EVACUATIONS_VALUE, ROUTES_VALUE, RevisionOptions, TARGETS_VALUE, ValueName,
};
use bergamotswitch_core::roster::RosterOptions;

use super::domains::{COLD_FACTOR, COLD_SLACK};
use super::{BURST_PART, HOSTS, OVERAGE, UNITS, WINDOW};

pub fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a name")
}

pub fn shard() -> PoolShard {
    PoolShard {
        pool: name("llm"),
        domain: None,
    }
}

pub(super) fn host_entry(index: usize) -> EntryHost {
    EntryHost {
        name: name(&format!("host-{index}")),
        domain: name(&format!("domain-{}", index % 3)),
        caller_address: ([10, 0, 0, index as u8], 80).into(),
        link_address: ([10, 0, 0, index as u8], 81).into(),
        capacity: 1_000,
        standing: Standing::Live,
    }
}

pub(super) fn index_of(host: &HostName) -> usize {
    let number = host.as_str().trim_start_matches("host-");
    number.parse().expect("a host of the fleet")
}

pub(super) fn options(
    index: usize,
    now: Moment,
    entry: EntryOptions,
    owner: OwnerOptions,
) -> NodeOptions {
    let limits = FleetLimits::default();
    let membership = MembershipOptions::default()
        .with_heartbeat(Duration::from_millis(200))
        .with_suspect_after(Duration::from_millis(700))
        .with_failback_after(Duration::from_secs(2))
        .with_termination_after(Duration::from_millis(1_500))
        .with_handover(Duration::from_millis(400));
    let values = [ROUTES_VALUE, TARGETS_VALUE, EVACUATIONS_VALUE].map(name::<ValueName>);
    NodeOptions {
        entry: entry.with_permit_resend_interval(Duration::from_millis(500)),
        owner: owner
            .with_quota_tolerance(QuotaTolerance {
                window: WINDOW,
                fraction: OVERAGE * BURST_PART,
            })
            .with_cold_tolerance(ColdTolerance {
                factor: COLD_FACTOR,
                slack: COLD_SLACK,
            }),
        revision: RevisionOptions::default()
            .with_values(values.to_vec())
            .with_read_fallback(Duration::from_millis(250)),
        roster: Some(RosterSetup {
            host: host_entry(index),
            seeds: (0..HOSTS).map(|at| host_entry(at).link_address).collect(),
            started_at_ms: 1_000_000 + now.as_micros() / 1_000,
            options: RosterOptions::default(),
        }),
        limits: Some(limits),
        ..NodeOptions::default()
    }
    .with_membership(membership)
}

pub(super) fn usage(run_time: Duration) -> Usage {
    let run = run_time.as_millis() as u32;
    Usage {
        prefill: UNITS,
        decode: 1,
        first_token_ms: run / 2,
        elapsed_ms: run,
        ..Usage::default()
    }
}
