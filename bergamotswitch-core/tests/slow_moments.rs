//! Tests of an owner whose targets are slow for moments and report it in their answers.

mod owner_bench;
mod pace_load;

use bergamotswitch_core::permit::TargetPace;
use bergamotswitch_core::pool_owner::SchedulingOptions;
use bergamotswitch_core::pool_owner::slow_moments::SlowMoments;
use bergamotswitch_core::target::MomentaryPace;
use owner_bench::*;
use pace_load::answers_on_time;

const PRIOR: Duration = Duration::from_millis(400);

fn pace(hundredths: u32) -> MomentaryPace {
    MomentaryPace::try_from(hundredths).expect("a pace")
}

fn options(is_used: bool) -> OwnerOptions {
    OwnerOptions::default().with_scheduling(SchedulingOptions {
        slow_moment: is_used.then_some(PRIOR),
        ..SchedulingOptions::default()
    })
}

/// Start an owner of targets with four slots whose runs take so long as usual.
fn bench(opts: OwnerOptions, run_ms: &[(&str, u32)]) -> OwnerBench {
    let targets: Vec<PoolTarget> = run_ms
        .iter()
        .map(|(name, _)| PoolTarget {
            slots: Some(4),
            ..target(name, "d", 100_000)
        })
        .collect();
    let mut bench = OwnerBench::with_targets(opts, &targets);
    let mut number = 1_000;
    while run_ms
        .iter()
        .any(|(name, _)| bench.target_view(name).run_ms == 0)
    {
        let permits = run_ms.iter().map(|_| {
            number += 1;
            bench.granted(&call(number))
        });
        for permit in permits.collect::<Vec<_>>() {
            finish(&mut bench, &permit, run_of(run_ms, &permit));
        }
    }
    bench
}

fn run_of(run_ms: &[(&str, u32)], permit: &Permit) -> u32 {
    let of_target = run_ms
        .iter()
        .find(|(name, _)| *name == permit.target.as_str());
    of_target.expect("a known target").1
}

fn call(number: u64) -> PermitRequest {
    let mut call = permit_request(number, 1, "a");
    call.first_answer_ms = Some(5_000);
    call
}

fn finish(bench: &mut OwnerBench, permit: &Permit, run_ms: u32) -> Vec<OwnerAction> {
    bench.now = bench.now.plus(Duration::from_millis(run_ms.into()));
    bench.release(
        permit,
        ReleaseOutcome::Finished(usage(cost_of(50, 50), run_ms)),
    )
}

fn report(bench: &mut OwnerBench, target: &str, hundredths: u32, age_ms: u32) {
    let report = TargetPace {
        target: named(target),
        pace: pace(hundredths),
        age_ms,
    };
    bench.message(OwnerMessage::TargetPaces {
        shard: shard(),
        targets: vec![report],
    });
}

/// Get the target of the next request, which is released again unused.
fn next_target(bench: &mut OwnerBench, number: u64) -> String {
    let permit = bench.granted(&call(number));
    bench.release(&permit, ReleaseOutcome::Unused);
    permit.target.to_string()
}

/// Guards against requests that are sent to targets in a slow moment and answered late, and
/// against capacity that is lost by sparing these targets.
#[test]
fn more_on_time() {
    for load in [0.8, 1.2] {
        let (mut used, mut ignored) = (0, 0);
        for seed in 0..12 {
            used += answers_on_time(load, seed, true);
            ignored += answers_on_time(load, seed, false);
        }
        println!("load {load}: {used} answers on time, {ignored} if paces are ignored");
        assert!(used * 100 > ignored * 101, "load {load}: {used}, {ignored}");
    }
}

/// Get the largest and the mean deviation of a target's estimated run time while it is slow
/// for 600 ms in every 3 s.
fn deviation(is_used: bool) -> (f64, f64) {
    const USUAL_MS: f64 = 100.0;
    let mut bench = bench(options(is_used), &[("a", USUAL_MS as u32)]);
    let start = bench.now;
    let pace_at = |at: f64| if at % 3_000.0 < 600.0 { 2.5 } else { 1.0 };
    let done_at = |from: f64, work_ms: f64| {
        let mut at = from;
        let mut left = work_ms;
        while left > 0.0 {
            left -= 0.1 / pace_at(at);
            at += 0.1;
        }
        at
    };
    let (mut largest, mut sum, mut count) = (0.0_f64, 0.0, 0.0);
    let mut at = 700.0;
    while at < 30_000.0 {
        let moment = |at: f64| start.plus(Duration::from_secs_f64(at / 1_000.0));
        bench.now = moment(at);
        let permit = bench.granted(&call(at as u64));
        let head = done_at(at, USUAL_MS / 2.0);
        let end = done_at(at, USUAL_MS);
        bench.now = moment(head);
        report(&mut bench, "a", (pace_at(head) * 100.0) as u32, 0);
        bench.now = moment(end);
        let mut usage = usage(cost_of(50, 50), (end - at) as u32);
        usage.first_token_ms = (head - at) as u32;
        bench.release(&permit, ReleaseOutcome::Finished(usage));
        let off = bench.target_view("a").run_ms as f64 / USUAL_MS - 1.0;
        largest = largest.max(off.abs());
        sum += off;
        count += 1.0;
        at = end + 5.0;
    }
    (largest, sum / count)
}

/// Guards against slow moments that make a target slow in the lasting estimate.
#[test]
fn lasting_speed() {
    let (largest, mean) = deviation(true);
    let (ignored, _) = deviation(false);
    println!("deviation at most {largest:.3}, mean {mean:.3}; if paces are ignored {ignored:.3}");
    assert!(largest < 0.15 && mean.abs() < 0.03, "{largest} {mean}");
    assert!(ignored > 0.3, "{ignored}");
}

/// Guards against a target that stays unused after its slow moment, whether it reports the
/// end or gets no request that could.
#[test]
fn moment_ends() {
    for is_reported in [true, false] {
        let mut bench = bench(options(true), &[("a", 100), ("b", 180)]);
        assert_eq!(next_target(&mut bench, 1), "a");
        report(&mut bench, "a", 250, 0);
        assert_eq!(next_target(&mut bench, 2), "b");
        match is_reported {
            true => report(&mut bench, "a", 100, 0),
            false => drop(bench.tick_after(800)),
        }
        assert_eq!(next_target(&mut bench, 3), "a", "{is_reported}");
    }
}

/// Guards against reports that arrive late and are taken for the present pace.
#[test]
fn old_report() {
    let mut bench = bench(options(true), &[("a", 100), ("b", 180)]);
    report(&mut bench, "a", 250, 3_000);
    assert_eq!(bench.target_view("a").pace, 100);
    bench.tick_after(3_000);
    report(&mut bench, "a", 100, 0);
    report(&mut bench, "a", 250, 10);
    assert_eq!(next_target(&mut bench, 1), "a");
}

/// Guards against decisions by paces where the option is off.
#[test]
fn option_off() {
    let mut bench = bench(options(false), &[("a", 100), ("b", 180)]);
    report(&mut bench, "a", 250, 0);
    assert_eq!(next_target(&mut bench, 1), "a");
    assert_eq!(bench.target_view("a").pace, 100);
}

/// Guards against a false figure that keeps a target unused, or makes it attract all
/// requests.
#[test]
fn false_reports() {
    for hundredths in [10, 50, 250, 10_000] {
        let mut moments = SlowMoments::new(PRIOR);
        let mut now = Moment::from_millis(1_000);
        moments.record(now, pace(hundredths), Duration::ZERO);
        let factor = moments.factor(now);
        assert!((0.5..=10.0).contains(&factor), "{hundredths}: {factor}");
        // A figure that never changes is left to the run times.
        for _ in 0..100 {
            now = now.plus(Duration::from_millis(100));
            moments.record(now, pace(hundredths), Duration::ZERO);
        }
        assert_eq!(moments.factor(now), 1.0, "{hundredths}");
        // One that changes is believed no longer when the runs are as usual.
        let mut moments = SlowMoments::new(PRIOR);
        for _ in 0..40 {
            now = now.plus(Duration::from_millis(200));
            moments.record(now, pace(hundredths), Duration::ZERO);
            now = now.plus(Duration::from_millis(100));
            moments.record_run(now, Duration::from_millis(100), 1.0);
            moments.record(now, pace(100), Duration::ZERO);
        }
        moments.record(now, pace(hundredths), Duration::ZERO);
        let factor = moments.factor(now);
        assert!((0.9..1.2).contains(&factor), "{hundredths}: {factor}");
    }
}

/// Guards against a slow target that seems fast, since it reports the usual pace.
#[test]
fn slow_without_report() {
    let mut bench = bench(options(true), &[("a", 300), ("b", 180)]);
    report(&mut bench, "a", 100, 0);
    report(&mut bench, "b", 100, 0);
    assert_eq!(next_target(&mut bench, 1), "b");
}

/// Guards against forecasts that stay short when all targets are slow at once: requests
/// would be admitted that can't be served, and callers sent back too early.
#[test]
fn all_slow() {
    let mut bench = bench(options(true), &[("a", 200), ("b", 200)]);
    let permits: Vec<Permit> = (0..8).map(|number| bench.granted(&call(number))).collect();
    // Saturated for a second, so that a release rate is measured.
    let mut held: std::collections::VecDeque<Permit> = permits.into();
    for number in 8..48 {
        bench.now = bench.now.plus(Duration::from_millis(25));
        let actions = bench.request_permit(&call(number));
        assert!(crate::permits(&actions).is_empty());
        let first = held.pop_front().expect("a permit");
        let outcome = ReleaseOutcome::Finished(usage(cost_of(50, 50), 200));
        held.extend(crate::permits(&bench.release(&first, outcome)));
    }
    for number in 100..120 {
        bench.request_permit(&call(number));
    }
    let retry_after = |bench: &mut OwnerBench, number| {
        let mut hopeless = call(number);
        hopeless.deadline_ms = 0;
        refusals(&bench.request_permit(&hopeless))[0].retry_after_ms
    };
    let usual = retry_after(&mut bench, 200);
    report(&mut bench, "a", 250, 0);
    report(&mut bench, "b", 250, 0);
    bench.tick_after(2);
    let slow = retry_after(&mut bench, 201);
    let ratio = f64::from(slow) / f64::from(usual);
    assert!((2.0..2.6).contains(&ratio), "{usual} ms, then {slow} ms");
}

/// Guards against runs that begin in a slow moment although they can't end in time, and
/// against refusals of long runs that outlast the moment.
#[test]
fn deadline_in_moment() {
    let outcome = |hundredths: u32| {
        let mut bench = bench(options(true), &[("a", 100)]);
        report(&mut bench, "a", hundredths, 0);
        let actions = bench.request_permit(&with_deadline(call(1), 110));
        permits(&actions).len()
    };
    assert_eq!(outcome(100), 1);
    assert_eq!(outcome(250), 0);
    let mut long = bench(options(true), &[("a", 2_000)]);
    report(&mut long, "a", 250, 0);
    long.granted(&with_deadline(call(1), 2_400));
}

/// Guards against a target that counts as stalled because its runs last longer in a slow
/// moment than they were predicted before it.
#[test]
fn overdue_in_moment() {
    let speed = |is_reported: bool| {
        let mut bench = bench(options(true), &[("a", 200)]);
        bench.granted(&call(1));
        let usual = bench.target_view("a").speed;
        for _ in 0..5 {
            if is_reported {
                report(&mut bench, "a", 250, 0);
            }
            bench.tick_after(100);
        }
        report(&mut bench, "a", 100, 0);
        bench.target_view("a").speed as f64 / usual as f64
    };
    assert!(speed(false) < 0.9, "{}", speed(false));
    // A measured speed decays towards the published one.
    assert!((1.0..1.1).contains(&speed(true)), "{}", speed(true));
}

/// Guards against requests that get the last slot of a target that slows down when it is
/// nearly full, while another one has room.
#[test]
fn nearly_full() {
    let mut bench = bench(options(true), &[("a", 100), ("b", 160)]);
    let mut number = 0;
    for round in 0..80 {
        let count = if round % 2 == 0 { 4 } else { 1 };
        let held: Vec<Permit> = (0..count)
            .map(|_| {
                number += 1;
                let mut call = call(number);
                call.avoid = vec![named("b")];
                bench.granted(&call)
            })
            .collect();
        bench.now = bench.now.plus(Duration::from_millis(200));
        for permit in &held {
            let run_ms = if count == 4 { 200 } else { 100 };
            let outcome = ReleaseOutcome::Finished(usage(cost_of(50, 50), run_ms));
            bench.release(permit, outcome);
        }
    }
    let targets: Vec<String> = (1_000..1_004)
        .map(|number| bench.granted(&call(number)).target.to_string())
        .collect();
    assert_eq!(targets, ["a", "a", "a", "b"], "{:?}", bench.view().targets);
}
