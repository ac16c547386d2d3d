//! Provides the counters of the demo's hosts, summed over all hosts.

use std::net::SocketAddr;
use std::ops::Sub;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_net::metrics::METRIC_PREFIX;

use crate::command::client;
use crate::command::error::CommandError;

/// A `FleetCounters` holds the sums, over all hosts, of counters for recoveries
/// that callers cannot observe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FleetCounters {
    /// Retried attempts.
    pub retried: u64,
    /// Streams resumed over a new connection.
    pub resumed: u64,
    /// Resubmissions attached to the original request.
    pub attached: u64,
}

impl FleetCounters {
    /// Try to read the counters of all hosts from their metrics pages.
    pub async fn read(hosts: &[SocketAddr]) -> Result<Self, CommandError> {
        let mut counters = FleetCounters::default();
        for host in hosts {
            let answer = client::get(*host, "/metrics").await?;
            let page = String::from_utf8_lossy(&answer.body);
            counters.retried += sum_series(&page, &format!("{METRIC_PREFIX}_retries_total{{"));
            counters.resumed += sum_series(&page, &incident_series(Incident::StreamResumed));
            counters.attached +=
                sum_series(&page, &incident_series(Incident::ResubmissionAttached));
        }
        Ok(counters)
    }
}

impl Sub for FleetCounters {
    type Output = FleetCounters;

    fn sub(self, earlier: FleetCounters) -> FleetCounters {
        FleetCounters {
            retried: self.retried - earlier.retried,
            resumed: self.resumed - earlier.resumed,
            attached: self.attached - earlier.attached,
        }
    }
}

fn incident_series(incident: Incident) -> String {
    let number = incident.number();
    format!("{METRIC_PREFIX}_incidents_total{{number=\"{number}\"}}")
}

/// Sum the values of all series whose lines start with `series`.
fn sum_series(page: &str, series: &str) -> u64 {
    let lines = page.lines().filter(|line| line.starts_with(series));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}
