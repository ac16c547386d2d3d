//! Tests whether large requests are served as the others of their kind while there is
//! not room for all.

mod owner_bench;
mod size_load;

use size_load::{SizeLoad, SizePlan, kinds, served};

/// How often the largest tenth of a kind and the fifth below it are served at least,
/// relative to the whole kind.
const LEAST_SERVED: f64 = 0.7;

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
fn check_sizes(plans: impl IntoIterator<Item = SizePlan>) {
    let mut short = Vec::new();
    for plan in plans {
        let seed = plan.seed;
        let load = SizeLoad::new(plan).run();
        for tier in 0..kinds().len() {
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
            if largest.min(next) < all * LEAST_SERVED {
                short.push((seed, tier));
            }
        }
    }
    assert!(short.is_empty(), "short: {short:?}");
}

// Guards against large requests that are refused again when they return in a burst.
#[test]
fn burst_sizes() {
    check_sizes((1..=3).map(burst));
}

// Guards against large requests that are refused at once while half of the targets are
// slow.
#[test]
fn slow_target_sizes() {
    check_sizes((1..=3).map(slow_targets));
}
