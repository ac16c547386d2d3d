//! Provides the options of a host in gateway mode.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::host::{EntryHost, Standing};
use bergamotswitch_core::membership::MembershipOptions;
use bergamotswitch_core::node::{NodeOptions, RosterSetup};
use bergamotswitch_core::pool_owner::{
    ColdTolerance, OwnerOptions, QuotaTolerance, SchedulingOptions,
};
use bergamotswitch_core::publication::FleetLimits;
use bergamotswitch_core::retry::RetryRate;
use bergamotswitch_core::revision::{
    CarriedValue, EVACUATIONS_VALUE, ROUTES_VALUE, RevisionOptions, TARGETS_VALUE, value_name,
};
use bergamotswitch_core::roster::RosterOptions;
use bergamotswitch_core::settings::{GatewaySettings, HostSettings};

use crate::target_client::TargetClientOptions;
use crate::target_client::idle_limits::HostResources;

/// The heartbeat interval and the suspicion timeout for peers. Answers are due
/// within 100 to 1,200 ms, so a failed owner must be detected well within one
/// second.
const HEARTBEAT_MS: u64 = 200;
const SUSPECT_AFTER_MS: u64 = 700;

/// How long an earlier owner has to be reachable before ownership fails back to
/// it.
const FAILBACK_AFTER: Duration = Duration::from_secs(2);
/// How long a host has to be unreachable before it counts as terminated and its
/// slots are reassigned. Targets abort the work of a terminated host within about
/// a second.
const TERMINATION_AFTER: Duration = Duration::from_millis(1_500);

/// How long a stopping owner keeps acting while its successor takes over.
const HANDOVER: Duration = Duration::from_millis(400);

/// The interval at which a host queries its relays, the peers from which it receives
/// the routes, for how long ago their routes were known to be the newest. It has to be
/// short enough that a host two hops from one that reads the store can confirm its
/// routes before keys are no longer trusted: it knows their age to within 2.4 s, and
/// keys are trusted for up to five.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);

/// How long a starting host waits for peers before it reads the store itself.
const READ_FALLBACK: Duration = Duration::from_millis(250);

/// The interval and the burst of the read budget for the store. While values
/// change continuously, every watch ends early, after 80 ms in a storm of changes;
/// a slower pace left the routes 2.5 s old.
const READ_BUDGET: (Duration, u32) = (Duration::from_millis(50), 40);

/// The shortest and the longest backoff after a failed read. A change has to be in
/// force within two seconds, also right after an outage.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// The interval at which relays are polled for changes, and the time without an
/// answer after which a relay is considered silent.
const RELAY_KEEPALIVE: Duration = Duration::from_millis(500);
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// The fraction of a pool's retry budget that the hosts use. The rest is a margin,
/// because each host counts separately and over its own windows.
const RETRY_FRACTION: f64 = 0.7;

/// The fraction of a quota's tolerance that is available for bursts. The rest
/// covers plain calls, which another owner counts.
const QUOTA_FRACTION: f64 = 0.75;

/// The maximum number of dispatches of one call, including refused ones.
const MAX_DISPATCHES: u64 = 4;

/// The margin by which key trust ends before the bound on revoked keys, for
/// timers that fire late.
const KEY_TRUST_MARGIN: Duration = Duration::from_millis(300);

/// The timeout after which an unanswered permit request is sent again.
const PERMIT_RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest and the longest interval between probes of a failed target.
const PROBE_INTERVAL: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// The age of a permit at which the shard's owner audits it.
const AUDIT_AFTER: Duration = Duration::from_secs(4);

/// How long after its last use an idle connection to a target may be reused.
const IDLE_REUSE: Duration = Duration::from_secs(8);

/// The idle time of a connection after which TCP keepalive probes are sent, and how
/// long sent data may stay unacknowledged before the connection is closed.
const KEEPALIVE: Duration = Duration::from_secs(1);
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

/// The divisor of a host's memory that gives the limit for request bodies.
const BODY_MEMORY_DIVISOR: usize = 5;

/// The divisor of a host's memory that gives the limit for answers that are held back. While
/// they are put together, they take twice as much.
const ANSWER_MEMORY_DIVISOR: usize = 10;

/// Get the fleet limits that apply while none are published.
pub(super) fn limits(gateway: &GatewaySettings) -> FleetLimits {
    let retry_permille = gateway.retry_ratio * RETRY_FRACTION * 1_000.0;
    FleetLimits {
        link_key: gateway.link_key.clone(),
        heartbeat_ms: HEARTBEAT_MS,
        suspect_after_ms: SUSPECT_AFTER_MS,
        reads_per_minute: 600,
        retry_budget_permille: retry_permille as u64,
        max_attempts: MAX_DISPATCHES,
        connect_timeout_ms: 1_000,
        address_lifetime_ms: 1_000,
        account_share_half_life_ms: gateway.scheduling.account_share_half_life_ms,
        return_room_permille: gateway.scheduling.return_room_permille,
        slow_moment_ms: gateway.scheduling.slow_moment_ms,
        match_window_requests: gateway.scheduling.match_window_requests,
        idle_connection_permille: gateway.scheduling.idle_connection_permille,
        ..FleetLimits::default()
    }
}

/// Get the options of the node's state machines.
pub(super) fn options(settings: &HostSettings, gateway: &GatewaySettings) -> NodeOptions {
    let limits = limits(gateway);
    let base = NodeOptions::default().with_limits(&limits);
    let rate = RetryRate {
        permille: limits.retry_budget_permille as u32,
        slack: gateway.retry_slack as u32,
        window: Duration::from_secs_f64(gateway.retry_window_s),
    };
    let names = [ROUTES_VALUE, TARGETS_VALUE, EVACUATIONS_VALUE];
    let values = names.map(value_name).to_vec();
    NodeOptions {
        entry: EntryOptions::default()
            .with_permit_resend_interval(PERMIT_RESEND_INTERVAL)
            .with_retry_rate(rate)
            .with_signatures(limits.return_room_permille > 0),
        owner: OwnerOptions::default()
            .with_probe_interval(PROBE_INTERVAL.0, PROBE_INTERVAL.1)
            .with_quota_tolerance(QuotaTolerance {
                window: Duration::from_secs_f64(gateway.quota_window_s),
                fraction: gateway.quota_overage * QUOTA_FRACTION,
            })
            .with_cold_tolerance(ColdTolerance {
                factor: gateway.cold_factor,
                slack: gateway.cold_slack,
            })
            .with_scheduling(SchedulingOptions::of_limits(&limits))
            .with_connection_keep(IDLE_REUSE)
            .with_audit_after(AUDIT_AFTER),
        membership: base.membership,
        revision: RevisionOptions::default()
            .with_values(values)
            .with_carried(CarriedValue {
                value: value_name(EVACUATIONS_VALUE),
                carrier: value_name(ROUTES_VALUE),
            })
            .with_read_budget(READ_BUDGET.0, READ_BUDGET.1)
            .with_read_fallback(READ_FALLBACK)
            .with_backoff(READ_BACKOFF.0, READ_BACKOFF.1)
            .with_keepalive(RELAY_KEEPALIVE, RELAY_SILENT_AFTER)
            .with_confirm_interval(CONFIRM_INTERVAL),
        key_trust: gateway
            .revoke_ms
            .map(|bound| Duration::from_millis(bound).saturating_sub(KEY_TRUST_MARGIN)),
        roster: Some(RosterSetup {
            host: own_entry(settings, gateway),
            seeds: gateway.seeds.clone(),
            started_at_ms: unix_time_ms(),
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
        .with_failback_after(FAILBACK_AFTER)
        .with_termination_after(TERMINATION_AFTER)
        .with_handover(HANDOVER)
}

/// Get the options of the target client.
pub(super) fn target_options(gateway: &GatewaySettings) -> TargetClientOptions {
    TargetClientOptions::default()
        .with_answer_bytes(memory_bytes(gateway) / ANSWER_MEMORY_DIVISOR)
        .with_connect_timeout(Duration::from_millis(1_000))
        .with_idle_reuse(IDLE_REUSE)
        .with_max_idle_per_target(MAX_IDLE_PER_TARGET)
        .with_keepalive(KEEPALIVE)
        .with_user_timeout(USER_TIMEOUT)
}

/// Get the maximum number of bytes of request bodies that the host buffers.
pub(super) fn body_bytes(gateway: &GatewaySettings) -> usize {
    memory_bytes(gateway) / BODY_MEMORY_DIVISOR
}

fn memory_bytes(gateway: &GatewaySettings) -> usize {
    let memory = usize::try_from(gateway.memory_mb).unwrap_or(usize::MAX);
    memory.saturating_mul(1 << 20)
}

/// Get what the host may use.
pub(super) fn resources(settings: &HostSettings) -> HostResources {
    let gateway = settings.gateway.as_ref();
    let memory_mb = gateway.map_or(u64::MAX, |gateway| gateway.memory_mb);
    HostResources::of_process(memory_mb.saturating_mul(1 << 20))
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

/// Get the Unix time in milliseconds, or zero if the clock is set before 1970. The host
/// then continues from the roster stamp that other hosts hold for it.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
