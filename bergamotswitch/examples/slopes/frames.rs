//! Measures the encoded size of the messages between hosts.

use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::link::{Heartbeat, LinkMessage};
use bergamotswitch_core::permit::{
    InFlightWork, OwnerMessage, OwnerReply, Permit, PermitId, Release, ReleaseOutcome, Usage,
};
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::revision::{Revision, RevisionMark, RevisionMessage};
use bergamotswitch_core::rules::Tier;
use bergamotswitch_core::stream_table::{StreamEntry, StreamId, StreamOrigin, VersionStreams};
use bergamotswitch_core::target::TargetVersion;
use bergamotswitch_net::link::codec::encoded_len;

use crate::fixtures::{ask, attempt, claim, incarnation_of, name, prefixes, shard};
use crate::report::{SlopeReport, measure_at_sizes};

/// The offset of sequence numbers, for the varint lengths of a host that has
/// been running for days.
const BASE_SEQUENCE: u64 = 5_000_000;

fn frame_len(message: &LinkMessage) -> f64 {
    encoded_len(message) as f64
}

fn to_owner_len(message: OwnerMessage) -> f64 {
    frame_len(&LinkMessage::ToOwner(message))
}

fn from_owner_len(reply: OwnerReply) -> f64 {
    frame_len(&LinkMessage::FromOwner(reply))
}

fn permit_id(sequence: u64) -> PermitId {
    PermitId {
        owner: Incarnation(incarnation_of(2).incarnation.0),
        sequence: BASE_SEQUENCE + sequence,
    }
}

fn permit(sequence: u64) -> Permit {
    Permit {
        id: permit_id(sequence),
        attempt: attempt(incarnation_of(1).incarnation, BASE_SEQUENCE + sequence),
        target: name("drafting-lm-412"),
        lifetime_ms: 2_000,
    }
}

fn stream_id(number: u64) -> StreamId {
    StreamId::new(&name("account-17"), &format!("{number:016x}"))
}

fn in_flight_work(sequence: u64) -> InFlightWork {
    let ask = ask(BASE_SEQUENCE + sequence, 17);
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

/// Measure the frame sizes.
pub fn measure(report: &SlopeReport) {
    report.section("frames between hosts, bytes including the length prefix");
    let domain_shard = || shard(Some("vantaa-hall"));
    let points = measure_at_sizes(&[0, 4, 8, 16], |count| {
        let mut ask = ask(BASE_SEQUENCE, 17);
        ask.shard = domain_shard();
        ask.prefixes = prefixes(BASE_SEQUENCE, count);
        to_owner_len(OwnerMessage::PermitRequest(Box::new(ask)))
    });
    report.slope("ask, by prefix hashes", &points);
    let mut keyed = ask(BASE_SEQUENCE, 17);
    keyed.shard = domain_shard();
    keyed.claim = Some(claim(BASE_SEQUENCE));
    let keyed = to_owner_len(OwnerMessage::PermitRequest(Box::new(keyed)));
    report.figure("ask, 4 prefix hashes and an idempotency key", keyed);
    let granted = from_owner_len(OwnerReply::Granted {
        shard: domain_shard(),
        permit: permit(0),
    });
    report.figure("granted", granted);
    let stream = to_owner_len(OwnerMessage::Stream {
        shard: domain_shard(),
        attempt: permit(0).attempt,
        origin: StreamOrigin::Unbegun(stream_id(0)),
    });
    report.figure("stream of the next ask", stream);
    let usage = Usage {
        prefill: 1_000,
        cached: 500,
        decode: 424,
        first_token_ms: 700,
        elapsed_ms: 17_000,
    };
    let release = to_owner_len(OwnerMessage::Release {
        shard: domain_shard(),
        release: Release {
            permit: permit_id(0),
            attempt: permit(0).attempt,
            outcome: ReleaseOutcome::Finished(usage),
        },
    });
    report.figure("release", release);
    let refused = from_owner_len(OwnerReply::Refused {
        attempt: permit(0).attempt,
        reason: RefusalReason::Overloaded,
        retry_after_ms: 30_000,
    });
    report.figure("refused", refused);
    let heartbeat = frame_len(&LinkMessage::Heartbeat(Heartbeat {
        sequence: BASE_SEQUENCE,
        heard: BASE_SEQUENCE,
        stopping: false,
        load_permille: 700,
    }));
    report.figure("heartbeat", heartbeat);
    let sizes = [1, 10, 100, 1_000];
    let points = measure_at_sizes(&sizes, |count| {
        from_owner_len(OwnerReply::Audit {
            shard: domain_shard(),
            permits: (0..count as u64).map(permit_id).collect(),
        })
    });
    report.slope("audit, by permits", &points);
    let points = measure_at_sizes(&sizes, |count| {
        to_owner_len(OwnerMessage::Resync {
            shard: domain_shard(),
            held: (0..count as u64).map(in_flight_work).collect(),
            claims: Vec::new(),
        })
    });
    report.slope("resync, by requests in flight", &points);
    let points = measure_at_sizes(&sizes, |count| {
        to_owner_len(OwnerMessage::Resync {
            shard: domain_shard(),
            held: Vec::new(),
            claims: (0..count as u64).map(claim).collect(),
        })
    });
    report.slope("resync, by idempotency keys", &points);
    let points = measure_at_sizes(&sizes, |count| {
        let entry = |number| StreamEntry {
            id: stream_id(number),
            is_begun: false,
            seconds_left: 75,
        };
        let streams = VersionStreams {
            version: Some(TargetVersion::from("v1.2")),
            seconds_left: 0,
            streams: (0..count as u64).map(entry).collect(),
        };
        to_owner_len(OwnerMessage::StreamVersions {
            shard: domain_shard(),
            streams: vec![streams],
        })
    });
    report.slope("copy of streams, by streams", &points);
    let points = measure_at_sizes(&[0, 1, 6], |count| {
        let mark = RevisionMark {
            name: name("accounts"),
            revision: Revision(300_000),
        };
        let marks = RevisionMessage::Marks(vec![mark; count]);
        frame_len(&LinkMessage::Revision(marks))
    });
    report.slope("revision marks, by values", &points);
}
