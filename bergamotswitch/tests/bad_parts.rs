//! Tests of targets that crash when they begin an answer to a prompt with one part, at real
//! hosts.

mod users;

use std::time::{Duration, Instant};

use http::StatusCode;
use users::{Call, Site, SiteOptions};

const BAD: &str = "bad0bad0";

/// How long a target is down after a crash.
const DOWN: Duration = Duration::from_millis(1_500);

/// The time after the fifth crash from which three arrivals are allowed.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;

/// How long requests are sent, and the interval between two of them.
const SPAN: Duration = Duration::from_secs(16);
const INTERVAL: Duration = Duration::from_millis(50);

/// One in this many requests has the bad part.
const BAD_EVERY: usize = 4;

/// The answer to a request without the bad part, and when it was sent.
struct SoundAnswer {
    sent_at: Instant,
    is_whole: bool,
}

async fn site() -> Site {
    Site::start_with(SiteOptions {
        hosts: 3,
        engine_versions: vec!["v1"; 8],
        ..SiteOptions::default()
    })
    .await
}

fn request(number: usize, parts: &str) -> Call {
    Call::stream(&format!("/draft/{number}"), &format!("r-{number}"))
        .with("prompt-prefix", &format!("{parts},{number:x}:20"))
        .body(&format!("prompt {number}"))
}

/// Send requests to the hosts by turns, some of them with the bad part.
async fn send_all(site: &Site) -> Vec<SoundAnswer> {
    let end = Instant::now() + SPAN;
    let mut sound = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let address = site.hosts[number % site.hosts.len()].callers;
        let sent_at = Instant::now();
        if number.is_multiple_of(BAD_EVERY) {
            let call = request(number, &format!("c0:60,{BAD}:100"));
            tokio::spawn(call.send(address));
        } else {
            let call = request(number, &format!("c0:60,5{:x}:100", number % 7));
            let answer = tokio::spawn(call.send(address));
            sound.push((sent_at, answer));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    let mut answers = Vec::new();
    for (sent_at, answer) in sound {
        let answer = answer.await.expect("a task");
        let is_whole = answer.is_ok_and(|answer| answer.status == StatusCode::OK && answer.whole);
        answers.push(SoundAnswer { sent_at, is_whole });
    }
    answers
}

fn whole_share(answers: &[SoundAnswer], from: Instant) -> f64 {
    let later = answers.iter().filter(|answer| answer.sent_at >= from);
    let whole = later.clone().filter(|answer| answer.is_whole).count();
    whole as f64 / later.count().max(1) as f64
}

/// Guards against a part of a prompt that crashes one target after the other, and against
/// sound requests that are not served again once it is refused.
#[tokio::test]
async fn contained_part() {
    let site = site().await;
    for engine in &site.engines {
        engine.set_fatal_part(BAD, DOWN);
    }
    let answers = send_all(&site).await;
    let crashes = site.engines.iter().flat_map(|engine| engine.crashes());
    let mut crashes: Vec<Instant> = crashes.collect();
    crashes.sort();
    let fifth = *crashes.get(4).or(crashes.last()).expect("a crash");
    let calls = site.engines.iter().flat_map(|engine| engine.calls());
    let late = calls.filter(|call| {
        call.field("prompt-prefix").contains(BAD) && call.received_at > fifth + CONTACT
    });
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} late, {} crashes", crashes.len());
    let share = whole_share(&answers, fifth + 2 * CONTACT);
    assert!(share >= 0.5, "{share:.2} of the sound requests answered");
}

/// Guards against sound requests that are refused after targets have crashed for other
/// reasons.
#[tokio::test]
async fn other_crashes() {
    let site = site().await;
    let crash_all = async {
        for round in 0..15 {
            tokio::time::sleep(Duration::from_millis(333)).await;
            site.engines[round * 3 % 8].crash(DOWN);
        }
        Instant::now()
    };
    let (answers, last) = tokio::join!(send_all(&site), crash_all);
    let share = whole_share(&answers, last + CONTACT);
    assert!(share >= 0.95, "{share:.2} of the sound requests answered");
}
