//! Tests how the slots of an overloaded shard are divided among the tiers below the
//! top one.

mod burst_load;
mod owner_bench;

use burst_load::{BurstLoad, LoadPlan, TierCount, WorkKind};
use owner_bench::*;

/// The request rate, which exceeds the capacity by a third.
const PER_SECOND: u64 = 200;

fn kind(often: u64, prefill: u32, decode: u32, aim_ms: u32, deadline_ms: u32) -> WorkKind {
    WorkKind {
        often,
        cost: cost_of(prefill, decode),
        aim_ms,
        deadline_ms,
    }
}

/// Run a load on nine targets of sixteen slots each. The top tier takes about half
/// of the slots, the middle tier could use more than the rest, and the lowest tier
/// needs few.
fn play(per_second: u64) -> Vec<TierCount> {
    let mut burst = BurstLoad::new(LoadPlan {
        targets: 9,
        slots: 16,
        per_second,
        length: Duration::from_secs(14),
        kinds: vec![
            kind(2, 6_670, 380, 600, 15_000),
            kind(4, 690, 290, 400, 12_000),
            kind(4, 1_860, 25, 400, 3_000),
        ],
    });
    burst.play();
    burst.tiers
}

// Guards against starving the lowest tier under overload: the service ratio
// of a tier is at least a fraction of that of the tier above, except the top one.
#[test]
fn last_tier() {
    let tiers = play(PER_SECOND);
    let parts: Vec<f64> = tiers.iter().map(TierCount::served_part).collect();
    println!("served {parts:.2?}, {tiers:?}");
    // The top tier keeps its share.
    assert!(parts[0] > 0.99, "{parts:.2?}");
    assert!(parts[2] > 0.35 * parts[1], "{parts:.2?}");
    assert!(parts[1] > 0.6, "{parts:.2?}");
}
