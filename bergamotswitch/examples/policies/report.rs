//! Provides the metrics of a simulation run and prints them as tables.

use std::collections::BTreeMap;

use bergamotswitch_core::pool::PoolKind;

use crate::simulation::RunRecord;
use crate::traffic::TestScenario;

/// The tier of the requests that one account sends in excess.
const CONTENDED_TIER: u8 = 1;

/// A `TierMetrics` is the metrics of the requests of one tier.
#[derive(Clone, Debug, Default)]
pub struct TierMetrics {
    pub offered: usize,
    /// Requests that were answered before their deadline.
    pub good: usize,
    first_token_micros: Vec<u64>,
}

impl TierMetrics {
    pub fn goodput(&self) -> f64 {
        100.0 * self.good as f64 / self.offered.max(1) as f64
    }

    /// Get a quantile of the time to first token in seconds, among the requests
    /// that got one.
    pub fn time_to_first_token(&self, quantile: f64) -> f64 {
        if self.first_token_micros.is_empty() {
            return f64::NAN;
        }
        let at = ((self.first_token_micros.len() as f64 * quantile).ceil() as usize)
            .clamp(1, self.first_token_micros.len());
        self.first_token_micros[at - 1] as f64 / 1e6
    }
}

/// A `RunMetrics` is the metrics of one run.
pub struct RunMetrics {
    /// The requests to engines, by tier.
    pub tiers: BTreeMap<u8, TierMetrics>,
    /// The requests to plain services.
    pub plain: TierMetrics,
    /// Prompt tokens processed that didn't contribute to an answer in time.
    pub wasted: u64,
    /// All prompt tokens processed.
    pub prefilled: u64,
    /// Jain's fairness index of the client accounts in the contended tier: their
    /// goodput in tokens relative to their weighted max-min fair share.
    pub fairness: f64,
    /// The time from the owner's failure to the next top-tier dispatch, in
    /// seconds.
    pub stall: Option<f64>,
    /// Top-tier requests lost with the entry host that failed.
    pub lost_top_tier: usize,
}

impl RunMetrics {
    pub fn of(record: &RunRecord, scenario: &TestScenario) -> Self {
        let mut tiers: BTreeMap<u8, TierMetrics> = BTreeMap::new();
        let mut plain = TierMetrics::default();
        let (mut wasted, mut prefilled, mut lost_top_tier) = (0, 0, 0);
        for (request, outcome) in record.offered.iter().zip(&record.outcomes) {
            let tier = request.submission.verdict.tier.0;
            let metrics = match request.submission.kind {
                PoolKind::Engine => tiers.entry(tier).or_default(),
                PoolKind::Plain => &mut plain,
            };
            metrics.offered += 1;
            let good = outcome.answered_at.is_some_and(|at| at <= request.deadline);
            metrics.good += usize::from(good);
            if let Some(at) = outcome.first_token {
                metrics.first_token_micros.push(at - request.at);
            }
            prefilled += outcome.prefilled;
            wasted += outcome.prefilled - if good { outcome.useful } else { 0 };
            let on_dead_host =
                record.dead_host == Some(request.host) && request.at <= record.killed_at;
            lost_top_tier +=
                usize::from(on_dead_host && tier == 0 && outcome.answered_at.is_none());
        }
        for metrics in tiers.values_mut() {
            metrics.first_token_micros.sort_unstable();
        }
        let resumed_at = record.top_tier_resumed_at;
        RunMetrics {
            fairness: fairness(record, CONTENDED_TIER, scenario),
            tiers,
            plain,
            wasted,
            prefilled,
            stall: resumed_at.map(|at| (at - record.killed_at) as f64 / 1e6),
            lost_top_tier,
        }
    }
}

#[derive(Clone, Copy, Default)]
struct AccountTokens {
    share: f64,
    offered: f64,
    good: f64,
}

/// Get Jain's fairness index of the client accounts in the middle phase, from
/// the ratio of their goodput to its weighted max-min fair allocation.
fn fairness(record: &RunRecord, tier: u8, scenario: &TestScenario) -> f64 {
    let (from, until) = scenario.middle();
    let mut accounts: BTreeMap<&str, AccountTokens> = BTreeMap::new();
    for (request, outcome) in record.offered.iter().zip(&record.outcomes) {
        let verdict = &request.submission.verdict;
        let plain = request.submission.kind == PoolKind::Plain;
        if plain || verdict.tier.0 != tier || request.at < from || request.at >= until {
            continue;
        }
        let tokens = request.submission.cost.total() as f64;
        let account = accounts
            .entry(request.submission.account.as_str())
            .or_default();
        account.share = f64::from(verdict.share);
        account.offered += tokens;
        let good = outcome
            .answered_at
            .is_some_and(|at| at <= request.deadline.min(until));
        account.good += if good { tokens } else { 0.0 };
    }
    let accounts: Vec<AccountTokens> = accounts.into_values().collect();
    let allocations = max_min_allocation(&accounts);
    let ratios: Vec<f64> = accounts
        .iter()
        .zip(&allocations)
        .map(|(account, allocation)| account.good / allocation.max(1.0))
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (ratios.len() as f64 * squares)
}

/// Get the weighted max-min fair allocation of the total goodput, bounded by
/// the demand of each client account.
fn max_min_allocation(accounts: &[AccountTokens]) -> Vec<f64> {
    let mut remaining: f64 = accounts.iter().map(|account| account.good).sum();
    let mut allocations = vec![0.0; accounts.len()];
    let mut unsatisfied: Vec<usize> = (0..accounts.len()).collect();
    while !unsatisfied.is_empty() && remaining > 1.0 {
        let shares: f64 = unsatisfied.iter().map(|i| accounts[*i].share).sum();
        let unit = remaining / shares;
        let fits_demand =
            |i: &usize| accounts[*i].offered - allocations[*i] <= unit * accounts[*i].share;
        let satisfied: Vec<usize> = unsatisfied.iter().copied().filter(fits_demand).collect();
        if satisfied.is_empty() {
            for i in &unsatisfied {
                allocations[*i] += unit * accounts[*i].share;
            }
            return allocations;
        }
        for i in &satisfied {
            remaining -= accounts[*i].offered - allocations[*i];
            allocations[*i] = accounts[*i].offered;
        }
        unsatisfied.retain(|i| !satisfied.contains(i));
    }
    allocations
}

/// Print the table of one scenario.
pub fn print_table(title: &str, rows: &[(String, RunMetrics)]) {
    println!("\n### {title}\n");
    let Some((_, first)) = rows.first() else {
        return;
    };
    let tiers: Vec<u8> = first.tiers.keys().copied().collect();
    let goodput: Vec<String> = tiers.iter().map(|t| format!("good t{t} %")).collect();
    let owner_died = first.stall.is_some();
    print!(
        "| policy | {} | plain % | wasted ktok | wasted % | TTFT s p50/p95/p99 t{}",
        goodput.join(" | "),
        tiers[0]
    );
    for tier in &tiers[1..] {
        print!(" | t{tier}");
    }
    println!(
        " | Jain t1 |{}",
        if owner_died {
            " stall s | lost t0 |"
        } else {
            ""
        }
    );
    let columns = 2 + tiers.len() * 2 + 3 + if owner_died { 2 } else { 0 };
    println!("|{}", "---|".repeat(columns));
    for (policy, run) in rows {
        print!("| {policy}");
        for metrics in run.tiers.values() {
            print!(" | {:.2}", metrics.goodput());
        }
        print!(" | {:.2}", run.plain.goodput());
        let wasted_percent = 100.0 * run.wasted as f64 / run.prefilled.max(1) as f64;
        print!(" | {} | {wasted_percent:.2}", run.wasted / 1000);
        for tier in run.tiers.values() {
            print!(
                " | {:.2}/{:.2}/{:.2}",
                tier.time_to_first_token(0.5),
                tier.time_to_first_token(0.95),
                tier.time_to_first_token(0.99)
            );
        }
        print!(" | {:.3} |", run.fairness);
        if let Some(stall) = run.stall {
            print!(" {stall:.2} | {} |", run.lost_top_tier);
        }
        println!();
    }
}
