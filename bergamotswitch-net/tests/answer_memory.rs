//! Tests of the memory that long answers share while they are held back.

use bergamotswitch_net::target_client::answer_memory::{AnswerHold, AnswerMemory};
use bytes::Bytes;

const MIB: usize = 1 << 20;

fn memory(max_bytes: usize) -> AnswerMemory {
    let memory = AnswerMemory::default();
    memory.set_max_bytes(max_bytes);
    memory
}

/// Guards against answers without end that together take the host's memory.
#[test]
fn longest_given_up() {
    let memory = memory(8 * MIB);
    let mut endless: Vec<AnswerHold> = (0..10).map(|_| memory.hold()).collect();
    let (mut given_up, mut most) = (0, 0);
    for step in 1.. {
        let mut total = 0;
        endless.retain_mut(|answer| {
            let is_held = answer.resize(step * 100_000);
            given_up += usize::from(!is_held);
            total += usize::from(is_held) * step * 100_000;
            is_held
        });
        most = most.max(total);
        if given_up >= 9 {
            break;
        }
    }
    assert!(most <= 13 * MIB, "{most}");
    assert_eq!(endless.len(), 1);
}

/// Guards against short answers that are given up beside long ones.
#[test]
fn short_beside_long() {
    let memory = memory(8 * MIB);
    let mut long = memory.hold();
    assert!(long.resize(8 * MIB));
    for _ in 0..1_000 {
        assert!(memory.hold().resize(50_000));
    }
    let mut middle = memory.hold();
    assert!(middle.resize(MIB));
    assert!(!long.resize(9 * MIB));
}

/// Guards against memory that is released while an answer is still being read.
#[test]
fn kept_answer() {
    let memory = memory(2 * MIB);
    let mut first = memory.hold();
    assert!(first.resize(2 * MIB));
    let kept = first.keep(Bytes::from(vec![7; 2 * MIB]));
    let copy = kept.clone();
    drop(kept);
    let mut second = memory.hold();
    assert!(!second.resize(2 * MIB));
    assert_eq!(copy.len(), 2 * MIB);
    drop(copy);
    assert!(second.resize(2 * MIB + 1));
}
