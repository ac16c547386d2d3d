//! Provides the table of client accounts against their shares: by tier, what each
//! account asked for and was served in each second, compared with its max-min share of
//! what was served of the tier among the calls of that second.

use std::collections::BTreeMap;

use bergamotswitch_core::pool_owner::account_shares::{WeightedDemand, water_level};
use serde_json::{Value, json};

use super::line::LogLine;
use super::outcome::RequestOutcome;
use crate::command::table::TextTable;

/// The maximum number of seconds and tiers in the table; the calls of further ones are
/// left out.
const MAX_SECONDS: usize = 100_000;

/// The maximum number of accounts in one second of a tier.
const MAX_ACCOUNTS: usize = 10_000;

/// The reasons of refusals that are no matter of shares.
const OUTSIDE_SHARES: [&str; 2] = ["over-quota", "unknown-account"];

/// A `CallCount` is how many calls an account sent and how many were served.
#[derive(Clone, Copy, Debug, Default)]
struct CallCount {
    asked: f64,
    served: f64,
}

/// A `ShareSum` is what an account was served against its shares.
#[derive(Clone, Copy, Debug, Default)]
struct ShareSum {
    count: CallCount,
    share: f64,
    above_share: u64,
}

impl ShareSum {
    fn ratio(&self) -> f64 {
        match self.share > 0.0 {
            true => self.count.served / self.share,
            false => 1.0,
        }
    }
}

/// A `ShareTable` counts the calls of client accounts by second and tier.
#[derive(Debug, Default)]
pub(super) struct ShareTable {
    seconds: BTreeMap<(String, String), BTreeMap<String, CallCount>>,
    above_share: BTreeMap<(String, String), u64>,
}

impl ShareTable {
    /// Count a request that has ended.
    pub(super) fn add(&mut self, line: &LogLine, outcome: RequestOutcome) {
        let (account, reason) = (line.field("account"), line.field("reason"));
        if account.is_empty() || OUTSIDE_SHARES.contains(&reason) {
            return;
        }
        let tier = line.field("tier").to_owned();
        if reason == "above-share" {
            let key = (tier.clone(), account.to_owned());
            *self.above_share.entry(key).or_default() += 1;
        }
        let key = (line.second().to_owned(), tier);
        if self.seconds.len() >= MAX_SECONDS && !self.seconds.contains_key(&key) {
            return;
        }
        let accounts = self.seconds.entry(key).or_default();
        if accounts.len() >= MAX_ACCOUNTS && !accounts.contains_key(account) {
            return;
        }
        let count = accounts.entry(account.to_owned()).or_default();
        count.asked += 1.0;
        count.served += f64::from(u8::from(outcome != RequestOutcome::Untried));
    }

    /// Get the sums by tier and account.
    fn sums(&self) -> BTreeMap<(String, String), ShareSum> {
        let mut sums: BTreeMap<(String, String), ShareSum> = BTreeMap::new();
        for ((_, tier), accounts) in &self.seconds {
            let served = accounts.values().map(|count| count.served).sum();
            let demands = accounts.values().map(|count| WeightedDemand {
                demand: count.asked,
                weight: 1.0,
            });
            let level = water_level(served, demands.collect());
            for (account, count) in accounts {
                let key = (tier.clone(), account.clone());
                let sum = sums.entry(key).or_default();
                sum.count.asked += count.asked;
                sum.count.served += count.served;
                sum.share += count.asked.min(level);
            }
        }
        for (key, refused) in &self.above_share {
            sums.entry(key.clone()).or_default().above_share = *refused;
        }
        sums
    }

    /// Format the table as text.
    pub(super) fn text(&self) -> String {
        let head = [
            "tier",
            "account",
            "asked",
            "served",
            "share",
            "ratio",
            "above share",
        ];
        let mut table = TextTable::new(&head);
        for ((tier, account), sum) in self.sums() {
            table.add(vec![
                tier,
                account,
                format!("{:.0}", sum.count.asked),
                format!("{:.0}", sum.count.served),
                format!("{:.1}", sum.share),
                format!("{:.2}", sum.ratio()),
                sum.above_share.to_string(),
            ]);
        }
        table.to_string()
    }

    /// Convert the table to JSON.
    pub(super) fn json(&self) -> Value {
        let rows = self.sums().into_iter().map(|((tier, account), sum)| {
            json!({
                "tier": tier,
                "account": account,
                "asked": sum.count.asked,
                "served": sum.count.served,
                "share": sum.share,
                "ratio": sum.ratio(),
                "above_share": sum.above_share,
            })
        });
        Value::Array(rows.collect())
    }
}
