//! Provides the evacuations of failure domains, and which targets are cold, on a host.

use super::NodeAction;
use super::core::NodeCore;
use crate::clock::Moment;
use crate::cold_targets::ColdFinding;
use crate::evacuation::{EvacuationList, EvacuationUpdate};
use crate::failure_domain::DomainName;
use crate::incident::Incident;
use crate::revision::{EVACUATIONS_VALUE, PublishedValue, RevisionEvent, value_name};

impl NodeCore {
    pub(super) fn on_evacuation_update(&mut self, now: Moment, update: EvacuationUpdate) {
        if self.evacuations.apply(now, update) {
            self.publish_evacuations(now);
        }
    }

    /// Drop evacuations that a restored store still lacks.
    pub(super) fn review_evacuations(&mut self, now: Moment) {
        if self.evacuations.drop_kept(now) {
            self.publish_evacuations(now);
        }
    }

    fn publish_evacuations(&mut self, now: Moment) {
        let Ok(body) = serde_json::to_string(&self.evacuations.list()) else {
            return;
        };
        let value = PublishedValue {
            name: value_name(EVACUATIONS_VALUE),
            revision: self.evacuations.revision(),
            body,
        };
        self.notify_revisions(now, RevisionEvent::Read(value));
    }

    /// Get the published evacuations.
    pub(super) fn evacuated(&self) -> EvacuationList {
        self.publication.evacuations.clone().unwrap_or_default()
    }

    /// Apply a change of the evacuated domains. The targets of one that is taken back may be
    /// cold.
    pub(super) fn apply_evacuations(&mut self, now: Moment, before: &EvacuationList) {
        let after = self.evacuated();
        for domain in after.domains.difference(&before.domains) {
            self.log_domain(Incident::DomainEvacuated, domain);
        }
        let ended = before.domains.difference(&after.domains);
        let ended: Vec<DomainName> = ended.cloned().collect();
        for domain in &ended {
            self.log_domain(Incident::DomainTakenBack, domain);
        }
        let findings = self.publication.take_back(now, &ended);
        self.log_cold(now, &findings);
        self.notify_leaving(now);
    }

    /// Update which targets are cold after a change of the targets or the routes.
    pub(super) fn review_warmth(&mut self, now: Moment) {
        let findings = self.publication.review_warmth(now);
        self.log_cold(now, &findings);
    }

    fn log_domain(&mut self, incident: Incident, domain: &DomainName) {
        let text = format!("domain={domain}");
        self.actions.push(NodeAction::LogIncident(incident, text));
    }

    /// Log the targets that are cold, at the owners of their shards.
    fn log_cold(&mut self, now: Moment, findings: &[ColdFinding]) {
        for finding in findings {
            let entry = self.publication.pools.target_with_pool(&finding.target);
            if !entry.is_some_and(|entry| self.shards.acts_for(&entry.pool.name)) {
                continue;
            }
            let text = format!(
                "target={} per_second={} remaining_ms={} by={}",
                finding.target,
                finding.cold.rate,
                finding.cold.until.since(now).as_millis(),
                finding.cause.label(),
            );
            let incident = Incident::TargetCold;
            self.actions.push(NodeAction::LogIncident(incident, text));
        }
    }
}
