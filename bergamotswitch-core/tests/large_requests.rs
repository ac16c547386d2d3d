//! Tests whether large requests are served as the others of their kind while there is
//! not room for all.

mod owner_bench;
mod size_load;

use std::ops::Range;

use size_load::{SizeLoad, SizePlan, served};

/// How often the largest tenth of a kind and the fifth below it are to be served at
/// least, relative to the whole kind.
const AIM: f64 = 0.7;

/// How often they have to be served at least by the users' rule.
const RULE: f64 = 0.5;

/// All tiers, and those above the lowest one, which takes what the others leave.
const ALL: Range<usize> = 0..3;
const UPPER: Range<usize> = 0..2;

/// The part of the room that refused callers are promised.
const RETURN_ROOM: f64 = 0.4;

fn burst(seed: u64) -> SizePlan {
    SizePlan {
        seed,
        end_ms: 30_000,
        bursts: vec![(5_000..10_000, [2.2; 3]), (14_000..22_000, [1.5, 4.0, 1.5])],
        slow: 0..0,
        return_room: Some(RETURN_ROOM),
    }
}

fn slow_targets(seed: u64) -> SizePlan {
    SizePlan {
        seed,
        end_ms: 24_000,
        bursts: vec![(6_000..24_000, [1.25; 3])],
        slow: 6_000..24_000,
        return_room: Some(RETURN_ROOM),
    }
}

/// Check that no kind's larger requests are served much less than the kind.
fn check_sizes(plans: impl IntoIterator<Item = SizePlan>, tiers: Range<usize>, least: f64) {
    let mut short = Vec::new();
    for plan in plans {
        let seed = plan.seed;
        let load = SizeLoad::new(plan).run();
        for tier in tiers.clone() {
            let calls = load.by_size(tier);
            let tenth = calls.len() / 10;
            let (all, largest, next) = (
                served(&calls),
                served(&calls[..tenth]),
                served(&calls[tenth..tenth * 3]),
            );
            let earned = load.earned(tier);
            println!(
                "seed {seed}, tier {tier}: {all:.2} served, {largest:.2} of the largest tenth, \
                 {next:.2} of the fifth below it; {earned:.2} earned"
            );
            if largest.min(next) < all * least {
                short.push((seed, tier));
            }
        }
    }
    assert!(short.is_empty(), "short: {short:?}");
}

// Guards against large requests that are refused again when they return in a burst.
#[test]
fn burst_sizes() {
    check_sizes((1..=3).map(burst), ALL, AIM);
}

// Guards against large requests that are refused at once while half of the targets are
// slow.
#[test]
fn slow_target_sizes() {
    check_sizes((1..=3).map(slow_targets), ALL, AIM);
}

// Guards against large requests that are starved in a burst.
#[test]
fn burst_half() {
    check_sizes((1..=3).map(burst), ALL, RULE);
}

// Guards against large requests that are starved while half of the targets are slow.
#[test]
fn slow_target_half() {
    check_sizes((1..=3).map(slow_targets), ALL, RULE);
}

// Guards against large requests of the upper tiers that are judged by the mean target while
// half of the targets are slow.
#[test]
fn slow_target_upper() {
    check_sizes((1..=3).map(slow_targets), UPPER, RULE);
}
