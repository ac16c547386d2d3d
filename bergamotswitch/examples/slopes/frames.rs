//! Measures the bytes of the frames between hosts.

use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::link::{Heartbeat, LinkMessage};
use bergamotswitch_core::permit::{
    InFlightWork, OwnerMessage, OwnerReply, Permit, PermitId, Release, ReleaseOutcome, Usage,
};
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::revision::{Revision, RevisionMark, RevisionMessage};
use bergamotswitch_core::rules::Tier;
use bergamotswitch_net::link::codec::encoded_len;

use crate::sheet::{SlopeSheet, at_sizes};
use crate::world::{ask, attempt, claim, name, prefixes, run_of, shard};

/// Sequence numbers as after some days.
const LATE: u64 = 5_000_000;

fn len(message: &LinkMessage) -> f64 {
    encoded_len(message) as f64
}

fn to_owner(message: OwnerMessage) -> f64 {
    len(&LinkMessage::ToOwner(message))
}

fn from_owner(reply: OwnerReply) -> f64 {
    len(&LinkMessage::FromOwner(reply))
}

fn permit_id(sequence: u64) -> PermitId {
    PermitId {
        owner: Incarnation(run_of(2).incarnation.0),
        sequence: LATE + sequence,
    }
}

fn permit(sequence: u64) -> Permit {
    Permit {
        id: permit_id(sequence),
        attempt: attempt(run_of(1).incarnation, LATE + sequence),
        target: name("drafting-lm-412"),
        lifetime_ms: 2_000,
    }
}

fn held(sequence: u64) -> InFlightWork {
    let ask = ask(LATE + sequence, 17);
    InFlightWork {
        permit: permit_id(sequence),
        attempt: ask.attempt,
        target: name("drafting-lm-412"),
        tier: Tier(1),
        account: ask.account,
        share: 2,
        cost: ask.cost,
        preemptible: false,
    }
}

/// Measure.
pub fn measure(sheet: &SlopeSheet) {
    sheet.part("frames between hosts, bytes with the length");
    let home = || shard(Some("vantaa-hall"));
    let points = at_sizes(&[0, 4, 8, 16], |count| {
        let mut ask = ask(LATE, 17);
        ask.shard = home();
        ask.prefixes = prefixes(LATE, count);
        to_owner(OwnerMessage::PermitRequest(Box::new(ask)))
    });
    sheet.slope("ask, by prefix hashes", &points);
    let mut keyed = ask(LATE, 17);
    keyed.shard = home();
    keyed.claim = Some(claim(LATE));
    let keyed = to_owner(OwnerMessage::PermitRequest(Box::new(keyed)));
    sheet.figure("ask, 4 prefix hashes and a key", keyed);
    let granted = from_owner(OwnerReply::Granted {
        shard: home(),
        permit: permit(0),
    });
    sheet.figure("granted", granted);
    let usage = Usage {
        prefill: 1_000,
        cached: 500,
        decode: 424,
        first_token_ms: 700,
        elapsed_ms: 17_000,
    };
    let release = to_owner(OwnerMessage::Release {
        shard: home(),
        release: Release {
            permit: permit_id(0),
            attempt: permit(0).attempt,
            outcome: ReleaseOutcome::Finished(usage),
        },
    });
    sheet.figure("release", release);
    let refused = from_owner(OwnerReply::Refused {
        attempt: permit(0).attempt,
        reason: RefusalReason::Overloaded,
        retry_after_ms: 30_000,
    });
    sheet.figure("refused", refused);
    let beat = len(&LinkMessage::Heartbeat(Heartbeat {
        sequence: LATE,
        heard: LATE,
        stopping: false,
        load_permille: 700,
    }));
    sheet.figure("heartbeat", beat);
    let sizes = [1, 10, 100, 1_000];
    let points = at_sizes(&sizes, |count| {
        from_owner(OwnerReply::Audit {
            shard: home(),
            permits: (0..count as u64).map(permit_id).collect(),
        })
    });
    sheet.slope("audit, by permits", &points);
    let points = at_sizes(&sizes, |count| {
        to_owner(OwnerMessage::Resync {
            shard: home(),
            held: (0..count as u64).map(held).collect(),
            claims: Vec::new(),
        })
    });
    sheet.slope("retell, by requests in flight", &points);
    let points = at_sizes(&sizes, |count| {
        to_owner(OwnerMessage::Resync {
            shard: home(),
            held: Vec::new(),
            claims: (0..count as u64).map(claim).collect(),
        })
    });
    sheet.slope("retell, by keys", &points);
    let points = at_sizes(&[0, 1, 6], |count| {
        let mark = RevisionMark {
            name: name("accounts"),
            revision: Revision(300_000),
        };
        let marks = RevisionMessage::Marks(vec![mark; count]);
        len(&LinkMessage::Revision(marks))
    });
    sheet.slope("marks, by values", &points);
}
