//! Provides the log events, gauges and status of the event loop.

use std::fmt::Display;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::node::NodeEvent;
use serde_json::json;

use super::HostNode;
use crate::event_log;
use crate::node::gauges;
use crate::node::stop::StopSchedule;

/// The interval at which gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

impl HostNode {
    /// Log a change of whether the store is reachable.
    pub(super) fn log_store_state(&mut self, answered: bool) {
        let failing = !answered;
        if failing == self.store_failing || self.settings.gateway.is_none() {
            return;
        }
        self.store_failing = failing;
        let incident = match failing {
            true => Incident::ServiceUnreachable,
            false => Incident::ServiceReachable,
        };
        self.log_incident(incident, "store");
    }

    /// Log a change of whether API keys are trusted.
    fn log_key_trust(&mut self) {
        let trusted = self.core.trusts_keys(self.now());
        if trusted == self.keys_trusted || self.settings.gateway.is_none() {
            return;
        }
        self.keys_trusted = trusted;
        let incident = match trusted {
            true => Incident::KeysConfirmed,
            false => Incident::KeysUnconfirmed,
        };
        self.log_incident(incident, "");
    }

    pub(super) fn log_incident(&self, incident: Incident, text: &str) {
        self.metrics.count_incident(incident);
        event_log::write(
            incident,
            &[("host", &self.me.incarnation.host), ("about", &text)],
        );
    }

    /// Log the progress of a planned stop and the number of open requests.
    pub(super) fn log_stop_progress(&self, incident: Incident, schedule: &StopSchedule) {
        self.metrics.count_incident(incident);
        let now = self.now();
        let view = self.core.view(now).entry;
        let waiting: u32 = view.waiting.iter().sum();
        let running: u32 = view.running.iter().sum();
        let stopped = now.since(schedule.started_at).as_millis();
        let accepting = schedule.accept_until().since(now).as_millis();
        let grace = match schedule.killed_at() {
            Moment::NEVER => String::new(),
            at => at.since(now).as_millis().to_string(),
        };
        let pairs: [(&str, &dyn Display); 6] = [
            ("host", &self.me.incarnation.host),
            ("stopping_ms", &stopped),
            ("door_ms", &accepting),
            ("grace_ms", &grace),
            ("waiting", &waiting),
            ("running", &running),
        ];
        event_log::write(incident, &pairs);
    }

    /// Log each request that is still open although the grace period is nearly over.
    ///
    /// Without these lines, a request that is lost when the process is killed
    /// appears in no log.
    pub(super) fn log_open_requests(&self, schedule: &StopSchedule) {
        if self.core.is_idle() {
            return;
        }
        self.log_stop_progress(Incident::GraceEnding, schedule);
        let now = self.now();
        for (id, request) in self.requests.live() {
            self.metrics.count_incident(Incident::RequestOpen);
            let data_parts = request.answer.data_part_count();
            request.log.write_open(now, id, schedule, data_parts);
        }
    }

    pub(super) fn status(&self) -> serde_json::Value {
        let view = serde_json::to_value(self.core.view(self.now()));
        // A view that cannot be serialized must not look like an empty one.
        let mut status = view.unwrap_or_else(|error| json!({ "error": error.to_string() }));
        if let Some(fields) = status.as_object_mut() {
            let reads = self.platform.calls();
            fields.insert("service_calls".to_owned(), reads.into());
            let is_unreadable = self.platform.has_unreadable_routes();
            fields.insert("routes_unreadable".to_owned(), is_unreadable.into());
            let counts = self.targets.connection_counts();
            fields.insert("target_connections".to_owned(), json!(counts));
        }
        status
    }

    /// Update the metrics of the event loop, and log that it is behind.
    fn report_loop(&mut self) {
        let stats = std::mem::take(&mut self.stats);
        self.metrics.record_loop(&stats);
        if !stats.is_behind() {
            return;
        }
        self.metrics.count_incident(Incident::LoopBehind);
        let delay = stats.max_delay().as_millis();
        let pairs: [(&str, &dyn Display); 4] = [
            ("host", &self.me.incarnation.host),
            ("delay_ms", &delay),
            ("waiting", &stats.max_waiting()),
            ("inputs", &stats),
        ];
        event_log::write(Incident::LoopBehind, &pairs);
    }

    pub(super) fn refresh_gauges(&mut self) {
        let now = self.now();
        if now < self.gauges_due {
            return;
        }
        self.gauges_due = now.plus(GAUGE_INTERVAL);
        self.log_key_trust();
        let view = self.core.view(now);
        let load = self.load.measure(now, &view.entry);
        self.report_loop();
        gauges::refresh(&self.metrics, &view);
        self.owner_totals.refresh(&self.metrics, &view.shards);
        self.metrics.set_service_reads(self.platform.calls());
        self.metrics
            .set_unreadable_routes(self.platform.has_unreadable_routes());
        self.metrics
            .set_target_connections(&self.targets.connection_counts());
        self.metrics.set_open_tunnels(self.links.open_tunnels());
        let counters = self.links.counters();
        let sent = counters.sent.total().bytes;
        self.metrics
            .set_link_bytes(sent, counters.received.total().bytes);
        self.metrics
            .set_link_messages(&counters.sent, &counters.received);
        self.handle(NodeEvent::HostLoad(load));
    }
}
