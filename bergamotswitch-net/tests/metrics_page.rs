//! Tests of the metrics in the OpenMetrics text format.

use std::time::Duration;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_core::refusal::{RefusalReason, RetryReason, WasteCause};
use bergamotswitch_core::revision::{Revision, ValueName};
use bergamotswitch_core::rules::Tier;
use bergamotswitch_net::metrics::NodeMetrics;

fn assert_line(page: &str, line: &str) {
    assert!(page.lines().any(|found| found == line), "no {line}\n{page}");
}

#[test]
fn zero_from_start() {
    let page = NodeMetrics::new().render();
    for reason in RefusalReason::ALL {
        let line = format!("bergamot_refusals_total{{reason=\"{reason}\",tier=\"none\"}} 0");
        assert_line(&page, &line);
    }
    for reason in RetryReason::ALL {
        let line = format!("bergamot_retries_total{{reason=\"{reason}\"}} 0");
        assert_line(&page, &line);
    }
    for incident in Incident::ALL {
        let number = incident.number();
        let line = format!("bergamot_incidents_total{{number=\"{number}\"}} 0");
        assert_line(&page, &line);
    }
}

#[test]
fn counted_reasons() {
    let metrics = NodeMetrics::new();
    metrics.count_refusal(RefusalReason::Overloaded, Some(Tier(2)));
    metrics.count_refusal(RefusalReason::TooLarge, None);
    metrics.count_retry(RetryReason::PermitVoid);
    metrics.count_wasted_tokens(Tier(1), WasteCause::Preemption, 700);
    metrics.count_incident(Incident::RequestLost);
    let page = metrics.render();
    assert_line(
        &page,
        "bergamot_refusals_total{reason=\"overloaded\",tier=\"2\"} 1",
    );
    assert_line(
        &page,
        "bergamot_refusals_total{reason=\"too-large\",tier=\"none\"} 1",
    );
    assert_line(&page, "bergamot_retries_total{reason=\"permit-void\"} 1");
    assert_line(
        &page,
        "bergamot_wasted_prefill_tokens_total{tier=\"1\",cause=\"preemption\"} 700",
    );
    assert_line(&page, "bergamot_incidents_total{number=\"201\"} 1");
}

#[test]
fn goodput_by_tier() {
    let metrics = NodeMetrics::new();
    metrics.count_end(Tier(0), true, Some(Duration::from_millis(700)));
    metrics.count_end(Tier(0), false, Some(Duration::from_millis(800)));
    metrics.count_end(Tier(1), false, None);
    let page = metrics.render();
    assert_line(&page, "bergamot_requests_ended_total{tier=\"0\"} 2");
    assert_line(&page, "bergamot_goodput_total{tier=\"0\"} 1");
    // A tier without any success still has the counter.
    assert_line(&page, "bergamot_goodput_total{tier=\"1\"} 0");
    assert_line(
        &page,
        "bergamot_first_token_seconds_bucket{le=\"0.75\",tier=\"0\"} 1",
    );
    assert_line(&page, "bergamot_first_token_seconds_count{tier=\"0\"} 2");
}

#[test]
fn state_and_totals() {
    let metrics = NodeMetrics::new();
    let rules = ValueName::try_from("rules").expect("a name");
    metrics.set_revision(&rules, Revision(41));
    metrics.set_queued(Tier(3), 5);
    metrics.set_running(7);
    metrics.set_link_bytes(100, 200);
    // A counter that decreases would look like a restart of the process.
    metrics.set_link_bytes(90, 250);
    metrics.observe_queue_wait(Tier(3), Duration::from_secs(2));
    let page = metrics.render();
    assert_line(&page, "bergamot_revision_in_force{value=\"rules\"} 41");
    assert_line(&page, "bergamot_queued_requests{tier=\"3\"} 5");
    assert_line(&page, "bergamot_running_requests 7");
    assert_line(&page, "bergamot_link_sent_bytes_total 100");
    assert_line(&page, "bergamot_link_received_bytes_total 250");
    assert_line(&page, "bergamot_queue_wait_seconds_sum{tier=\"3\"} 2.0");
}
