//! Provides explanations of the routing decision for a request: the rules evaluated,
//! the rule that matched, and the targets that are eligible.

use std::fmt;

use serde::Serialize;

use crate::failure_domain::DomainName;
use crate::publication::Publication;
use crate::rules::{RequestAttributes, RuleTrace, Verdict};
use crate::target::{PoolTarget, TargetName};

/// An `Exclusion` is a reason why a target is not eligible for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// No rule matches the request.
    NoRule,
    /// The matching rule does not allow the target's failure domain.
    DomainNotAllowed(DomainName),
    /// The target is draining.
    Leaving,
}

/// A `TargetEligibility` is whether a target is eligible for a request, with the
/// reasons if it is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetEligibility {
    /// The name of the target.
    pub target: TargetName,
    /// The failure domain of the target.
    pub domain: DomainName,
    /// The reasons for exclusion; empty if the target is eligible.
    pub excluded: Vec<Exclusion>,
}

/// A `RequestExplanation` is how a request would be handled under the published
/// configuration, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestExplanation {
    /// Whether the requested pool is published.
    pub pool_known: bool,
    /// The result of each rule, up to and including the first match.
    pub trace: RuleTrace,
    /// The decision of the matching rule; `None` if no rule matches.
    pub verdict: Option<Verdict>,
    /// The weight of the account among the accounts of its tier; `None` without fair
    /// admission.
    pub weight: Option<u32>,
    /// The eligibility of each target of the pool.
    pub targets: Vec<TargetEligibility>,
}

impl RequestExplanation {
    /// Get the explanation of a request under the given publication.
    pub fn of(publication: &Publication, attributes: &RequestAttributes<'_>) -> Self {
        let verdict = publication.rules.decide(attributes);
        let pool = publication.pools.pool(attributes.pool);
        let targets = pool.map(|pool| pool.targets.as_slice()).unwrap_or_default();
        let eligibilities = targets
            .iter()
            .map(|target| TargetEligibility::of(publication, verdict.as_ref(), target))
            .collect();
        RequestExplanation {
            pool_known: pool.is_some(),
            trace: publication.rules.explain(attributes),
            weight: verdict
                .as_ref()
                .filter(|_| publication.limits.account_share_half_life_ms > 0)
                .map(|verdict| publication.weighted_share(attributes.account, verdict.share)),
            verdict,
            targets: eligibilities,
        }
    }
}

impl TargetEligibility {
    fn of(publication: &Publication, verdict: Option<&Verdict>, target: &PoolTarget) -> Self {
        let mut excluded = Vec::new();
        match verdict {
            None => excluded.push(Exclusion::NoRule),
            Some(verdict) => {
                let everywhere = verdict.domains.is_empty();
                if !everywhere && !verdict.domains.contains(&target.domain) {
                    excluded.push(Exclusion::DomainNotAllowed(target.domain.clone()));
                }
            }
        }
        if publication.target_is_leaving(&target.name) {
            excluded.push(Exclusion::Leaving);
        }
        TargetEligibility {
            target: target.name.clone(),
            domain: target.domain.clone(),
            excluded,
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exclusion::NoRule => write!(f, "no rule matches"),
            Exclusion::DomainNotAllowed(domain) => {
                write!(f, "the rule does not allow failure domain {domain}")
            }
            Exclusion::Leaving => write!(f, "the target is leaving"),
        }
    }
}

impl fmt::Display for TargetEligibility {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): ", self.target, self.domain)?;
        if self.excluded.is_empty() {
            return write!(f, "may run it");
        }
        for (index, reason) in self.excluded.iter().enumerate() {
            if index > 0 {
                write!(f, "; ")?;
            }
            write!(f, "{reason}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RequestExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.trace)?;
        if let Some(verdict) = &self.verdict {
            writeln!(f, "{verdict}")?;
        }
        if let Some(weight) = self.weight {
            writeln!(f, "weight {weight} among the accounts of its tier")?;
        }
        if !self.pool_known {
            writeln!(f, "no published pool has this name")?;
        }
        for target in &self.targets {
            writeln!(f, "{target}")?;
        }
        Ok(())
    }
}
