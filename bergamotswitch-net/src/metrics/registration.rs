//! Provides the names and help texts under which metrics are registered.

use super::NodeMetrics;

impl NodeMetrics {
    /// Register the metrics of request outcomes.
    pub(super) fn register_outcomes(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refusals",
            "Requests refused, by reason and tier",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Attempts that followed another one, by reason",
            self.retries.clone(),
        );
        registry.register(
            "wasted_prefill_tokens",
            "Prompt tokens processed for nothing, by tier and cause",
            self.wasted.clone(),
        );
        registry.register(
            "requests_ended",
            "Requests that ended, by tier",
            self.ended.clone(),
        );
        registry.register(
            "goodput",
            "Requests that ended with their whole answer in time, by tier",
            self.goodput.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from acceptance to the first token, by tier",
            self.first_token.clone(),
        );
        registry.register(
            "queue_wait_seconds",
            "Time from acceptance to the permit, by tier",
            self.queue_wait.clone(),
        );
        registry.register(
            "incidents",
            "Numbered events of docs/EVENTS.md",
            self.incidents.clone(),
        );
        registry.register(
            "forwards",
            "Requests forwarded to the host that holds them",
            self.forwards.clone(),
        );
    }

    /// Register the gauges of the host's current state.
    pub(super) fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "queued_requests",
            "Requests that wait for a permit, by tier",
            self.queued.clone(),
        );
        registry.register(
            "running_requests",
            "Requests dispatched and not ended",
            self.running.clone(),
        );
        registry.register(
            "revision_in_force",
            "Revision in force, by published value",
            self.revisions.clone(),
        );
        registry.register(
            "shard_queue",
            "Asks queued at this host as owner, by shard and tier",
            self.shard_queue.clone(),
        );
        registry.register(
            "account_share_ratio_max",
            "Use of the most over-served client account divided by its share, 1 if none is",
            self.account_share_ratio_max.clone(),
        );
        registry.register(
            "load_permille",
            "How busy the host is, in thousandths of what it can carry",
            self.load.clone(),
        );
        registry.register("peers", "Peers linked and heard", self.peers.clone());
        registry.register(
            "owned_shards",
            "Pool shards that this host owns",
            self.owned_shards.clone(),
        );
    }

    /// Register the counters whose totals are maintained elsewhere in the host.
    pub(super) fn register_totals(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "service_reads",
            "Calls to the configuration service, a waiting watch as one",
            self.service_reads.clone(),
        );
        registry.register(
            "link_sent_bytes",
            "Bytes sent to peers",
            self.link_sent.clone(),
        );
        registry.register(
            "link_received_bytes",
            "Bytes received from peers",
            self.link_received.clone(),
        );
        registry.register(
            "link_messages",
            "Messages to and from peers, by kind",
            self.link_messages.clone(),
        );
        registry.register(
            "owner_refusals",
            "Asks that this host refused as a shard's owner, by reason",
            self.owner_refusals.clone(),
        );
        registry.register(
            "return_promises",
            "Promises to refused callers that this host made as owner, by what became of them",
            self.return_promises.clone(),
        );
        registry.register(
            "owner_requests",
            "Asks and runs of a shard that this host owns, by tier, estimated output and end",
            self.request_sizes.clone(),
        );
        registry.register(
            "preemptions",
            "Streams that this host had stopped for a higher tier as owner",
            self.preemptions.clone(),
        );
        registry.register(
            "reclaimed_permits",
            "Permits that this host took back by audit as owner",
            self.reclaimed_permits.clone(),
        );
        registry.register(
            "crashed_calls",
            "Calls whose runs crashed targets, as known to this host",
            self.crashed_calls.clone(),
        );
        registry.register(
            "quarantined_calls",
            "Calls that this host refuses because they crash targets",
            self.quarantined_calls.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that have named a rate limit to this host",
            self.limited_targets.clone(),
        );
        registry.register(
            "slow_targets",
            "Targets that are slow at this moment, as known to this host as owner",
            self.slow_targets.clone(),
        );
        registry.register(
            "malformed_paces",
            "Momentary paces of targets that this host could not read",
            self.malformed_paces.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets that are cold, so that their owner limits their rate",
            self.cold_targets.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains whose targets get no new requests",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "lost_paths",
            "Targets that this host reaches only through other hosts",
            self.lost_paths.clone(),
        );
        registry.register(
            "open_tunnels",
            "Connections to targets that other hosts use through this host",
            self.open_tunnels.clone(),
        );
        registry.register(
            "target_connections_opened",
            "Connections to targets opened for calls",
            self.opened_connections.clone(),
        );
        registry.register(
            "target_connections_reused",
            "Calls sent over an idle connection to a target",
            self.reused_connections.clone(),
        );
        registry.register(
            "idle_connections_closed",
            "Idle connections to targets closed to stay within a limit",
            self.closed_connections.clone(),
        );
        registry.register(
            "idle_connections",
            "Idle connections to targets",
            self.idle_connections.clone(),
        );
        registry.register(
            "routes_unreadable",
            "Whether the newest routes could not be read, so that none are confirmed",
            self.unreadable_routes.clone(),
        );
        registry.register(
            "loop_inputs",
            "Inputs that the event loop processed, by kind",
            self.loop_inputs.clone(),
        );
        registry.register(
            "loop_busy_seconds",
            "Time for which the event loop processed inputs, by kind",
            self.loop_busy.clone(),
        );
        registry.register(
            "loop_delay_seconds",
            "Longest time for which an input waited for the event loop, over a second",
            self.loop_delay.clone(),
        );
        registry.register(
            "loop_waiting_inputs",
            "Most inputs that waited for the event loop, over a second",
            self.loop_waiting.clone(),
        );
        registry.register(
            "degraded_admissions",
            "Requests admitted by this host's own fraction, without an owner",
            self.degraded_admissions.clone(),
        );
        registry.register(
            "unmarked_resubmission_exposure",
            "Keyed requests accepted while an unmarked resubmission could not have been recognized",
            self.unmarked_exposure.clone(),
        );
    }
}
