//! Provides what the loop reports of itself: log events, gauges and status.

use std::fmt::Display;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::node::NodeEvent;
use serde_json::json;

use super::HostNode;
use crate::event_log;
use crate::node::gauges;
use crate::node::stop::StopTimes;

/// How often gauges are brought up to date.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

impl HostNode {
    /// Note a change of whether the store answers.
    pub(super) fn note_store(&mut self, answered: bool) {
        let failing = !answered;
        if failing == self.store_failing || self.settings.gateway.is_none() {
            return;
        }
        self.store_failing = failing;
        let incident = match failing {
            true => Incident::ServiceUnreachable,
            false => Incident::ServiceReachable,
        };
        self.note(incident, "store");
    }

    /// Note a change of whether keys are relied on.
    fn note_keys(&mut self) {
        let trusted = self.core.trusts_keys(self.now());
        if trusted == self.keys_trusted || self.settings.gateway.is_none() {
            return;
        }
        self.keys_trusted = trusted;
        let incident = match trusted {
            true => Incident::KeysConfirmed,
            false => Incident::KeysUnconfirmed,
        };
        self.note(incident, "");
    }

    pub(super) fn note(&self, incident: Incident, text: &str) {
        self.metrics.incident(incident);
        event_log::write(
            incident,
            &[("host", &self.me.incarnation.host), ("about", &text)],
        );
    }

    /// Note how far a planned stop is and what is open.
    pub(super) fn note_stop(&self, incident: Incident, times: &StopTimes) {
        self.metrics.incident(incident);
        let now = self.now();
        let entry = self.core.view(now).entry;
        let waiting: u32 = entry.waiting.iter().sum();
        let running: u32 = entry.running.iter().sum();
        let stopped = now.since(times.begun_at).as_millis();
        let door = times.door_until().since(now).as_millis();
        let grace = match times.killed_at() {
            Moment::NEVER => String::new(),
            at => at.since(now).as_millis().to_string(),
        };
        let pairs: [(&str, &dyn Display); 6] = [
            ("host", &self.me.incarnation.host),
            ("stopping_ms", &stopped),
            ("door_ms", &door),
            ("grace_ms", &grace),
            ("waiting", &waiting),
            ("running", &running),
        ];
        event_log::write(incident, &pairs);
    }

    /// Note each request that is still open although the grace is nearly over.
    ///
    /// A process that is killed tells nothing of what it held: without these
    /// lines a request that is lost with it has none in any log.
    pub(super) fn note_open(&self, times: &StopTimes) {
        if self.core.is_idle() {
            return;
        }
        self.note_stop(Incident::GraceEnding, times);
        let now = self.now();
        for (id, request) in self.open.live() {
            self.metrics.incident(Incident::RequestOpen);
            let pieces = request.answer.data_part_count();
            request.label.note_open(now, id, times, pieces);
        }
    }

    pub(super) fn status(&self) -> serde_json::Value {
        let view = serde_json::to_value(self.core.view(self.now()));
        // A view that cannot be written would otherwise look like an empty one.
        let mut status = view.unwrap_or_else(|error| json!({ "error": error.to_string() }));
        if let Some(fields) = status.as_object_mut() {
            let reads = self.platform.calls();
            fields.insert("service_calls".to_owned(), reads.into());
        }
        status
    }

    pub(super) fn refresh_gauges(&mut self) {
        let now = self.now();
        if now < self.gauges_due {
            return;
        }
        self.gauges_due = now.plus(GAUGE_INTERVAL);
        self.note_keys();
        let view = self.core.view(now);
        let load = self.load.measure(now, &view.entry);
        gauges::refresh(&self.metrics, &view);
        self.owner_totals.refresh(&self.metrics, &view.shards);
        self.metrics.set_service_reads(self.platform.calls());
        let counters = self.links.counters();
        let sent = counters.sent.total().bytes;
        self.metrics
            .set_link_bytes(sent, counters.received.total().bytes);
        self.metrics
            .set_link_messages(&counters.sent, &counters.received);
        self.handle(NodeEvent::HostLoad(load));
    }
}
