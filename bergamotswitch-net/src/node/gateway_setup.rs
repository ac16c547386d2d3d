//! Provides what a host starts from that serves the users' platform.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::host::{EntryHost, Standing};
use bergamotswitch_core::membership::MembershipOptions;
use bergamotswitch_core::node::{NodeOptions, RosterSetup};
use bergamotswitch_core::pool_owner::{OwnerOptions, QuotaTolerance};
use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::retry::RetryRate;
use bergamotswitch_core::revision::{ROUTES_VALUE, RevisionOptions, TARGETS_VALUE, value_name};
use bergamotswitch_core::roster::RosterOptions;
use bergamotswitch_core::settings::{GatewaySettings, HostSettings};

use crate::target_client::TargetClientOptions;

/// The time between heartbeats to an owner, and the silence after which it
/// counts as gone. An answer is late after 100 to 1,200 ms, so a dead owner
/// must be noticed well within one second.
const HEARTBEAT_MS: u64 = 200;
const SUSPECT_AFTER_MS: u64 = 700;

/// How long an earlier owner has to answer before work goes back to it, and
/// how long a host that all lost sight of has to be silent before its slots
/// are given away: targets end what they do for a host within about a second
/// of its end.
const YIELD_AFTER: Duration = Duration::from_secs(2);
const GONE_AFTER: Duration = Duration::from_millis(1_500);

/// How long a stopping owner goes on beside its successor.
const HANDOVER: Duration = Duration::from_millis(400);

/// How often relays are asked since when their routes are the newest. With a
/// watch of one second at the readers, a host two steps from them knows the
/// age to within 2.4 s; keys are relied on up to five.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);

/// How long a host that starts waits for peers before it reads for itself.
const READ_FALLBACK: Duration = Duration::from_millis(250);

/// The calls to the store: one in each interval, and so many at once. In a
/// storm of changes a watch ends every 80 ms; a slower pace left all hosts with
/// routes 2.5 s old. The store bears 2,000 a second of all hosts together.
const READ_PACE: (Duration, u32) = (Duration::from_millis(50), 40);

/// The pauses after failed reads. A change has to be in force within two
/// seconds, also right after an outage.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// How often relays are asked for changes, and the silence after which a
/// relay does not count.
const RELAY_KEEPALIVE: Duration = Duration::from_millis(500);
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// The share of a pool's retry allowance that the hosts use: each counts for
/// itself, and the windows over which others count differ from theirs.
const RETRY_SHARE: f64 = 0.7;

/// The share of a quota's tolerance that is used for bursts. The rest is for
/// plain calls, which another owner counts: four in a hundred of all units.
const QUOTA_SHARE: f64 = 0.75;

/// The most dispatches of one call, those included that targets refused.
const MAX_DISPATCHES: u64 = 4;

/// How much less than the bound on revoked keys is used, for timers that fire
/// late.
const KEY_MARGIN: Duration = Duration::from_millis(300);

/// How long after an ask without an answer it is sent again.
const RE_ASK_INTERVAL: Duration = Duration::from_millis(500);

/// The pauses between probes of a target that failed.
const PROBE_INTERVAL: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// How often a shard's owner asks after permits that it gave long ago.
const AUDIT_AFTER: Duration = Duration::from_secs(4);

/// How long an idle connection to a target is used again, and how soon one
/// that went silent is noticed.
const IDLE_REUSE: Duration = Duration::from_secs(8);
const SILENT_PROBE: Duration = Duration::from_secs(1);
const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
const KEPT_PER_TARGET: usize = 16;

/// The part of a host's memory that bodies of calls may take.
const BODY_PARTS: usize = 5;

/// Get the limits that hold where none are published.
pub(super) fn limits(gateway: &GatewaySettings) -> FleetLimits {
    let retry_permille = gateway.retry_ratio * RETRY_SHARE * 1_000.0;
    FleetLimits {
        link_key: gateway.link_key.clone(),
        heartbeat_ms: HEARTBEAT_MS,
        suspect_after_ms: SUSPECT_AFTER_MS,
        reads_per_minute: 600,
        retry_budget_permille: retry_permille as u64,
        max_attempts: MAX_DISPATCHES,
        connect_timeout_ms: 1_000,
        address_lifetime_ms: 1_000,
        ..FleetLimits::default()
    }
}

/// Get the options of the decisions.
pub(super) fn options(settings: &HostSettings, gateway: &GatewaySettings) -> NodeOptions {
    let limits = limits(gateway);
    let base = NodeOptions::default().with_limits(&limits);
    let rate = RetryRate {
        permille: limits.retry_budget_permille as u32,
        slack: gateway.retry_slack as u32,
        window: Duration::from_secs_f64(gateway.retry_window_s),
    };
    let names = [ROUTES_VALUE, TARGETS_VALUE];
    let values = names.map(value_name).to_vec();
    NodeOptions {
        entry: EntryOptions::default()
            .with_permit_resend_interval(RE_ASK_INTERVAL)
            .with_retry_rate(rate),
        owner: OwnerOptions::default()
            .with_probe_interval(PROBE_INTERVAL.0, PROBE_INTERVAL.1)
            .with_quota_tolerance(QuotaTolerance {
                window: Duration::from_secs_f64(gateway.quota_window_s),
                fraction: gateway.quota_overage * QUOTA_SHARE,
            })
            .with_audit_after(AUDIT_AFTER),
        membership: base.membership,
        revision: RevisionOptions::default()
            .with_values(values)
            .with_read_budget(READ_PACE.0, READ_PACE.1)
            .with_read_fallback(READ_FALLBACK)
            .with_backoff(READ_BACKOFF.0, READ_BACKOFF.1)
            .with_keepalive(RELAY_KEEPALIVE, RELAY_SILENT_AFTER)
            .with_confirm_interval(CONFIRM_INTERVAL),
        key_trust: gateway
            .revoke_ms
            .map(|bound| Duration::from_millis(bound).saturating_sub(KEY_MARGIN)),
        roster: Some(RosterSetup {
            host: own_entry(settings, gateway),
            seeds: gateway.seeds.clone(),
            started_at_ms: time_of_day_ms(),
            options: RosterOptions::default(),
        }),
        limits: Some(limits),
    }
    .with_membership(membership())
}

fn membership() -> MembershipOptions {
    MembershipOptions::default()
        .with_heartbeat(Duration::from_millis(HEARTBEAT_MS))
        .with_suspect_after(Duration::from_millis(SUSPECT_AFTER_MS))
        .with_failback_after(YIELD_AFTER)
        .with_termination_after(GONE_AFTER)
        .with_handover(HANDOVER)
}

/// Get the options of calls to targets.
pub(super) fn target_options() -> TargetClientOptions {
    TargetClientOptions::default()
        .with_connect_timeout(Duration::from_millis(1_000))
        .with_idle_reuse(IDLE_REUSE)
        .with_max_idle_per_target(KEPT_PER_TARGET)
        .with_keepalive(SILENT_PROBE)
        .with_user_timeout(UNACKED_LIMIT)
}

/// Get the bytes of bodies that the host holds at most.
pub(super) fn body_bytes(gateway: &GatewaySettings) -> usize {
    let memory = usize::try_from(gateway.memory_mb).unwrap_or(usize::MAX);
    memory.saturating_mul(1 << 20) / BODY_PARTS
}

fn own_entry(settings: &HostSettings, gateway: &GatewaySettings) -> EntryHost {
    EntryHost {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        caller_address: settings.caller_address,
        link_address: settings.link_address,
        capacity: (gateway.cores * 1_000.0) as u32,
        standing: Standing::Live,
    }
}

/// Get the time of day; zero where it lies before 1970, from which on other
/// hosts tell this one to count on.
fn time_of_day_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
