//! Provides the validated configuration that the platform publishes.
//!
//! Each value is validated on its own when it is applied, so that all hosts accept
//! or refuse a revision alike, in whatever order the values arrive. References
//! between values are checked by [`check_consistency`], whose findings are reported
//! by the `check` command and the status page. At run time an unknown reference
//! fails closed: a rule that names an unknown pool or account matches no request,
//! and a rule that restricts work to an unknown failure domain finds no target.

mod account_list;

mod consistency_check;
mod domain_list;
pub(crate) mod duplicates;
mod fleet_limits;
mod host_list;
pub(crate) mod json_node;
pub(crate) mod named_choice;
pub(crate) mod object_reader;
mod pool_list;
mod registered_pools;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::client_account::AccountName;
use crate::clock::Moment;
use crate::cold_targets::{ColdFinding, ColdTable, ColdTarget};
use crate::error::Findings;
use crate::evacuation::EvacuationList;
use crate::failure_domain::DomainName;
use crate::host::{HostList, HostName, Standing};
use crate::name::PoolName;
use crate::revision::{
    ACCOUNTS_VALUE, DOMAINS_VALUE, EVACUATIONS_VALUE, HOSTS_VALUE, LIMITS_VALUE, POOLS_VALUE,
    PublishedValue, ROUTES_VALUE, RULES_VALUE, TARGETS_VALUE,
};
use crate::route::RouteTable;
use crate::rules::RuleSet;
use crate::target::TargetName;
use crate::target_list::{TargetEntry, TargetList};

pub use account_list::AccountList;
pub use consistency_check::check_consistency;
pub use domain_list::DomainList;
pub(crate) use fleet_limits::LinkKey;
pub use fleet_limits::{FleetLimits, LINK_KEY_LEN, LimitSpec};
pub(crate) use host_list::ConnectAddress;
use json_node::read_text;
pub use pool_list::{PoolList, SLOT_RANGE, SPEED_RANGE, TOKEN_LIMIT_RANGE, TargetWithPool};

/// A `Publication` is the set of published values in force on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publication {
    /// The routing rules.
    pub rules: RuleSet,
    /// The client accounts.
    pub accounts: AccountList,
    /// The pools.
    pub pools: PoolList,
    /// The failure domains.
    pub domains: DomainList,
    /// The fleet-wide limits.
    pub limits: FleetLimits,
    /// The host list.
    pub hosts: HostList,
    /// The hosts that are no longer listed although they did not announce a stop, and since
    /// when. They may be cut off and still serve their callers.
    pub missing_hosts: BTreeMap<HostName, Moment>,
    /// Whether the host is in gateway mode: routes replace the rules, and targets
    /// register themselves instead of being listed in published pools.
    pub uses_routes: bool,
    /// The routes, used in gateway mode.
    pub routes: Arc<RouteTable>,
    /// The targets that registered themselves, used in gateway mode.
    pub registered_targets: TargetList,
    /// The evacuated failure domains, used in gateway mode; `None` while unknown.
    pub evacuations: Option<EvacuationList>,
    /// When the registered targets are warm.
    pub warmth: ColdTable,
}

impl Publication {
    /// Get an empty publication for a host in gateway mode.
    pub fn with_routes(limits: FleetLimits) -> Self {
        Publication {
            uses_routes: true,
            limits,
            ..Publication::default()
        }
    }

    /// Try to validate a published value and put it in force.
    ///
    /// # Errors
    ///
    /// Returns a finding for each error in the value. The publication is then
    /// unchanged.
    pub fn apply(&mut self, value: &PublishedValue) -> Result<(), Findings> {
        let input = value.name.as_str();
        match input {
            RULES_VALUE => self.rules = read_text(input, &value.body)?,
            ACCOUNTS_VALUE => self.accounts = read_text(input, &value.body)?,
            POOLS_VALUE => self.pools = read_text(input, &value.body)?,
            DOMAINS_VALUE => self.domains = read_text(input, &value.body)?,
            LIMITS_VALUE => self.limits = read_text(input, &value.body)?,
            HOSTS_VALUE => self.hosts = read_text(input, &value.body)?,
            ROUTES_VALUE => {
                self.routes = Arc::new(RouteTable::try_from_json(&value.body)?);
                self.pools = registered_pools::pools(&self.registered_targets, &self.routes);
            }
            TARGETS_VALUE => {
                self.registered_targets = TargetList::try_from_json(&value.body)?;
                self.pools = registered_pools::pools(&self.registered_targets, &self.routes);
            }
            EVACUATIONS_VALUE => {
                self.evacuations = Some(EvacuationList::try_from_json(&value.body)?);
            }
            unknown => return Err(unknown_value(unknown)),
        }
        Ok(())
    }

    /// Get the weight of a client account's share under fair admission: the published
    /// one, else 1. The rate of a quota bounds what an account may use and does not say
    /// what it is to get while there is too little room.
    pub fn account_weight(&self, account: &AccountName) -> u32 {
        let published = self.accounts.account(account);
        published.and_then(|account| account.weight).unwrap_or(1)
    }

    /// Get the weight of a request's account in fair queuing, whose rule gives it this
    /// share. The account's own weight counts only with fair admission.
    pub fn weighted_share(&self, account: &AccountName, share: u32) -> u32 {
        match self.limits.account_share_half_life_ms {
            0 => share,
            _ => share.saturating_mul(self.account_weight(account)),
        }
    }

    /// Get the names of the values that the host still needs before it can serve.
    /// An empty value counts as missing, since an applied one is never empty.
    pub fn missing(&self) -> Vec<&'static str> {
        let by_rules = !self.uses_routes;
        let needed = [
            (RULES_VALUE, by_rules && self.rules.rules().is_empty()),
            (
                ACCOUNTS_VALUE,
                by_rules && self.accounts.accounts().is_empty(),
            ),
            (
                ROUTES_VALUE,
                self.uses_routes && self.routes.config().routes.is_empty(),
            ),
            (POOLS_VALUE, self.pools.pools().is_empty()),
            (HOSTS_VALUE, self.hosts.hosts.is_empty()),
        ];
        needed
            .into_iter()
            .filter_map(|(name, absent)| absent.then_some(name))
            .collect()
    }

    /// Get the number of hosts that share the quotas.
    pub fn sharing_hosts(&self) -> usize {
        self.hosts.hosts.len() + self.missing_hosts.len()
    }

    /// Get whether a target gets no new requests according to the host list, its own
    /// registration or an evacuation.
    pub fn target_is_leaving(&self, name: &TargetName) -> bool {
        let listed = self.hosts.targets.iter();
        let listed = listed.map(|target| (&target.name, target.standing));
        let registered = self.registered_targets.targets.iter();
        let registered = registered.map(|target| (&target.name, self.standing_of(target)));
        listed
            .chain(registered)
            .any(|(target, standing)| target == name && standing == Standing::Leaving)
    }

    /// Get the standing of a registered target. Those of an evacuated domain get no new
    /// requests, like draining ones.
    fn standing_of(&self, entry: &TargetEntry) -> Standing {
        let list = self.evacuations.as_ref();
        match list.is_some_and(|list| list.domains.contains(&entry.domain)) {
            true => Standing::Leaving,
            false => entry.standing,
        }
    }

    /// Update which targets are cold after a change of the targets or the routes; get those
    /// that turned cold.
    pub fn review_warmth(&mut self, now: Moment) -> Vec<ColdFinding> {
        self.warmth
            .update(now, &self.registered_targets, &self.routes)
    }

    /// Record that these failure domains were taken back; get the targets that may be cold
    /// now.
    pub fn take_back(&mut self, now: Moment, domains: &[DomainName]) -> Vec<ColdFinding> {
        let entries = self.registered_targets.targets.iter();
        let entries = entries.filter(|entry| domains.contains(&entry.domain));
        self.warmth.take_back(now, entries, &self.routes)
    }

    /// Get the number of cold targets.
    pub(crate) fn cold_count(&self, now: Moment) -> usize {
        let entries = self.registered_targets.targets.iter();
        let is_cold = |entry: &&TargetEntry| {
            let limit = self.warmth.limit_of(now, entry, &self.routes);
            limit.is_some()
        };
        entries.filter(is_cold).count()
    }

    /// Get the cold targets of a pool with their limits.
    pub fn cold_targets(&self, now: Moment, pool: &PoolName) -> Vec<(TargetName, ColdTarget)> {
        let entries = self.registered_targets.targets.iter();
        let entries = entries.filter(|entry| entry.pool == *pool);
        let cold = entries.filter_map(|entry| {
            let limit = self.warmth.limit_of(now, entry, &self.routes)?;
            Some((entry.name.clone(), limit))
        });
        cold.collect()
    }

    /// Get the standings of targets from the host list and from registrations.
    pub(crate) fn target_standings(&self) -> Vec<(TargetName, Standing)> {
        let listed = self.hosts.targets.iter();
        let listed = listed.map(|target| (target.name.clone(), target.standing));
        let registered = self.registered_targets.targets.iter();
        let registered = registered.map(|target| (target.name.clone(), self.standing_of(target)));
        listed.chain(registered).collect()
    }
}

fn unknown_value(name: &str) -> Findings {
    let mut findings = Findings::new();
    let known = [
        RULES_VALUE,
        ACCOUNTS_VALUE,
        POOLS_VALUE,
        DOMAINS_VALUE,
        LIMITS_VALUE,
        HOSTS_VALUE,
        ROUTES_VALUE,
        TARGETS_VALUE,
        EVACUATIONS_VALUE,
    ];
    findings.add(format!("{name}:"), "an unknown value", known.join(", "));
    findings
}
