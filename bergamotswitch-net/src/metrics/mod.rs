//! Provides a host's metrics in the Prometheus text format.

mod labels;
mod owner_totals;
mod registration;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::refusal::{RefusalReason, RetryReason, WasteCause};
use bergamotswitch_core::revision::{Revision, ValueName};
use bergamotswitch_core::rules::Tier;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use labels::{
    ForwardLabels, IncidentLabels, InputLabels, MessageLabels, ReasonLabels, RefusalLabels,
    ShardLabels, SizeLabels, StateLabels, TierLabels, ValueLabels, WasteLabels, tier_labels,
};

use crate::link::counters::{KindCounts, MessageKind};
use crate::node::loop_stats::LoopStats;
use crate::target_client::connection::ConnectionCounts;

pub use owner_totals::OwnerTotals;

/// The prefix of all metric names.
pub const METRIC_PREFIX: &str = "bergamot";

/// The value of the label `tier` for a refusal that precedes the assignment of
/// a tier.
pub const NO_TIER: &str = "none";

/// The bucket bounds of the time histograms, in seconds. 0.75 is the
/// service-level objective for the first token, so the fraction of requests that
/// meet it can be read exactly. The highest bounds cover batch requests with a
/// deadline of minutes.
const TIME_BUCKETS: [f64; 15] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

type TimeFamily = Family<TierLabels, Histogram, fn() -> Histogram>;

fn time_histogram() -> Histogram {
    Histogram::new(TIME_BUCKETS)
}

fn time_family() -> TimeFamily {
    Family::new_with_constructor(time_histogram)
}

/// A `NodeMetrics` is the set of all metrics of one host. It is shared behind an
/// `Arc` between the event loop, which updates it, and the metrics endpoint,
/// which reads it.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    refusals: Family<RefusalLabels, Counter>,
    retries: Family<ReasonLabels, Counter>,
    wasted: Family<WasteLabels, Counter>,
    ended: Family<TierLabels, Counter>,
    goodput: Family<TierLabels, Counter>,
    first_token: TimeFamily,
    queue_wait: TimeFamily,
    incidents: Family<IncidentLabels, Counter>,
    forwards: Family<ForwardLabels, Counter>,
    queued: Family<TierLabels, Gauge>,
    revisions: Family<ValueLabels, Gauge<u64, AtomicU64>>,
    running: Gauge,
    peers: Gauge,
    owned_shards: Gauge,
    service_reads: Counter,
    link_sent: Counter,
    link_received: Counter,
    degraded_admissions: Counter,
    unmarked_exposure: Counter,
    link_messages: Family<MessageLabels, Counter>,
    owner_refusals: Family<ReasonLabels, Counter>,
    return_promises: Family<StateLabels, Counter>,
    request_sizes: Family<SizeLabels, Counter>,
    preemptions: Counter,
    reclaimed_permits: Counter,
    shard_queue: Family<ShardLabels, Gauge>,
    account_share_ratio_max: Gauge<f64, AtomicU64>,
    load: Gauge,
    crashed_calls: Gauge,
    quarantined_calls: Gauge,
    limited_targets: Gauge,
    slow_targets: Gauge,
    malformed_paces: Counter,
    cold_targets: Gauge,
    evacuated_domains: Gauge,
    lost_paths: Gauge,
    open_tunnels: Gauge,
    opened_connections: Counter,
    reused_connections: Counter,
    closed_connections: Counter,
    idle_connections: Gauge,
    unreadable_routes: Gauge,
    loop_inputs: Family<InputLabels, Counter>,
    loop_busy: Family<InputLabels, Counter<f64, AtomicU64>>,
    loop_delay: Gauge<f64, AtomicU64>,
    loop_waiting: Gauge,
}

impl NodeMetrics {
    /// Get metrics that start at zero. The counters of all refusal reasons, retry
    /// reasons and incidents exist from the start, because a counter that appears with
    /// its first event hides that event from a rate query.
    pub fn new() -> Self {
        let mut metrics = NodeMetrics {
            registry: Registry::with_prefix(METRIC_PREFIX),
            refusals: Family::default(),
            retries: Family::default(),
            wasted: Family::default(),
            ended: Family::default(),
            goodput: Family::default(),
            first_token: time_family(),
            queue_wait: time_family(),
            incidents: Family::default(),
            forwards: Family::default(),
            queued: Family::default(),
            revisions: Family::default(),
            running: Gauge::default(),
            peers: Gauge::default(),
            owned_shards: Gauge::default(),
            service_reads: Counter::default(),
            link_sent: Counter::default(),
            link_received: Counter::default(),
            degraded_admissions: Counter::default(),
            unmarked_exposure: Counter::default(),
            link_messages: Family::default(),
            owner_refusals: Family::default(),
            return_promises: Family::default(),
            request_sizes: Family::default(),
            preemptions: Counter::default(),
            reclaimed_permits: Counter::default(),
            shard_queue: Family::default(),
            account_share_ratio_max: Gauge::default(),
            load: Gauge::default(),
            crashed_calls: Gauge::default(),
            quarantined_calls: Gauge::default(),
            limited_targets: Gauge::default(),
            slow_targets: Gauge::default(),
            malformed_paces: Counter::default(),
            cold_targets: Gauge::default(),
            evacuated_domains: Gauge::default(),
            lost_paths: Gauge::default(),
            open_tunnels: Gauge::default(),
            opened_connections: Counter::default(),
            reused_connections: Counter::default(),
            closed_connections: Counter::default(),
            idle_connections: Gauge::default(),
            unreadable_routes: Gauge::default(),
            loop_inputs: Family::default(),
            loop_busy: Family::default(),
            loop_delay: Gauge::default(),
            loop_waiting: Gauge::default(),
        };
        metrics.register_outcomes();
        metrics.register_state();
        metrics.register_totals();
        metrics.create_children();
        metrics
    }

    fn create_children(&self) {
        for reason in RefusalReason::ALL {
            drop(self.refusals.get_or_create(&RefusalLabels {
                reason: reason.as_str(),
                tier: NO_TIER.to_owned(),
            }));
        }
        for reason in RetryReason::ALL {
            drop(self.retries.get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            }));
        }
        for incident in Incident::ALL {
            drop(self.incidents.get_or_create(&IncidentLabels {
                number: u32::from(incident.number()),
            }));
        }
    }

    /// Count a refused request; `tier` is `None` if none has been assigned yet.
    pub fn count_refusal(&self, reason: RefusalReason, tier: Option<Tier>) {
        let tier = match tier {
            Some(tier) => tier.0.to_string(),
            None => NO_TIER.to_owned(),
        };
        let labels = RefusalLabels {
            reason: reason.as_str(),
            tier,
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Count a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        let labels = ReasonLabels {
            reason: reason.as_str(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Count prompt tokens that were processed in vain.
    pub fn count_wasted_tokens(&self, tier: Tier, cause: WasteCause, tokens: u32) {
        let labels = WasteLabels {
            tier: u32::from(tier.0),
            cause: cause.as_str(),
        };
        self.wasted.get_or_create(&labels).inc_by(u64::from(tokens));
    }

    /// Count a finished request. `good` states whether its answer was complete
    /// and within the deadline, `first_token` is the time from acceptance to the
    /// first token.
    pub fn count_end(&self, tier: Tier, good: bool, first_token: Option<Duration>) {
        let labels = tier_labels(tier);
        self.ended.get_or_create(&labels).inc();
        let goodput = self.goodput.get_or_create(&labels);
        if good {
            goodput.inc();
        }
        if let Some(span) = first_token {
            self.first_token
                .get_or_create(&labels)
                .observe(span.as_secs_f64());
        }
    }

    /// Record how long a request waited for its permit.
    pub fn observe_queue_wait(&self, tier: Tier, span: Duration) {
        self.queue_wait
            .get_or_create(&tier_labels(tier))
            .observe(span.as_secs_f64());
    }

    /// Count a log event.
    pub fn count_incident(&self, incident: Incident) {
        let labels = IncidentLabels {
            number: u32::from(incident.number()),
        };
        self.incidents.get_or_create(&labels).inc();
    }

    /// Count a request forwarded to the host that holds it; `reached` states
    /// whether that host answered.
    pub fn count_forward(&self, reached: bool) {
        let reached = match reached {
            true => "yes",
            false => "no",
        };
        self.forwards
            .get_or_create(&ForwardLabels { reached })
            .inc();
    }

    /// Set the number of requests of `tier` that wait for a permit.
    pub fn set_queued(&self, tier: Tier, count: usize) {
        self.queued
            .get_or_create(&tier_labels(tier))
            .set(gauge_value(count));
    }

    /// Set the number of running requests.
    pub fn set_running(&self, count: usize) {
        self.running.set(gauge_value(count));
    }

    /// Set the revision in force of a published value.
    pub fn set_revision(&self, value: &ValueName, revision: Revision) {
        let labels = ValueLabels {
            value: value.as_str().to_owned(),
        };
        self.revisions.get_or_create(&labels).set(revision.0);
    }

    /// Set the number of reachable peers.
    pub fn set_peers(&self, count: usize) {
        self.peers.set(gauge_value(count));
    }

    /// Set the number of shards that this host owns.
    pub fn set_owned_shards(&self, count: usize) {
        self.owned_shards.set(gauge_value(count));
    }

    /// Set the total number of calls to the configuration service.
    pub fn set_service_reads(&self, total: u64) {
        set_total(&self.service_reads, total);
    }

    /// Set the total number of bytes sent to and received from peers.
    pub fn set_link_bytes(&self, sent: u64, received: u64) {
        set_total(&self.link_sent, sent);
        set_total(&self.link_received, received);
    }

    /// Set the total number of messages sent to and received from peers, by kind.
    pub fn set_link_messages(&self, sent: &KindCounts, received: &KindCounts) {
        for kind in MessageKind::ALL {
            self.set_messages(*kind, "sent", sent);
            self.set_messages(*kind, "received", received);
        }
    }

    fn set_messages(&self, kind: MessageKind, way: &'static str, counts: &KindCounts) {
        let kind_text = kind.as_str();
        let labels = MessageLabels {
            kind: kind_text,
            way,
        };
        let counter = self.link_messages.get_or_create(&labels);
        set_total(&counter, counts.of(kind).messages);
    }

    /// Record what the event loop processed in one interval.
    pub(crate) fn record_loop(&self, stats: &LoopStats) {
        for (kind, stats) in stats.kinds() {
            let labels = InputLabels {
                kind: kind.as_str(),
            };
            self.loop_inputs.get_or_create(&labels).inc_by(stats.count);
            let busy = self.loop_busy.get_or_create(&labels);
            busy.inc_by(stats.busy.as_secs_f64());
        }
        self.loop_delay.set(stats.max_delay().as_secs_f64());
        self.loop_waiting.set(gauge_value(stats.max_waiting()));
    }

    /// Set the load of the host, in thousandths of its capacity.
    pub fn set_load(&self, permille: u16) {
        self.load.set(i64::from(permille));
    }

    /// Set the number of calls whose runs crashed targets, and how many of them are
    /// in quarantine.
    pub fn set_crashed_calls(&self, crashed: usize, quarantined: usize) {
        self.crashed_calls.set(crashed as i64);
        self.quarantined_calls.set(quarantined as i64);
    }

    /// Set the number of targets that have named a rate limit to this host.
    pub fn set_limited_targets(&self, count: usize) {
        self.limited_targets.set(count as i64);
    }

    /// Set the number of targets that are slow at this moment, as this host knows as owner,
    /// and the total number of paces that could not be read.
    pub fn set_paces(&self, slow: usize, malformed: u64) {
        self.slow_targets.set(slow as i64);
        set_total(&self.malformed_paces, malformed);
    }

    /// Set the number of targets that are cold.
    pub fn set_cold_targets(&self, count: usize) {
        self.cold_targets.set(count as i64);
    }

    /// Set the number of failure domains that are evacuated.
    pub fn set_evacuated_domains(&self, count: usize) {
        self.evacuated_domains.set(count as i64);
    }

    /// Set the number of targets that this host reaches only through other hosts.
    pub fn set_lost_paths(&self, count: usize) {
        self.lost_paths.set(count as i64);
    }

    /// Set the number of tunnels that other hosts have open at this host.
    pub fn set_open_tunnels(&self, count: usize) {
        self.open_tunnels.set(count as i64);
    }

    /// Set whether the store has no routes, or later ones that could not be read.
    pub fn set_unreadable_routes(&self, is_unreadable: bool) {
        self.unreadable_routes.set(i64::from(is_unreadable));
    }

    /// Set the use of connections to targets.
    pub fn set_target_connections(&self, counts: &ConnectionCounts) {
        set_total(&self.opened_connections, counts.opened);
        set_total(&self.reused_connections, counts.reused);
        set_total(&self.closed_connections, counts.closed);
        self.idle_connections.set(gauge_value(counts.idle));
    }

    /// Set the total number of requests admitted without a shard owner.
    pub fn set_degraded_admissions(&self, total: u64) {
        set_total(&self.degraded_admissions, total);
    }

    /// Set the total number of requests with an idempotency key that were accepted
    /// while this host could not have recognized them as resubmissions unless their
    /// callers had marked them as such.
    pub fn set_unmarked_exposure(&self, total: u64) {
        set_total(&self.unmarked_exposure, total);
    }

    /// Get the metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut page = String::new();
        match encode(&mut page, &self.registry) {
            Ok(()) => page,
            // Writing to a `String` does not fail.
            Err(_) => String::new(),
        }
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        NodeMetrics::new()
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Set a counter whose total is maintained elsewhere. The counter never
/// decreases, because a lower total would look like a restart of the process.
fn set_total(counter: &Counter, total: u64) {
    counter.inner().fetch_max(total, Ordering::Relaxed);
}
