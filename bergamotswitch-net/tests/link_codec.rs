//! Tests of the frame encoding of links.

use bergamotswitch_core::call_signature::CallSignature;
use bergamotswitch_core::host::{HostIncarnation, Incarnation};
use bergamotswitch_core::link::{Heartbeat, LinkMessage, MAX_MESSAGE_LEN, ShardTerm};
use bergamotswitch_core::permit::{
    BrittleTarget, FailedTarget, KeyClaim, LeavingTarget, OwnerMessage, OwnerReply, Permit,
    PermitId, PermitRequest, QuotaLevel, Release, ReleaseOutcome, TargetLimit, TargetPace, Usage,
};
use bergamotswitch_core::pool::PoolShard;
use bergamotswitch_core::quarantine::{BrokenRun, CrashReport};
use bergamotswitch_core::request::{AttemptId, PrefixHash, RequestId, TokenCost};
use bergamotswitch_core::revision::{PublishedValue, Revision, RevisionMark, RevisionMessage};
use bergamotswitch_core::rules::Tier;
use bergamotswitch_core::target::{MomentaryPace, RequestRate};
use bergamotswitch_net::link::codec::{self, CodecError, FrameReader, LENGTH_BYTES};

fn heartbeat(sequence: u64) -> LinkMessage {
    LinkMessage::Heartbeat(Heartbeat {
        sequence,
        heard: sequence.saturating_sub(1),
        stopping: false,
        load_permille: 420,
    })
}

fn value_message(len: usize) -> LinkMessage {
    LinkMessage::Revision(RevisionMessage::Whole(PublishedValue {
        name: "rules".try_into().unwrap(),
        revision: Revision(3),
        body: "x".repeat(len),
    }))
}

fn attempt() -> AttemptId {
    AttemptId {
        request: RequestId {
            incarnation: Incarnation(u128::MAX / 3),
            sequence: 1_234_567,
        },
        attempt: 0,
    }
}

fn shard() -> PoolShard {
    PoolShard {
        pool: "bolido-llm".try_into().unwrap(),
        domain: None,
    }
}

fn permit_id() -> PermitId {
    PermitId {
        owner: Incarnation(u128::MAX / 5),
        sequence: 7_654_321,
    }
}

fn ask(prefixes: u64, claim: bool) -> LinkMessage {
    let claim = claim.then(|| KeyClaim {
        key: u128::MAX / 7,
        holder: HostIncarnation {
            host: "entry-mza-norte-1".try_into().unwrap(),
            incarnation: Incarnation(u128::MAX / 3),
        },
        resubmission: false,
    });
    LinkMessage::ToOwner(OwnerMessage::PermitRequest(Box::new(PermitRequest {
        quota_units: 0,
        first_answer_ms: None,
        attempt: attempt(),
        shard: shard(),
        tier: Tier(0),
        account: "equipo-recuperacion".try_into().unwrap(),
        share: 4,
        cost: TokenCost {
            prefill: 6_000,
            decode: 800,
        },
        prefixes: (0..prefixes).map(|n| PrefixHash(u64::MAX - n)).collect(),
        deadline_ms: 30_000,
        waited_ms: 12,
        domains: vec!["mza-norte".try_into().unwrap()],
        avoid: Vec::new(),
        preemptible: false,
        claim,
    })))
}

fn granted() -> LinkMessage {
    LinkMessage::FromOwner(OwnerReply::Granted {
        shard: shard(),
        permit: Permit {
            id: permit_id(),
            attempt: attempt(),
            target: "bolido-llm-mza-norte-07".try_into().unwrap(),
            lifetime_ms: 500,
        },
    })
}

fn release() -> LinkMessage {
    LinkMessage::ToOwner(OwnerMessage::Release {
        shard: shard(),
        release: Release {
            permit: permit_id(),
            attempt: attempt(),
            outcome: ReleaseOutcome::Finished(Usage {
                prefill: 6_000,
                cached: 4_096,
                decode: 812,
                first_token_ms: 640,
                elapsed_ms: 21_000,
            }),
        },
    })
}

fn marks() -> LinkMessage {
    let names = ["rules", "accounts", "pools", "domains", "limits", "hosts"];
    let mark = |name: &str| RevisionMark {
        name: name.try_into().unwrap(),
        revision: Revision(98_765),
    };
    LinkMessage::Revision(RevisionMessage::Marks(names.map(mark).to_vec()))
}

fn quota_levels() -> LinkMessage {
    let level = QuotaLevel {
        account: "equipo-recuperacion".try_into().unwrap(),
        units: 272_162,
    };
    LinkMessage::ToOwner(OwnerMessage::QuotaLevels {
        shard: shard(),
        levels: vec![level],
    })
}

fn failed_targets() -> LinkMessage {
    let failed = FailedTarget {
        target: "bolido-llm-7".try_into().unwrap(),
        started_at_ms: Some(1_796_000_000_000),
        probe_in_ms: 4_000,
    };
    LinkMessage::ToOwner(OwnerMessage::FailedTargets {
        shard: shard(),
        targets: vec![failed],
    })
}

fn quota_use() -> LinkMessage {
    let used = QuotaLevel {
        account: "equipo-recuperacion".try_into().unwrap(),
        units: 81_250,
    };
    LinkMessage::ToOwner(OwnerMessage::QuotaUse {
        shard: shard(),
        hosts: 195,
        used: vec![used],
    })
}

fn target_limits() -> LinkMessage {
    let limit = TargetLimit {
        target: "bolido-llm-7".try_into().unwrap(),
        rate: RequestRate::try_from(3.9).unwrap(),
        age_ms: 40,
    };
    LinkMessage::ToOwner(OwnerMessage::TargetLimits {
        shard: shard(),
        hosts: 195,
        permit: None,
        limits: vec![limit],
    })
}

fn leaving_targets() -> LinkMessage {
    let leaving = LeavingTarget {
        target: "bolido-llm-7".try_into().unwrap(),
        started_at_ms: Some(1_780_000_000_000),
    };
    LinkMessage::ToOwner(OwnerMessage::LeavingTargets {
        shard: shard(),
        targets: vec![leaving],
    })
}

fn brittle_targets() -> LinkMessage {
    let brittle = BrittleTarget {
        target: "bolido-llm-7".try_into().unwrap(),
        refusals_per_second: Some(3),
    };
    LinkMessage::ToOwner(OwnerMessage::BrittleTargets {
        shard: shard(),
        targets: vec![brittle],
    })
}

fn target_paces() -> LinkMessage {
    let pace = TargetPace {
        target: "bolido-llm-7".try_into().unwrap(),
        pace: MomentaryPace::try_from(250).unwrap(),
        age_ms: 0,
    };
    LinkMessage::ToOwner(OwnerMessage::TargetPaces {
        shard: shard(),
        targets: vec![pace],
    })
}

fn crashes() -> LinkMessage {
    let run = BrokenRun {
        run: 81_250,
        target: "bolido-llm-7".try_into().unwrap(),
        age_ms: 120,
    };
    LinkMessage::Crashes(vec![CrashReport {
        suspect: CallSignature::new(&"equipo".try_into().unwrap(), 272_162).into(),
        runs: vec![run],
        answered_ms_ago: None,
        tried_ms_ago: Some(4_000),
    }])
}

fn keys() -> LinkMessage {
    LinkMessage::ToOwner(OwnerMessage::Keys {
        shard: shard(),
        claims: vec![KeyClaim {
            key: 7,
            holder: HostIncarnation {
                host: "mza-sur-1".try_into().unwrap(),
                incarnation: Incarnation(5),
            },
            resubmission: false,
        }],
    })
}

fn ownership() -> LinkMessage {
    LinkMessage::Ownership(vec![ShardTerm {
        shard: shard(),
        term: 3,
    }])
}

#[test]
fn frame_round_trip() {
    let messages = [
        heartbeat(9),
        ask(16, true),
        granted(),
        release(),
        marks(),
        quota_levels(),
        failed_targets(),
        quota_use(),
        crashes(),
        target_limits(),
        leaving_targets(),
        brittle_targets(),
        target_paces(),
        ownership(),
        keys(),
    ];
    for message in messages {
        let frame = codec::encode(&message).unwrap();
        assert_eq!(frame.len(), codec::encoded_len(&message));
        let mut reader = FrameReader::default();
        reader.push(&frame);
        let received = reader.next_frame().unwrap().unwrap();
        assert_eq!(received.message, message);
        assert_eq!(received.len, frame.len());
        assert_eq!(reader.next_frame(), Ok(None));
    }
}

#[test]
fn wire_sizes() {
    // Guards against changes that enlarge frequent messages, whose size limits how
    // many requests the control traffic of a host can serve.
    let sizes = [
        ("heartbeat", codec::encoded_len(&heartbeat(100_000)), 24),
        ("ask, no prefixes", codec::encoded_len(&ask(0, false)), 96),
        ("ask, 16 prefixes", codec::encoded_len(&ask(16, false)), 240),
        ("ask, 16 and claim", codec::encoded_len(&ask(16, true)), 296),
        ("granted", codec::encoded_len(&granted()), 96),
        ("release", codec::encoded_len(&release()), 88),
        ("marks of 6 values", codec::encoded_len(&marks()), 80),
        ("target pace", codec::encoded_len(&target_paces()), 40),
    ];
    for (name, len, bound) in sizes {
        println!("{name}: {len} bytes a frame");
        assert!((LENGTH_BYTES + 1..=bound).contains(&len), "{name}: {len}");
    }
}

#[test]
fn long_message_refused() {
    // Guards against memory exhaustion by a length prefix of up to 4 GB. The highest
    // bit of the prefix marks a compressed message.
    for prefix in [u32::MAX, u32::MAX >> 1] {
        let mut reader = FrameReader::default();
        reader.push(&prefix.to_be_bytes());
        let expected = CodecError::TooLong((u32::MAX >> 1) as usize);
        assert_eq!(reader.next_frame(), Err(expected));
    }

    let text = MAX_MESSAGE_LEN + 1;
    assert!(
        matches!(codec::encode(&value_message(text)), Err(CodecError::TooLong(len)) if len > text)
    );
    let fitting = codec::encode(&value_message(MAX_MESSAGE_LEN - 64)).unwrap();
    let mut reader = FrameReader::default();
    reader.push(&fitting);
    assert!(reader.next_frame().unwrap().is_some());
}

fn read_body(body: &[u8]) -> Result<Option<codec::ReceivedFrame>, CodecError> {
    let mut reader = FrameReader::default();
    reader.push(&(body.len() as u32).to_be_bytes());
    reader.push(body);
    reader.next_frame()
}

#[test]
fn invalid_bytes_refused() {
    // Guards against wrong decoding of messages from a peer with another message
    // layout, which could grant a permit that was never requested.
    let unknown_variant = read_body(&[200, 0, 0]);
    assert!(matches!(unknown_variant, Err(CodecError::Malformed(_))));
    let empty = read_body(&[]);
    assert!(matches!(empty, Err(CodecError::Malformed(_))));

    let mut longer = codec::encode(&heartbeat(1)).unwrap()[LENGTH_BYTES..].to_vec();
    longer.extend([0, 0, 0]);
    assert_eq!(read_body(&longer), Err(CodecError::TrailingBytes(3)));

    // A name with invalid characters is refused, too.
    let mut frame = codec::encode(&value_message(1)).unwrap()[LENGTH_BYTES..].to_vec();
    let at = frame.windows(5).position(|w| w == b"rules").unwrap();
    frame[at] = b'/';
    assert!(matches!(read_body(&frame), Err(CodecError::Malformed(_))));
}

#[test]
fn inflated_length() {
    // Guards against memory exhaustion by a short frame that declares a list of 2^60
    // elements.
    let body = [3, 0, 253, 0, 0, 0, 0, 0, 0, 0, 16];
    assert!(matches!(read_body(&body), Err(CodecError::Malformed(_))));
}

#[test]
fn arbitrary_chunks() {
    bergamotswitch_draw::for_each::<(Vec<u64>, Vec<u8>)>(500, |(sequences, cuts)| {
        let sent: Vec<LinkMessage> = sequences.iter().map(|s| heartbeat(*s)).collect();
        let mut stream = Vec::new();
        for message in &sent {
            stream.extend_from_slice(&codec::encode(message).unwrap());
        }
        let mut rest = stream.as_slice();
        let mut reader = FrameReader::default();
        let mut received = Vec::new();
        let cuts = cuts.iter().map(|cut| usize::from(*cut));
        for cut in cuts.chain([usize::MAX]) {
            let (chunk, remaining) = rest.split_at(cut.min(rest.len()));
            rest = remaining;
            reader.push(chunk);
            while let Some(frame) = reader.next_frame().unwrap() {
                received.push(frame.message);
            }
        }
        assert_eq!(received, sent);
    });
}

#[test]
fn arbitrary_bytes() {
    bergamotswitch_draw::for_each::<Vec<u8>>(2_000, |body| {
        // A decoded message uses all bytes, so encoding it again is not longer.
        if let Ok(Some(frame)) = read_body(body) {
            assert!(codec::encoded_len(&frame.message) <= frame.len);
        }
    });
}

/// Get a message with a published list of `count` targets.
fn target_list(count: u32) -> LinkMessage {
    let entries: Vec<String> = (0..count)
        .map(|number| {
            let mark = number.wrapping_mul(0x9e37_79b9);
            format!(
                r#"{{"name":"i-{mark:08x}","pool":"bolido-llm","domain":"mza-norte","address":"10.{}.{}.{}:8089","slots":11,"standing":"live","warming_ms":0}}"#,
                mark % 3,
                number / 200,
                number % 200
            )
        })
        .collect();
    LinkMessage::Revision(RevisionMessage::Whole(PublishedValue {
        name: "targets".try_into().unwrap(),
        revision: Revision(3),
        body: format!(r#"{{"targets":[{}]}}"#, entries.join(",")),
    }))
}

// Guards against saturated links when all hosts of a large fleet start and receive
// the target list: published values must be sent compressed.
#[test]
fn compressed_values() {
    let message = target_list(3_000);
    let plain = codec::encode(&message).unwrap();
    let compressed = codec::encode_compressed(&message).unwrap();
    println!("{} bytes, compressed {}", plain.len(), compressed.len());
    assert!(compressed.len() * 5 < plain.len(), "{}", compressed.len());
    let mut reader = FrameReader::default();
    reader.push(&compressed);
    reader.push(&codec::encode(&heartbeat(1)).unwrap());
    let frame = reader.next_frame().unwrap().unwrap();
    assert_eq!(frame.message, message);
    assert_eq!(frame.len, compressed.len());
    let frame = reader.next_frame().unwrap().unwrap();
    assert_eq!(frame.message, heartbeat(1));
}

#[test]
fn short_value_uncompressed() {
    let message = value_message(100);
    let plain = codec::encode(&message).unwrap();
    assert_eq!(codec::encode_compressed(&message).unwrap(), plain);
}

// Guards against memory exhaustion by a small compressed message that expands beyond
// the maximum message size.
#[test]
fn bounded_expansion() {
    use flate2::Compression;
    use flate2::write::DeflateEncoder;
    use std::io::Write;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(&vec![b'x'; 4 * MAX_MESSAGE_LEN]).unwrap();
    let compressed = encoder.finish().unwrap();
    let mut reader = FrameReader::default();
    reader.push(&(compressed.len() as u32 | 1 << 31).to_be_bytes());
    reader.push(&compressed);
    let refused = reader.next_frame();
    assert!(
        matches!(refused, Err(CodecError::TooLong(_))),
        "{refused:?}"
    );
}
