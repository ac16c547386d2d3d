//! Tests how the slots of an overloaded shard are divided among the tiers below the
//! top one.

mod burst_load;
mod owner_bench;

use burst_load::{BurstLoad, LoadPlan, RequestClass, TierCount};
use owner_bench::*;

/// The request rate, which exceeds the capacity by a third.
const PER_SECOND: u64 = 200;

fn class(
    weight: u64,
    prefill: u32,
    decode: u32,
    first_token_limit_ms: u32,
    deadline_ms: u32,
) -> RequestClass {
    RequestClass {
        weight,
        cost: cost_of(prefill, decode),
        first_token_limit_ms,
        deadline_ms,
    }
}

/// Run a load on nine targets of sixteen slots each. The top tier takes about half
/// of the slots, the middle tier could use more than the rest, and the lowest tier
/// needs few.
fn run(per_second: u64) -> Vec<TierCount> {
    let mut burst = BurstLoad::new(LoadPlan {
        signatures: false,
        targets: 9,
        slots: 16,
        per_second,
        duration: Duration::from_secs(14),
        classes: vec![
            class(2, 6_670, 380, 600, 15_000),
            class(4, 690, 290, 400, 12_000),
            class(4, 1_860, 25, 400, 3_000),
        ],
    });
    burst.run();
    burst.tiers
}

// Guards against starving the lowest tier under overload: the service ratio
// of a tier is at least a fraction of that of the tier above, except the top one.
#[test]
fn lowest_tier_served() {
    let tiers = run(PER_SECOND);
    let fractions: Vec<f64> = tiers.iter().map(TierCount::served_fraction).collect();
    println!("served {fractions:.2?}, {tiers:?}");
    // The top tier keeps its share.
    assert!(fractions[0] > 0.99, "{fractions:.2?}");
    assert!(fractions[2] > 0.35 * fractions[1], "{fractions:.2?}");
    assert!(fractions[1] > 0.6, "{fractions:.2?}");
}
