//! Provides the consistency check across published values.

use std::fmt::Display;

use super::Publication;
use crate::error::Findings;
use crate::failure_domain::DomainName;
use crate::rules::Rule;

/// Check the published values for references to unpublished names, unreachable
/// rules and a missing link key. The findings are advisory: values that have them
/// still take effect.
pub fn check_consistency(publication: &Publication) -> Findings {
    let mut findings = Findings::new();
    check_rules(publication, &mut findings);
    check_targets(publication, &mut findings);
    check_hosts(publication, &mut findings);
    if publication.limits.link_key.is_empty() {
        findings.add(
            "limits:/link_key",
            "nothing",
            "a shared secret, without which hosts cannot authenticate their peers",
        );
    }
    findings
}

fn check_rules(publication: &Publication, findings: &mut Findings) {
    let mut catch_all: Option<&Rule> = None;
    for (index, rule) in publication.rules.rules().iter().enumerate() {
        let place = format!("rules:/rules/{index}");
        if let Some(earlier) = catch_all {
            let found = format!("unreachable rule {}", rule.name);
            let allowed = format!("rules before {}, which matches every request", earlier.name);
            findings.add(&place, found, allowed);
        }
        if catch_all.is_none() && rule.when.matches_all() {
            catch_all = Some(rule);
        }
        check_rule(publication, rule, &place, findings);
    }
}

fn check_rule(publication: &Publication, rule: &Rule, place: &str, findings: &mut Findings) {
    for (index, pool) in rule.when.pools.iter().flatten().enumerate() {
        if publication.pools.pool(pool).is_none() {
            let place = format!("{place}/when/pools/{index}");
            add_unknown(place, pool, "pool", findings);
        }
    }
    for (index, account) in rule.when.accounts.iter().flatten().enumerate() {
        if publication.accounts.account(account).is_none() {
            let place = format!("{place}/when/accounts/{index}");
            add_unknown(place, account, "client account", findings);
        }
    }
    for (index, domain) in rule.when.domains.iter().flatten().enumerate() {
        let place = format!("{place}/when/domains/{index}");
        check_domain(publication, domain, place, findings);
    }
    for (index, domain) in rule.then.domains.iter().enumerate() {
        let place = format!("{place}/then/domains/{index}");
        check_domain(publication, domain, place, findings);
    }
}

fn check_targets(publication: &Publication, findings: &mut Findings) {
    for (pool_index, pool) in publication.pools.pools().iter().enumerate() {
        for (index, target) in pool.targets.iter().enumerate() {
            let place = format!("pools:/pools/{pool_index}/targets/{index}/domain");
            check_domain(publication, &target.domain, place, findings);
        }
    }
}

fn check_hosts(publication: &Publication, findings: &mut Findings) {
    for (index, host) in publication.hosts.hosts.iter().enumerate() {
        let place = format!("hosts:/hosts/{index}/domain");
        check_domain(publication, &host.domain, place, findings);
    }
    for (index, target) in publication.hosts.targets.iter().enumerate() {
        if publication.pools.target(&target.name).is_none() {
            let place = format!("hosts:/targets/{index}/name");
            add_unknown(place, &target.name, "target", findings);
        }
    }
}

fn check_domain(
    publication: &Publication,
    name: &DomainName,
    place: String,
    findings: &mut Findings,
) {
    if publication.domains.domain(name).is_none() {
        add_unknown(place, name, "failure domain", findings);
    }
}

fn add_unknown(place: String, name: &dyn Display, kind: &str, findings: &mut Findings) {
    findings.add(place, name.to_string(), format!("a published {kind}"));
}
