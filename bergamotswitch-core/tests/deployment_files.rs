//! Tests that the files of the example deployments are valid and consistent.

use std::path::{Path, PathBuf};

use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::publication::{Publication, check_consistency};
use bergamotswitch_core::revision::{PublishedValue, Revision, ValueName};
use bergamotswitch_core::rules::{RequestAttributes, Tier, Verdict, WorkKind};
use bergamotswitch_core::settings::HostSettings;

const VALUES: [&str; 6] = ["rules", "accounts", "pools", "domains", "limits", "hosts"];

fn directory(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../deployments")
        .join(deployment)
}

fn publication(deployment: &str) -> Publication {
    let mut publication = Publication::default();
    for name in VALUES {
        let path = directory(deployment).join(format!("{name}.json"));
        let value = PublishedValue {
            name: ValueName::try_from(name).unwrap(),
            revision: Revision(1),
            body: std::fs::read_to_string(path).unwrap(),
        };
        publication
            .apply(&value)
            .unwrap_or_else(|findings| panic!("{findings}"));
    }
    publication
}

fn verdict(publication: &Publication, pool: &str, work: &str) -> Verdict {
    let pool = PoolName::try_from(pool).unwrap();
    let work = WorkKind::try_from(work).unwrap();
    let domain: &DomainName = &publication.domains.domains()[0].name;
    let attributes = RequestAttributes {
        pool: &pool,
        account: &publication.accounts.accounts()[2].name,
        work: Some(&work),
        path: "/",
        domain,
        prompt_tokens: 100,
        streaming: true,
    };
    publication.rules.decide(&attributes).unwrap()
}

fn check_deployment(deployment: &str, engine: &str, plain: &str) {
    let publication = publication(deployment);
    assert_eq!(check_consistency(&publication).to_string(), "");
    assert!(publication.missing().is_empty());
    let count = |name: &str| {
        let name = PoolName::try_from(name).unwrap();
        publication.pools.pool(&name).unwrap().targets.len()
    };
    assert_eq!((count(engine), count(plain)), (18, 3));
    assert_eq!(publication.domains.domains().len(), 3);
    for host in &publication.hosts.hosts {
        let path = directory(deployment).join(format!("settings/{}.json", host.name));
        let text = std::fs::read_to_string(path).unwrap();
        let settings = HostSettings::try_from_json(&text).unwrap();
        assert_eq!(
            (&settings.name, &settings.domain),
            (&host.name, &host.domain)
        );
        assert_eq!(settings.caller_address, host.caller_address);
        assert_eq!(settings.link_address, host.link_address);
    }
    // The README lists the keys that match the published hashes.
    let page = std::fs::read_to_string(directory(deployment).join("README.md")).unwrap();
    let accounts = publication.accounts.accounts();
    assert_eq!(accounts.len(), 5);
    for account in accounts {
        let key = format!("{deployment}-demo-{}", account.name);
        assert!(page.contains(&format!("| `{}` | `{key}` |", account.name)));
        assert_eq!(publication.accounts.authenticate(&key), Some(account));
    }
}

#[test]
fn complete_austral() {
    check_deployment("red-austral", "bolido-llm", "red-app");
}

#[test]
fn complete_naapuri() {
    check_deployment("naapuriseina", "drafting-lm", "case-desk");
}

#[test]
fn austral_work() {
    let publication = publication("red-austral");
    let engine = |work: &str| verdict(&publication, "bolido-llm", work);
    assert!(engine("trajectory-report").dispatch_once);
    assert_eq!(engine("dawn-report").tier, Tier(0));
    assert!(!engine("dawn-report").preemptible);
    let log = engine("sky-log-summary");
    assert!(log.idempotent && log.preemptible && log.tier > engine("candidate-tag").tier);
    let alert = verdict(&publication, "red-app", "crew-alert");
    assert!(!alert.idempotent && !alert.preemptible);
    assert!(verdict(&publication, "red-app", "status").idempotent);
    assert_eq!(engine("poem").rule.as_str(), "anything-else");
    assert!(!engine("poem").idempotent);
}

#[test]
fn naapuri_work() {
    let publication = publication("naapuriseina");
    let engine = |work: &str| verdict(&publication, "drafting-lm", work);
    let desk = |work: &str| verdict(&publication, "case-desk", work);
    assert!(engine("notice-draft").dispatch_once);
    assert_eq!(engine("objection-summary").tier, Tier(0));
    let check = engine("clause-check");
    assert!(!check.preemptible && check.deadline > engine("notice-draft").deadline);
    assert!(!desk("consent-receipt").idempotent && !desk("neighbour-notice").idempotent);
    assert!(desk("status-lookup").deadline < desk("consent-receipt").deadline);
}
